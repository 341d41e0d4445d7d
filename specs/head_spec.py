"""Bundle head: two operators, one follower that also hears old news.

Steps call ``coordination.head``: ``submission``, ``after_submission``,
``after_read`` and ``Follower``.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Iterator

import minicheck
import result

from irisshelf.coordination import head
from irisshelf.store import errors
from irisshelf.store import messages

NUMBERS = (2, 3)  # The numbers that the two operators submit.
MAX_TRIES = 2
_LOST = errors.Unavailable(effect=errors.Effect.UNKNOWN, detail="lost")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rules:
    """The steps that broken variants replace."""

    submission: Callable = head.submission
    after_submission: Callable = head.after_submission
    after_read: Callable = head.after_read
    follower: Callable = head.Follower


@dataclasses.dataclass(frozen=True, kw_only=True)
class Operator:
    """One operator with one submission."""

    phase: str = "idle"
    read: tuple[int, int] | None = None  # Number and version as read.
    told: str = ""
    tries: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class World:
    """Everything; heads are numbers, versions grow with each write."""

    number: int = 1
    submitter: int = -1
    version: int = 1
    writes: tuple[tuple[int, int | None], ...] = ()
    operators: tuple[Operator, ...] = (Operator(), Operator())
    past: frozenset[tuple[int, int]] = frozenset()
    in_force: int = 1
    highest_in_force: int = 1
    fell: bool = False


def protocol(rules: Rules, numbers: tuple[int, int] = NUMBERS):
    """Returns the model under some rules."""
    return minicheck.Protocol(
        name=f"head {numbers}",
        candidate=False,
        fields=("world",),
        initial=(World(),),
        transitions=lambda s: [
            (label, (world,)) for label, world in _steps(s[0], rules, numbers)
        ],
        invariants={
            "the head never falls": lambda d: not d["world"].fell,
            "what is in force never falls": lambda d: (
                d["world"].in_force >= d["world"].highest_in_force
            ),
            "winners are told the truth": lambda d: all(
                operator.told != "won" or (numbers[i], i) in d["world"].past
                for i, operator in enumerate(d["world"].operators)
            ),
            "losers are told the truth": lambda d: all(
                operator.told != "lost" or d["world"].submitter != i
                for i, operator in enumerate(d["world"].operators)
            ),
        },
    )


def _steps(
    world: World, rules: Rules, numbers: tuple[int, int]
) -> Iterator[tuple[str, World]]:
    for i, operator in enumerate(world.operators):
        yield from _operator_steps(world, i, operator, rules, numbers)
    for place, (i, condition) in enumerate(world.writes):
        rest = world.writes[:place] + world.writes[place + 1 :]
        without = dataclasses.replace(world, writes=rest)
        yield f"write of {i} lost", without
        applied, answer = _apply(without, i, condition, numbers)
        yield f"write of {i} arrives, answer lost", applied
        if applied.operators[i].phase == "waiting":
            step = rules.after_submission(_head(numbers, i), answer)
            yield f"write of {i} arrives", _take(applied, i, step)
    for number in sorted({1, world.number, *(n for n, _ in world.past)}):
        yield f"follower hears of {number}", _follow(world, number, rules)


def _operator_steps(world, i, operator, rules, numbers):
    if operator.phase == "idle":
        read = dataclasses.replace(
            operator, phase="read", read=(world.number, world.version)
        )
        yield f"{i} reads", _set(world, i, read)
    elif operator.phase == "read":
        yield from _submit(world, i, operator, rules, numbers)
    elif operator.phase == "waiting":
        step = rules.after_submission(_head(numbers, i), result.Err(_LOST))
        yield f"{i} gives up waiting", _take(world, i, step)
    elif operator.phase == "reading":
        row = _row(world, numbers, world.number, world.version)
        step = rules.after_read(
            _head(numbers, i), result.Ok(row), if_version=operator.read[1]
        )
        yield f"{i} reads back", _take(world, i, step)


def _submit(world, i, operator, rules, numbers):
    number, version = operator.read
    try:
        write = rules.submission(
            _head(numbers, i), current=_row(world, numbers, number, version)
        )[0]
    except ValueError:
        refused = dataclasses.replace(operator, phase="end", told="refused")
        yield f"{i} is refused", _set(world, i, refused)
        return
    waiting = dataclasses.replace(operator, phase="waiting")
    after = _set(world, i, waiting)
    writes = tuple(sorted((*world.writes, (i, write.if_version)), key=repr))
    yield f"{i} submits", dataclasses.replace(after, writes=writes)


def _apply(world, i, condition, numbers):
    if condition is not None and condition != world.version:
        row = _row(world, numbers, world.number, world.version)
        failed = errors.FailedCondition(
            index=0, version=row.version, value=row.value
        )
        return world, result.Err(errors.Conflict(failed=(failed,)))
    after = dataclasses.replace(
        world,
        number=numbers[i],
        submitter=i,
        version=world.version + 1,
        past=world.past | {(numbers[i], i)},
        fell=world.fell or numbers[i] <= world.number,
    )
    return after, result.Ok((after.version, after.version))


def _take(world: World, i: int, step: head.Step) -> World:
    operator = world.operators[i]
    if isinstance(step, head.Resubmit):
        if operator.tries >= MAX_TRIES:
            unknown = dataclasses.replace(operator, phase="end", told="unknown")
            return _set(world, i, unknown)
        again = dataclasses.replace(
            operator, phase="waiting", tries=operator.tries + 1
        )
        writes = (*world.writes, (i, operator.read[1]))
        return dataclasses.replace(
            _set(world, i, again), writes=tuple(sorted(writes, key=repr))
        )
    if isinstance(step, head.ReadBack):
        after = dataclasses.replace(operator, phase="reading")
    else:
        told = {head.Committed: "won", head.Superseded: "lost"}.get(
            type(step), "no effect"
        )
        after = dataclasses.replace(operator, phase="end", told=told)
    return _set(world, i, after)


def _follow(world: World, number: int, rules: Rules) -> World:
    follower = rules.follower()
    follower.adopt(world.in_force)
    seen = head.Head(number=number, object_key=str(number))
    if follower.observe(seen):
        follower.adopt(number)
    in_force = follower.in_force
    return dataclasses.replace(
        world,
        in_force=in_force,
        highest_in_force=max(world.highest_in_force, in_force),
    )


def _set(world: World, i: int, operator: Operator) -> World:
    operators = list(world.operators)
    operators[i] = operator
    return dataclasses.replace(world, operators=tuple(operators))


def _head(numbers: tuple[int, int], i: int) -> head.Head:
    return head.Head(
        number=numbers[i], object_key=f"o{i}", submission_id=f"s{i}"
    )


def _row(world, numbers, number, version) -> messages.Row:
    submitter = next((i for n, i in world.past if n == number), -1)
    if number == world.number:
        submitter = world.submitter
    value = {
        "number": number,
        "object_key": f"o{submitter}",
        "submission_id": f"s{submitter}",
    }
    return messages.Row(key=head.ROW, value=value, version=version)


def _unconditional(wanted, *, current):
    """Broken: the last write wins."""
    made = head.submission(wanted, current=current)
    return tuple(dataclasses.replace(write, if_version=None) for write in made)


def _unchecked(wanted, *, current):
    """Broken: a number that is not higher goes in."""
    value = dataclasses.asdict(wanted)
    return (
        messages.Write(key=head.ROW, value=value, if_version=current.version),
    )


def _lost_is_won(wanted, answer):
    """Broken: no read-back."""
    if answer.is_err() and isinstance(answer.err_value, errors.Unavailable):
        return head.Committed(head=wanted)
    return head.after_submission(wanted, answer)


def _lost_is_lost(wanted, answer):
    """Broken: a lost answer is reported as a lost race."""
    if answer.is_err() and isinstance(answer.err_value, errors.Unavailable):
        return head.Superseded(winner=wanted)
    return head.after_submission(wanted, answer)


def _old_head_is_lost(wanted, answer, *, if_version):
    """Broken: a head that is still the old one is taken for a lost race.

    This was our own code until the checker refuted it.
    """
    del if_version
    return head.after_read(wanted, answer, if_version=-1)


class _Forgetful(head.Follower):
    """Broken: takes whatever head it hears of."""

    def observe(self, seen: head.Head) -> bool:
        self._in_force = seen.number
        return False


MUTANTS = {
    "last write wins": Rules(submission=_unconditional),
    "number not checked": Rules(submission=_unchecked),
    "lost answer taken for won": Rules(after_submission=_lost_is_won),
    "lost answer taken for lost": Rules(after_submission=_lost_is_lost),
    "old head taken for lost": Rules(after_read=_old_head_is_lost),
    "follower takes old news": Rules(follower=_Forgetful),
}
