"""Claim: two instances and one key; crashes, lost and late messages.

State: the row; writes on their way; each instance's phase, claim and what it
told its caller; how often the call ran. Steps call ``coordination.claim``.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Iterator

import minicheck
import result

from irisshelf.coordination import claim
from irisshelf.store import errors
from irisshelf.store import messages

INSTANCES = ("a", "b")
MAX_WRITES = 3
MAX_VERSION = 5
_LOST = errors.Unavailable(effect=errors.Effect.UNKNOWN, detail="lost")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rules:
    """The steps that broken variants replace."""

    after_insert: Callable = claim.after_insert
    after_read: Callable = claim.after_read
    insert: Callable = claim.insert_write
    release_after_send: bool = False
    release_condition: bool = True
    max_version: int = MAX_VERSION


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Row:
    """The table's row."""

    claim_id: str
    state: str
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class OnWay:
    """A write that the table may still get."""

    instance: str
    claim_id: str
    state: str
    if_version: int | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Actor:
    """One instance that serves one caller."""

    phase: str = "idle"
    claim: claim.Claim | None = None
    version: int = 0
    ran: bool = False
    told: str = ""
    again: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class World:
    """Everything."""

    row: Row | None = None
    next_version: int = 1
    writes: tuple[OnWay, ...] = ()
    actors: tuple[Actor, ...] = (Actor(), Actor())
    runs: int = 0


def protocol(rules: Rules) -> minicheck.Protocol:
    """Returns the model under some rules."""
    return minicheck.Protocol(
        name="claim",
        candidate=False,
        fields=("world",),
        initial=(World(),),
        transitions=lambda s: [
            (label, (world,)) for label, world in _steps(s[0], rules)
        ],
        invariants={
            "runs at most once": lambda d: d["world"].runs <= 1,
            "not_run is true": lambda d: all(
                not (actor.ran and actor.told == "not_run")
                for actor in d["world"].actors
            ),
        },
    )


def _steps(world: World, rules: Rules) -> Iterator[tuple[str, World]]:
    for index, name in enumerate(INSTANCES):
        for label, after in _actor_steps(world, index, name, rules):
            yield f"{name}: {label}", after
    for place in range(len(world.writes)):
        yield from _network_steps(world, place, rules)


def _actor_steps(world: World, index: int, name: str, rules: Rules):
    actor = world.actors[index]
    if index == 0 and actor.told == "not_run" and not actor.again:
        again = Actor(again=True)
        yield "is asked again", _set(world, index, again)
    if actor.phase == "idle":
        name = f"{name}{'2' if actor.again else ''}"
        made = claim.Claim(row="row", claim_id=name)
        yield "insert", _send_insert(world, index, made, rules)
    elif actor.phase == "waiting":
        yield (
            "gives up waiting",
            _after_insert(world, index, result.Err(_LOST), rules),
        )
    elif actor.phase == "reading":
        yield (
            "reads",
            _take(
                world,
                index,
                rules.after_read(actor.claim, _read(world)),
                rules,
            ),
        )
        unavailable = result.Err(_LOST)
        yield (
            "cannot read",
            _take(
                world, index, rules.after_read(actor.claim, unavailable), rules
            ),
        )
    elif actor.phase == "granted":
        yield from _granted_steps(world, index, name, rules)
    elif actor.phase == "sent":
        done = dataclasses.replace(actor, phase="end", told="answer")
        yield "answers", _set(world, index, done)
        if rules.release_after_send:
            yield "releases late", _release(world, index, name, rules)
    if actor.phase not in ("idle", "end", "crashed"):
        crashed = dataclasses.replace(actor, phase="crashed")
        yield "crashes", _set(world, index, crashed)


def _granted_steps(world: World, index: int, name: str, rules: Rules):
    actor = world.actors[index]
    sent = dataclasses.replace(actor, phase="sent", ran=True)
    ran = dataclasses.replace(_set(world, index, sent), runs=world.runs + 1)
    yield "sends the call", ran
    yield "cannot reach the server", _release(world, index, name, rules)


def _release(world: World, index: int, name: str, rules: Rules) -> World:
    actor = world.actors[index]
    granted = claim.Granted(claim=actor.claim, version=actor.version)
    made = claim.release_write(granted)
    on_way = OnWay(
        instance=name,
        claim_id=actor.claim.claim_id,
        state=made.value["state"],
        if_version=made.if_version if rules.release_condition else None,
    )
    done = dataclasses.replace(actor, phase="end", told="not_run")
    return _add_write(_set(world, index, done), on_way)


def _send_insert(
    world: World, index: int, made: claim.Claim, rules: Rules
) -> World:
    write = rules.insert(made)
    on_way = OnWay(
        instance=INSTANCES[index],
        claim_id=made.claim_id,
        state=write.value["state"],
        if_version=write.if_version,
    )
    waiting = dataclasses.replace(
        world.actors[index], phase="waiting", claim=made
    )
    return _add_write(_set(world, index, waiting), on_way)


def _add_write(world: World, on_way: OnWay) -> World:
    if len(world.writes) >= MAX_WRITES:
        return world
    writes = tuple(sorted((*world.writes, on_way), key=repr))
    return dataclasses.replace(world, writes=writes)


def _network_steps(world: World, place: int, rules: Rules):
    """A write is lost, or takes effect once or twice, answered or not."""
    on_way = world.writes[place]
    rest = world.writes[:place] + world.writes[place + 1 :]
    without = dataclasses.replace(world, writes=rest)
    yield f"write of {on_way.instance} is lost", without
    for label, left in (("once", without), ("and is doubled", world)):
        applied, answer = _apply(left, on_way, rules)
        if applied is None:
            continue
        text = f"write of {on_way.instance} arrives {label}"
        yield text + ", answer lost", applied
        index = INSTANCES.index(on_way.instance)
        actor = applied.actors[index]
        waits = actor.phase == "waiting" and on_way.state == "claimed"
        if waits and actor.claim.claim_id == on_way.claim_id:
            yield text, _after_insert(applied, index, answer, rules)


def _apply(world: World, on_way: OnWay, rules: Rules):
    version = world.row.version if world.row else messages.ABSENT
    if on_way.if_version is not None and on_way.if_version != version:
        failed = errors.FailedCondition(
            index=0, version=version, value=_value(world.row)
        )
        return world, result.Err(errors.Conflict(failed=(failed,)))
    if world.next_version > rules.max_version:
        return None, None
    row = Row(
        claim_id=on_way.claim_id,
        state=on_way.state,
        version=world.next_version,
    )
    after = dataclasses.replace(
        world, row=row, next_version=world.next_version + 1
    )
    return after, result.Ok((row.version,))


def _after_insert(world: World, index: int, answer, rules: Rules) -> World:
    actor = world.actors[index]
    (step,) = rules.after_insert([actor.claim], answer)
    return _take(world, index, step, rules)


def _take(world: World, index: int, step: claim.Step, rules: Rules) -> World:
    actor = world.actors[index]
    if isinstance(step, claim.Granted):
        after = dataclasses.replace(
            actor, phase="granted", version=step.version
        )
    elif isinstance(step, claim.ReadBack):
        after = dataclasses.replace(actor, phase="reading")
    elif isinstance(step, claim.Insert):
        return _send_insert(world, index, step.claim, rules)
    elif isinstance(step, claim.Duplicate):
        after = dataclasses.replace(actor, phase="end", told="unknown")
    else:
        after = dataclasses.replace(actor, phase="end", told="not_run")
    return _set(world, index, after)


def _set(world: World, index: int, actor: Actor) -> World:
    actors = list(world.actors)
    actors[index] = actor
    return dataclasses.replace(world, actors=tuple(actors))


def _value(row: Row | None):
    return {"id": row.claim_id, "state": row.state} if row else None


def _read(world: World):
    if world.row is None:
        return result.Err(errors.NotFound(key="row"))
    return result.Ok(
        messages.Row(
            key="row", value=_value(world.row), version=world.row.version
        )
    )


def _lost_is_granted(claims, answer):
    """Broken: takes a lost answer for a yes."""
    if answer.is_err() and isinstance(answer.err_value, errors.Unavailable):
        return [claim.Granted(claim=c, version=1) for c in claims]
    return claim.after_insert(claims, answer)


def _missing_is_granted(made, answer):
    """Broken: a row that is not there yet is taken as free to run."""
    if answer.is_err() and isinstance(answer.err_value, errors.NotFound):
        return claim.Granted(claim=made, version=1)
    return claim.after_read(made, answer)


def _any_row_is_ours(made, answer):
    """Broken: reads back without comparing the claim's id."""
    if answer.is_ok():
        return claim.Granted(claim=made, version=answer.ok_value.version)
    return claim.after_read(made, answer)


def _unconditional(made):
    """Broken: the last write wins."""
    return dataclasses.replace(claim.insert_write(made), if_version=None)


MUTANTS = {
    "lost answer taken for granted": Rules(after_insert=_lost_is_granted),
    "missing row taken for granted": Rules(after_read=_missing_is_granted),
    "claim id not compared": Rules(after_read=_any_row_is_ours),
    "last write wins": Rules(insert=_unconditional, max_version=2),
    "released after the send": Rules(release_after_send=True),
    "release without condition": Rules(release_condition=False),
}
