"""Checks the models and their broken variants."""

from __future__ import annotations

import dataclasses
import functools

import minicheck

from specs import claim_spec
from specs import head_spec
from specs import lease_spec

MAX_STATES = 3_000_000
_REFUTE_LIMITS = (3_000, 30_000, 300_000)


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


def refute(name: str, protocol: minicheck.Protocol) -> Checked:
    """Looks for a violation, in more and more of a broken variant's states.

    The search is breadth first, so a trace that is found is the shortest.
    """
    found = None
    for limit in _REFUTE_LIMITS:
        found = check(name, protocol, max_states=limit)
        if found.broken:
            break
    return found


def check(
    name: str,
    protocol: minicheck.Protocol,
    *,
    max_states: int = MAX_STATES,
) -> Checked:
    """Explores a model breadth first.

    Raises:
        RuntimeError: It has more than ``MAX_STATES`` states.
    """
    report = minicheck.check_safety(protocol, max_states=max_states)
    if not report["exhaustive"] and max_states == MAX_STATES:
        raise RuntimeError(f"{name}: {report['incomplete_reason']}")
    broken = {
        prop: found
        for prop, found in report["properties"].items()
        if found["holds"] is False
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
    return step["label"] or "start"


def _states(report) -> int:
    return int(report["reachable_states"])


_HEAD_NUMBERS = ((2, 3), (3, 2), (2, 2))
_MODELS = (
    lambda: claim_spec.protocol(claim_spec.Rules()),
    lambda: lease_spec.protocol(lease_spec.Rules(), checks=True),
    lambda: lease_spec.protocol(lease_spec.Rules(), checks=False),
    *(
        functools.partial(head_spec.protocol, head_spec.Rules(), numbers)
        for numbers in _HEAD_NUMBERS
    ),
)
MODEL_COUNT = len(_MODELS)


def model(index: int) -> Checked:
    """Checks one of the models as it is."""
    protocol = _MODELS[index]()
    return check(protocol.name, protocol)


def mutants() -> list[Checked]:
    """Checks every broken variant; it need not hold in one property only."""
    found = []
    for what, rules in claim_spec.MUTANTS.items():
        protocol = claim_spec.protocol(rules)
        found.append(refute(f"claim: {what}", protocol))
    for what, rules in head_spec.MUTANTS.items():
        protocol = head_spec.protocol(rules)
        found.append(refute(f"head: {what}", protocol))
    for what, rules in lease_spec.MUTANTS.items():
        checks = what not in lease_spec.ONLY_IGNORING
        protocol = lease_spec.protocol(rules, checks=checks)
        found.append(refute(f"lease: {what}", protocol))
    return found
