"""Lease: two instances, two engines, drifting clocks, pauses, lost answers.

Time is counted in ticks. One engine checks fencing numbers, one ignores them.
An order takes effect some ticks after it was decided, more if its sender is
paused meanwhile. Steps call ``coordination.lease``.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Iterator

import minicheck
import result

from irisshelf.coordination import lease
from irisshelf.store import errors
from irisshelf.store import messages

NAMES = ("a", "b")
MAX_VERSION = 2
OLD = 3  # Ticks after which it makes no difference how old a thing is.
TERMS = lease.Terms(
    duration_s=2,
    renew_fraction=0.3,
    max_clock_drift=0.4,
    max_pause_s=1,
    max_order_delay_s=1,
)
SKIP_EVERY = 4  # A slow clock misses one tick in this many.
NOW = 0  # All times in the model are seen from now.
_LOST = errors.Unavailable(effect=errors.Effect.UNKNOWN, detail="lost")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rules:
    """The steps that broken variants replace."""

    wants_write: Callable = lease.should_write
    write: Callable = lease.build_write
    after_write: Callable = lease.after_write
    may_order: Callable = lease.may_order


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """The lease's row."""

    holder: str
    fence: int
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class OnWay:
    """A write or an order on its way."""

    actor: int
    fence: int
    decided: int
    if_version: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answered:
    """The table's answer to a write, on its way back.

    Attributes:
        on_way: The write.
        version: The row's new version, or 0 for a conflict.
        row: The row that a conflict told of.
    """

    on_way: OnWay
    version: int
    row: Row | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class World:
    """Everything."""

    since_skip: int = SKIP_EVERY
    states: tuple[lease.State, ...] = (
        lease.initial_state(name="a", data_centre="d"),
        lease.initial_state(name="b", data_centre="d"),
    )
    row: Row | None = None
    write: OnWay | None = None
    answer: Answered | None = None
    orders: tuple[OnWay, ...] = ()
    checking_fence: int = 0
    ignoring_fence: int = 0
    old_order_checked: bool = False
    old_order_ignored: bool = False


def protocol(rules: Rules, *, checks: bool) -> minicheck.Protocol:
    """Returns the model under some rules.

    Args:
        rules: The steps.
        checks: Whether the engine checks fencing numbers.
    """
    return minicheck.Protocol(
        name=f"lease, engine {'checks' if checks else 'ignores'}",
        candidate=False,
        fields=("world",),
        initial=(World(),),
        transitions=lambda s: [
            (label, (world,)) for label, world in _steps(s[0], rules, checks)
        ],
        invariants={
            "one may order at a time": lambda d: (
                sum(_may(d["world"], i, rules, checks=True) for i in (0, 1))
                <= 1
            ),
            "no old order at the engine that checks": lambda d: (
                not d["world"].old_order_checked
            ),
            "no old order at the engine that ignores": lambda d: (
                not d["world"].old_order_ignored
            ),
        },
    )


def _may(world: World, i: int, rules: Rules, *, checks: bool) -> bool:
    return rules.may_order(
        world.states[i],
        terms=TERMS,
        checks_fencing=checks,
        now=NOW,
    )


def _steps(
    world: World, rules: Rules, checks: bool
) -> Iterator[tuple[str, World]]:
    yield from _time_steps(world)
    for i, name in enumerate(NAMES):
        yield from _actor_steps(world, i, name, rules, checks)
    if world.write is not None:
        yield from _write_steps(world)
    if world.answer is not None:
        yield from _answer_steps(world, rules)
    for place, order in enumerate(world.orders):
        rest = world.orders[:place] + world.orders[place + 1 :]
        yield from _order_steps(world, order, rest)


def _time_steps(world: World):
    """Time goes on, unless an order must take effect first."""
    latest = TERMS.max_order_delay_s + TERMS.max_pause_s
    if any(-order.decided >= latest for order in world.orders):
        return
    orders = tuple(
        dataclasses.replace(order, decided=order.decided - 1)
        for order in world.orders
    )
    older = tuple(_older(state) for state in world.states)
    since_skip = min(world.since_skip + 1, SKIP_EVERY)
    yield (
        "tick",
        dataclasses.replace(
            world, states=older, orders=orders, since_skip=since_skip
        ),
    )
    if world.since_skip >= SKIP_EVERY:
        yield (
            "tick that b's clock misses",
            dataclasses.replace(
                world,
                states=(older[0], world.states[1]),
                orders=orders,
                since_skip=0,
            ),
        )


def _older(state: lease.State) -> lease.State:
    """Moves a state's clock on by a tick: all its times are seen from now.

    What lies so far back that it makes no difference any more is kept at the
    same distance, so that the model is finite.
    """
    seen, held, pending_s = state.observed, state.held, state.write_sent_s
    if seen is not None:
        seen = dataclasses.replace(seen, since_s=max(-OLD, seen.since_s - 1))
    if held is not None:
        held = dataclasses.replace(
            held,
            acquired_s=max(-OLD, held.acquired_s - 1),
            expires_s=max(0, held.expires_s - 1),
        )
    if pending_s is not None:
        pending_s = max(-OLD, pending_s - 1)
    return dataclasses.replace(
        state, observed=seen, held=held, write_sent_s=pending_s
    )


def _actor_steps(world: World, i: int, name: str, rules: Rules, checks: bool):
    state = world.states[i]
    now = NOW
    seen = lease.observe(state, _read(world), now)
    if seen != state:
        yield f"{name} reads", _set(world, i, seen)
    wants = rules.wants_write(state, terms=TERMS, now=now)
    busy = world.write is not None or world.answer is not None
    if wants and not busy and state.write_sent_s is None:
        sent, made = rules.write(state, now=now)
        on_way = OnWay(
            actor=i,
            fence=made.value["fence"],
            decided=now,
            if_version=made.if_version,
        )
        after = dataclasses.replace(_set(world, i, sent), write=on_way)
        yield f"{name} sends a write", after
    if state.write_sent_s is not None:
        made = _message(world.write) if world.write else _NO_WRITE
        lost = rules.after_write(
            state, made, result.Err(_LOST), terms=TERMS, now=now
        )
        yield f"{name} gives up waiting", _set(world, i, lost)
    if any(order.actor == i for order in world.orders):
        return
    if _may(world, i, rules, checks=checks):
        order = OnWay(
            actor=i,
            fence=state.held.fencing_token,
            decided=NOW,
            if_version=int(checks),
        )
        orders = tuple(sorted((*world.orders, order), key=repr))
        after = dataclasses.replace(world, orders=orders)
        yield f"{name} decides an order", after


_NO_WRITE = messages.Write(key="", value={"fence": 0})


def _write_steps(world: World):
    on_way = world.write
    name = NAMES[on_way.actor]
    without = dataclasses.replace(world, write=None)
    yield f"write of {name} is lost", without
    applied = _apply(without, on_way)
    if applied is not None:
        yield f"write of {name} arrives", applied


def _answer_steps(world: World, rules: Rules):
    """The answer comes back, some ticks later or never."""
    answered = world.answer
    i = answered.on_way.actor
    without = dataclasses.replace(world, answer=None)
    yield f"answer to {NAMES[i]} is lost", without
    state = world.states[i]
    if state.write_sent_s is None:
        return
    if answered.version:
        answer = result.Ok((answered.version,))
    else:
        failed = errors.FailedCondition(
            index=0,
            version=answered.row.version if answered.row else 0,
            value=_value(answered.row),
        )
        answer = result.Err(errors.Conflict(failed=(failed,)))
    taken = rules.after_write(
        state, _message(answered.on_way), answer, terms=TERMS, now=NOW
    )
    yield f"answer to {NAMES[i]} arrives", _set(without, i, taken)


def _apply(world: World, on_way: OnWay) -> World | None:
    version = world.row.version if world.row else messages.ABSENT
    if on_way.if_version is not None and on_way.if_version != version:
        refused = Answered(on_way=on_way, version=0, row=world.row)
        return dataclasses.replace(world, answer=refused)
    if version >= MAX_VERSION:
        return None
    row = Row(
        holder=NAMES[on_way.actor], fence=on_way.fence, version=version + 1
    )
    done = Answered(on_way=on_way, version=row.version)
    return dataclasses.replace(world, row=row, answer=done)


def _order_steps(world: World, order: OnWay, rest: tuple[OnWay, ...]):
    """An order takes effect, or is lost; ``if_version`` tells the engine."""
    name = NAMES[order.actor]
    after = dataclasses.replace(world, orders=rest)
    yield f"order of {name} is lost", after
    if order.if_version:
        if order.fence < world.checking_fence:
            yield f"order of {name} is refused", after
            return
        yield (
            f"order of {name} takes effect",
            dataclasses.replace(
                after,
                checking_fence=order.fence,
                old_order_checked=_is_old(world, order),
            ),
        )
        return
    old = order.fence < world.ignoring_fence or (
        order.fence == world.ignoring_fence and _is_old(world, order)
    )
    yield (
        f"order of {name} takes effect at the engine that ignores",
        dataclasses.replace(
            after,
            ignoring_fence=max(order.fence, world.ignoring_fence),
            old_order_ignored=world.old_order_ignored or old,
        ),
    )


def _is_old(world: World, order: OnWay) -> bool:
    """Whether the engine has already obeyed this order's successor.

    With numbers that grow, an order of another holder under the same number
    can only come from a broken variant.
    """
    held = world.states[1 - order.actor].held
    return held is not None and held.fencing_token == order.fence


def _set(world: World, i: int, state: lease.State) -> World:
    states = list(world.states)
    states[i] = state
    return dataclasses.replace(world, states=tuple(states))


def _value(row: Row | None):
    return {"holder": row.holder, "fence": row.fence} if row else None


def _read(world: World):
    if world.row is None:
        return result.Err(errors.NotFound(key="row"))
    return result.Ok(
        messages.Row(
            key="row", value=_value(world.row), version=world.row.version
        )
    )


def _message(on_way: OnWay) -> messages.Write:
    return messages.Write(
        key="row",
        value={"holder": NAMES[on_way.actor], "fence": on_way.fence},
        if_version=on_way.if_version,
    )


def _impatient(state, *, terms, now):
    """Broken: takes over without waiting the lease out."""
    if state.observed is not None and state.held is None:
        return True
    return lease.should_write(state, terms=terms, now=now)


def _no_stretch(state, *, terms, now):
    """Broken: reckons with clocks of one rate."""
    exact = dataclasses.replace(terms, max_clock_drift=0)
    if state.observed is None or state.held is not None:
        return lease.should_write(state, terms=exact, now=now)
    absent = state.observed.version == messages.ABSENT
    return absent or now - state.observed.since_s >= terms.duration_s - 1


def _same_fence(state, *, now):
    """Broken: a new holder takes the old number over."""
    after, made = lease.build_write(state, now=now)
    if state.observed.version != messages.ABSENT and state.held is None:
        value = {**made.value, "fence": state.observed.fencing_token}
        made = dataclasses.replace(made, value=value)
    return after, made


def _unconditional(state, *, now):
    """Broken: the last write wins."""
    after, made = lease.build_write(state, now=now)
    return after, dataclasses.replace(made, if_version=None)


def _from_answer(state, made, answer, *, terms, now):
    """Broken: counts the lease from the answer, not from the request."""
    late = dataclasses.replace(state, write_sent_s=now)
    return lease.after_write(late, made, answer, terms=terms, now=now)


def _at_once(state, *, terms, checks_fencing, now):
    """Broken: treats every engine as one that checks numbers."""
    del checks_fencing
    return lease.may_order(state, terms=terms, checks_fencing=True, now=now)


def _for_ever(state, *, terms, checks_fencing, now):
    """Broken: a holder that was once granted goes on."""
    del terms, checks_fencing, now
    return state.held is not None


MUTANTS = {
    "takes over at once": Rules(wants_write=_impatient),
    "no stretch for clock rates": Rules(wants_write=_no_stretch),
    "number not raised": Rules(write=_same_fence),
    "last write wins": Rules(write=_unconditional),
    "lease counted from the answer": Rules(after_write=_from_answer),
    "no wait before the first order": Rules(may_order=_at_once),
    "orders after the lapse": Rules(may_order=_for_ever),
}
# Broken variants that an engine which checks numbers would hide.
ONLY_IGNORING = frozenset({"no wait before the first order"})
