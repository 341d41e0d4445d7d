"""Interpreter of state charts kept as JSON files.

A chart's file is read once by the ``transitions`` library. From its reading a
plain table is built, since charts are on a request's path and a step by the
library costs far more than one by the table (``bench/chart.py`` measures both).
"""

from __future__ import annotations

import dataclasses
import functools
import json
import pathlib

import result
import transitions

_FOLDER = pathlib.Path(__file__).parent


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoTransition:
    """An event that a state does not take."""

    chart: str
    state: str
    event: str
    allowed: tuple[str, ...]

    def __str__(self) -> str:
        return (
            f"{self.chart}: state {self.state!r} takes no {self.event!r},"
            f" allowed: {list(self.allowed)}"
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Edge:
    """One transition of a chart."""

    source: str
    event: str
    dest: str


class Chart:
    """A chart: its states and where each event leads.

    Args:
        name: The chart's name.
        initial: The state to start in.
        edges: All transitions.
        tags: Sets of states by tag, such as those that take new work.
    """

    def __init__(
        self,
        *,
        name: str,
        initial: str,
        edges: tuple[Edge, ...],
        tags: dict[str, frozenset[str]],
    ):
        self.name = name
        self.initial = initial
        self.edges = edges
        self._tags = tags
        self._table = {(edge.source, edge.event): edge.dest for edge in edges}

    def step(self, state: str, event: str) -> result.Result[str, NoTransition]:
        """Returns the state that an event leads to."""
        dest = self._table.get((state, event))
        if dest is not None:
            return result.Ok(dest)
        allowed = tuple(sorted(e for s, e in self._table if s == state))
        return result.Err(
            NoTransition(
                chart=self.name, state=state, event=event, allowed=allowed
            )
        )

    def step_or_stay(self, state: str, event: str) -> str:
        """Returns the state after an event; the same if it is not taken."""
        return self._table.get((state, event), state)

    def has_tag(self, state: str, tag: str) -> bool:
        """Tells whether a state carries a tag."""
        return state in self._tags[tag]


@functools.cache
def load(name: str) -> Chart:
    """Reads a chart from its JSON file.

    Args:
        name: The file's name without its ending.

    Raises:
        FileNotFoundError: There is no such chart.
        ValueError: The chart is not sound.
    """
    document = json.loads((_FOLDER / f"{name}.json").read_text())
    machine = build_machine(document)
    edges = tuple(
        Edge(source=source, event=event.name, dest=edge.dest)
        for event in machine.events.values()
        if not event.name.startswith("to_")
        for source, found in event.transitions.items()
        for edge in found
    )
    tags = {tag: frozenset(s) for tag, s in document["tags"].items()}
    unknown = set().union(*tags.values()) - set(machine.states)
    if unknown:
        raise ValueError(f"{name}: tags name unknown states {sorted(unknown)}")
    return Chart(name=name, initial=document["initial"], edges=edges, tags=tags)


def build_machine(document: dict) -> transitions.Machine:
    """Builds the library's machine from a chart's document.

    Raises:
        ValueError: A transition names a state that is not listed.
    """
    states = document["states"]
    for step in document["transitions"]:
        sources = step["source"]
        named = [step["dest"]]
        named += [sources] if isinstance(sources, str) else sources
        unknown = set(named) - set(states)
        if unknown:
            raise ValueError(
                f"transition names {sorted(unknown)}, allowed: {states}"
            )
    return transitions.Machine(
        model=None,
        states=states,
        initial=document["initial"],
        transitions=document["transitions"],
        auto_transitions=False,
    )
