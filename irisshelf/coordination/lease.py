"""A lease with a fencing number, for orders to engines.

One row in the platform's table for each data centre names the holder. Whoever
takes the lease over raises the row's fencing number; orders carry it.

Time: no two clocks are compared. A holder counts its lease from before it sent
the renewal, on its own clock. Another instance takes over only after it has
itself seen the row unchanged for the lease's length, stretched by how much
clock rates may differ. So, unless the holder is paused in the very moment
between looking at its clock and sending an order, two never order at once.

That moment is why engines should check the number. Towards engines that do,
an old holder's order is refused, however late. Towards engines that ignore it,
a holder gives no order in the lease's last stretch, and a new holder waits
``longest_pause_s`` before its first order.

Not promised: that an engine which ignores numbers never gets an old holder's
order, if that holder was paused for longer than ``longest_pause_s`` in that
moment.
"""

from __future__ import annotations

import dataclasses
from typing import Any

import result

from irisshelf.store import errors
from irisshelf.store import messages

ROW_PREFIX = "leases/orders/"
DURATION_S = 10.0
RENEW_FRACTION = 0.4  # Part of the lease after which it is renewed.
MAX_CLOCK_DRIFT = 0.01
MAX_PAUSE_S = 5.0
MAX_ORDER_DELAY_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Terms:
    """What all instances agree on about a lease.

    Attributes:
        length_s: How long a lease lasts without renewal.
        renew_at: Part of the length after which it is renewed.
        clock_rate_difference: How much two clocks' rates may differ.
        longest_pause_s: Longest pause of a holder that is reckoned with.
        order_time_s: Longest time from the decision to the order's effect.
    """

    duration_s: float = DURATION_S
    renew_fraction: float = RENEW_FRACTION
    max_clock_drift: float = MAX_CLOCK_DRIFT
    max_pause_s: float = MAX_PAUSE_S
    max_order_delay_s: float = MAX_ORDER_DELAY_S


@dataclasses.dataclass(frozen=True, kw_only=True)
class ObservedRow:
    """The row as last read, and since when it has been so.

    Attributes:
        version: The row's version; ``messages.ABSENT`` if there is none.
        holder: Who holds the lease.
        fence: The row's fencing number.
        since_s: When this version was first seen, on this instance's clock.
    """

    version: int
    holder: str
    fencing_token: int
    since_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeldLease:
    """A lease that this instance holds.

    Attributes:
        version: The row's version that is ours.
        fence: The number that orders carry.
        taken_s: When the lease was first taken.
        until_s: When it ends, on this instance's clock.
    """

    version: int
    fencing_token: int
    acquired_s: float
    expires_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class State:
    """What one instance knows of a lease."""

    name: str
    row: str
    observed: ObservedRow | None = None
    held: HeldLease | None = None
    write_sent_s: float | None = None


def initial_state(*, name: str, data_centre: str) -> State:
    """Returns the state of an instance that knows nothing yet."""
    return State(name=name, row=ROW_PREFIX + data_centre)


def observe(
    state: State,
    answer: result.Result[messages.Row, errors.NotFound | errors.Unavailable],
    now: float,
) -> State:
    """Takes a read of the row.

    Args:
        state: The state so far.
        answer: What the table answered.
        now: When the answer came.

    Returns:
        The new state. A row that names this instance and carries the write's
        mark settles a write whose answer was lost.
    """
    if isinstance(answer, result.Err):
        if isinstance(answer.err_value, errors.Unavailable):
            return state
        return _see(state, messages.ABSENT, "", 0, now)
    row = answer.ok_value
    holder, fence = _decode(row.value)
    after = _see(state, row.version, holder, fence, now)
    held = after.held
    if held is not None and row.version != held.version:
        after = _settle_or_lose(after, row, now)
    return after


def should_write(state: State, *, terms: Terms, now: float) -> bool:
    """Tells whether this instance should now take or renew the lease."""
    if state.observed is None:
        return False
    if state.held is not None and now < state.held.expires_s:
        used_s = now - (state.held.expires_s - terms.duration_s)
        return used_s >= terms.renew_fraction * terms.duration_s
    if state.observed.version == messages.ABSENT:
        return True
    wait_s = terms.duration_s * (1 + terms.max_clock_drift)
    return now - state.observed.since_s > wait_s


def build_write(state: State, *, now: float) -> tuple[State, messages.Write]:
    """Returns the conditional write that takes or renews the lease.

    Args:
        state: The state; ``wants_write`` holds.
        now: When the write is sent.

    Raises:
        ValueError: The row has not been read yet.
    """
    if state.observed is None:
        raise ValueError("the lease's row has not been read yet")
    renews = state.held is not None and now < state.held.expires_s
    if renews:
        fence, version = state.held.fencing_token, state.held.version
    else:
        fence, version = (
            state.observed.fencing_token + 1,
            state.observed.version,
        )
    made = messages.Write(
        key=state.row,
        value={"holder": state.name, "fence": fence},
        if_version=version,
    )
    return dataclasses.replace(state, write_sent_s=now), made


def after_write(
    state: State,
    made: messages.Write,
    answer: result.Result[
        tuple[int, ...], errors.Conflict | errors.Unavailable
    ],
    *,
    terms: Terms,
    now: float,
) -> State:
    """Takes the answer to a write.

    A lost answer leaves things as they were: the lease ends when it would
    have, and the next read shows what became of the write.
    """
    sent_s = now if state.write_sent_s is None else state.write_sent_s
    state = dataclasses.replace(state, write_sent_s=None)
    if isinstance(answer, result.Ok):
        return _hold(state, made, answer.ok_value[0], sent_s, terms, now)
    if isinstance(answer.err_value, errors.Conflict):
        failed = answer.err_value.failed[0]
        holder, fence = _decode(failed.value)
        lost = dataclasses.replace(state, held=None)
        return _see(lost, failed.version, holder, fence, now)
    return state


def may_order(
    state: State, *, terms: Terms, checks_fencing: bool, now: float
) -> bool:
    """Tells whether this instance may now give an engine an order.

    Args:
        state: The state.
        terms: The lease's terms.
        checks_fencing: Whether the engine refuses old fencing numbers.
        now: Time on this instance's clock.
    """
    held = state.held
    if held is None or now >= held.expires_s:
        return False
    if checks_fencing:
        return True
    ready_s = held.acquired_s + terms.max_pause_s + terms.max_order_delay_s
    return ready_s <= now < held.expires_s - terms.max_order_delay_s


def _hold(
    state: State,
    made: messages.Write,
    version: int,
    sent_s: float,
    terms: Terms,
    now: float,
) -> State:
    renews = state.held is not None and made.if_version == state.held.version
    held = HeldLease(
        version=version,
        fencing_token=made.value["fence"],
        acquired_s=state.held.acquired_s if renews else now,
        expires_s=sent_s + terms.duration_s,
    )
    after = _see(state, version, state.name, held.fencing_token, now)
    return dataclasses.replace(after, held=held)


def _see(
    state: State, version: int, holder: str, fence: int, now: float
) -> State:
    if state.observed is not None and state.observed.version == version:
        return state
    seen = ObservedRow(
        version=version, holder=holder, fencing_token=fence, since_s=now
    )
    return dataclasses.replace(state, observed=seen)


def _settle_or_lose(state: State, row: messages.Row, now: float) -> State:
    """Another version than ours: our own late renewal, or a new holder.

    A renewal whose answer was lost has our name and fence. It is taken as
    the version to renew from, but lengthens nothing: when it was sent is not
    known for sure any more.
    """
    del now
    holder, fence = _decode(row.value)
    if holder == state.name and fence == state.held.fencing_token:
        held = dataclasses.replace(state.held, version=row.version)
        return dataclasses.replace(state, held=held)
    return dataclasses.replace(state, held=None)


def _decode(value: Any) -> tuple[str, int]:
    try:
        return str(value["holder"]), int(value["fence"])
    except (KeyError, TypeError, ValueError):
        return "", 0
