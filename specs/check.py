"""Checks the models and their broken variants."""

from __future__ import annotations

import dataclasses

import minicheck

from specs import claim_spec
from specs import head_spec
from specs import lease_spec

MAX_STATES = 3_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Checked:
    """What the checker found of one model.

    Attributes:
        name: The model, or its broken variant.
        states: States explored.
        broken: Properties that do not hold.
        trace: Labels of the shortest counterexample; empty if all hold.
    """

    name: str
    states: int
    broken: tuple[str, ...]
    trace: tuple[str, ...]


def check(name: str, protocol: minicheck.Protocol) -> Checked:
    """Explores a model breadth first.

    Raises:
        RuntimeError: It has more than ``MAX_STATES`` states.
    """
    report = minicheck.check_safety(protocol, max_states=MAX_STATES)
    broken = {
        prop: found
        for prop, found in report["properties"].items()
        if not found["holds"]
    }
    trace = ()
    if broken:
        shortest = min(
            (found["counterexample"] for found in broken.values()), key=len
        )
        trace = tuple(str(_label(step)) for step in shortest)
    return Checked(
        name=name,
        states=_states(report),
        broken=tuple(broken),
        trace=trace,
    )


def _label(step) -> str:
    if isinstance(step, dict):
        return step.get("action") or step.get("label") or "start"
    if isinstance(step, tuple) and isinstance(step[0], str):
        return step[0]
    return "start"


def _states(report) -> int:
    for key in ("states", "states_explored", "reachable_states"):
        if key in report:
            return int(report[key])
    raise KeyError(f"report has {sorted(report)}")


def models() -> list[Checked]:
    """Checks the three models as they are."""
    found = [
        check("claim", claim_spec.protocol(claim_spec.Rules())),
        check("lease", lease_spec.protocol(lease_spec.Rules())),
    ]
    for numbers in ((2, 3), (3, 2), (2, 2)):
        protocol = head_spec.protocol(head_spec.Rules(), numbers)
        found.append(check(f"head {numbers}", protocol))
    return found


def mutants() -> list[Checked]:
    """Checks every broken variant."""
    found = []
    for spec in (claim_spec, lease_spec, head_spec):
        name = spec.__name__.rpartition(".")[2]
        for what, rules in spec.MUTANTS.items():
            found.append(check(f"{name}: {what}", spec.protocol(rules)))
    return found
