"""Interpreter of state charts that are stored as JSON files.

A chart's file is parsed once with the ``transitions`` library and converted to
a transition table, because charts are evaluated on the request path and a
transition by the library is far slower than a table look-up (``bench/chart.py``
measures both).
"""

from __future__ import annotations

import dataclasses
import functools
import json
import pathlib

import result
import transitions

_DIRECTORY = pathlib.Path(__file__).parent


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoTransition:
    """An event for which a state has no transition."""

    chart: str
    state: str
    event: str
    allowed: tuple[str, ...]

    def __str__(self) -> str:
        return (
            f"{self.chart}: state {self.state!r} has no transition for"
            f" {self.event!r},"
            f" allowed: {list(self.allowed)}"
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Edge:
    """Transition of a chart."""

    source: str
    event: str
    dest: str


class Chart:
    """State chart: its states and transitions.

    Args:
        name: The chart's name.
        initial: The initial state.
        edges: The transitions.
        tags: Sets of states by tag, such as the states that accept new work.
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
        """Returns the state after an event, or an error if there is none."""
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
        """Returns the state after an event; without a transition, the same."""
        return self._table.get((state, event), state)

    def has_tag(self, state: str, tag: str) -> bool:
        """Returns whether a state has a tag."""
        return state in self._tags[tag]


@functools.cache
def load(name: str) -> Chart:
    """Reads a chart from its JSON file.

    Args:
        name: File name without extension.

    Raises:
        FileNotFoundError: The chart does not exist.
        ValueError: The chart refers to an unknown state.
    """
    document = json.loads((_DIRECTORY / f"{name}.json").read_text())
    machine = build_machine(document)
    edges = tuple(
        Edge(source=source, event=event.name, dest=edge.dest)
        for event in machine.events.values()
        if not event.name.startswith("to_")
        for source, outgoing in event.transitions.items()
        for edge in outgoing
    )
    tags = {tag: frozenset(s) for tag, s in document["tags"].items()}
    unknown = set().union(*tags.values()) - set(machine.states)
    if unknown:
        raise ValueError(f"{name}: tags name unknown states {sorted(unknown)}")
    return Chart(name=name, initial=document["initial"], edges=edges, tags=tags)


def build_machine(document: dict) -> transitions.Machine:
    """Builds a machine of the ``transitions`` library from a chart document.

    Raises:
        ValueError: A transition refers to an unknown state.
    """
    states = document["states"]
    for transition in document["transitions"]:
        sources = transition["source"]
        states_used = [transition["dest"]]
        states_used += [sources] if isinstance(sources, str) else sources
        unknown = set(states_used) - set(states)
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
