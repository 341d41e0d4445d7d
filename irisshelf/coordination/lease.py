"""A lease with a fencing token for orders to engines.

One row in the platform's table for each data centre names the holder of the
lease. An instance that takes over the lease increments the row's fencing token,
which orders carry.

Clocks of two instances are never compared. A holder measures its lease from the
time before it sent the renewal, on its own clock. Another instance takes over
only after it has itself observed the row unchanged for the lease's duration,
extended by the maximum difference of clock rates. Two instances therefore never
give orders at the same time, unless the holder is paused between checking its
clock and sending an order.

Because of this race, engines should check the fencing token. An engine that
does refuses an order of a previous holder, however late it arrives. With an
engine that does not, a holder gives no orders shortly before its lease expires,
and a new holder waits for ``max_pause_s`` and ``max_order_delay_s`` before its
first order.

Not guaranteed: that an engine that ignores fencing tokens never receives an
order of a previous holder, if that holder was paused for longer than
``max_pause_s`` in this race.
"""

from __future__ import annotations

import dataclasses
from typing import Any

import result

from irisshelf.store import errors
from irisshelf.store import messages

ROW_PREFIX = "leases/orders/"
DURATION_S = 10.0
RENEW_FRACTION = 0.4
MAX_CLOCK_DRIFT = 0.01
MAX_PAUSE_S = 5.0
MAX_ORDER_DELAY_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Terms:
    """Parameters of a lease, the same on all instances.

    Attributes:
        duration_s: How long a lease is valid without renewal.
        renew_fraction: Fraction of the duration after which it is renewed.
        max_clock_drift: Maximum relative difference of two clocks' rates.
        max_pause_s: Longest pause of a holder's process that is tolerated.
        max_order_delay_s: Longest time from deciding on an order to its effect.
    """

    duration_s: float = DURATION_S
    renew_fraction: float = RENEW_FRACTION
    max_clock_drift: float = MAX_CLOCK_DRIFT
    max_pause_s: float = MAX_PAUSE_S
    max_order_delay_s: float = MAX_ORDER_DELAY_S


@dataclasses.dataclass(frozen=True, kw_only=True)
class ObservedRow:
    """The row as last read, and how long it has been unchanged.

    Attributes:
        version: Version of the row; ``messages.ABSENT`` if it does not exist.
        holder: Name of the lease's holder.
        fencing_token: The row's fencing token.
        since_s: When this version was first read, on this instance's clock.
    """

    version: int
    holder: str
    fencing_token: int
    since_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeldLease:
    """A lease that this instance holds.

    Attributes:
        version: Version of the row that this instance wrote.
        fencing_token: Fencing token that orders carry.
        acquired_s: When the lease was first acquired.
        expires_s: When it expires, on this instance's clock.
    """

    version: int
    fencing_token: int
    acquired_s: float
    expires_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class State:
    """A lease as known to one instance."""

    name: str
    row: str
    observed: ObservedRow | None = None
    held: HeldLease | None = None
    write_sent_s: float | None = None


def initial_state(*, name: str, data_centre: str) -> State:
    """Returns the state of an instance that has not read the row yet."""
    return State(name=name, row=ROW_PREFIX + data_centre)


def observe(
    state: State,
    answer: result.Result[messages.Row, errors.NotFound | errors.Unavailable],
    now: float,
) -> State:
    """Processes the response to a read of the row.

    Args:
        state: The state before.
        answer: The table's response.
        now: Time at which the response arrived.

    Returns:
        The new state. A row with this instance's name and fencing token shows
        that a renewal whose response was lost has taken effect.
    """
    if isinstance(answer, result.Err):
        if isinstance(answer.err_value, errors.Unavailable):
            return state
        return _with_observed(state, messages.ABSENT, "", 0, now)
    row = answer.ok_value
    holder, fence = _decode(row.value)
    after = _with_observed(state, row.version, holder, fence, now)
    held = after.held
    if held is not None and row.version != held.version:
        after = _reconcile(after, row, now)
    return after


def should_write(state: State, *, terms: Terms, now: float) -> bool:
    """Returns whether this instance should now acquire or renew the lease."""
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
    """Returns the conditional write that acquires or renews the lease.

    Args:
        state: The state, for which ``should_write`` returned True.
        now: Time at which the write is sent.

    Raises:
        ValueError: The row has not been read yet.
    """
    if state.observed is None:
        raise ValueError("the lease's row has not been read yet")
    is_renewal = state.held is not None and now < state.held.expires_s
    if is_renewal:
        fence, version = state.held.fencing_token, state.held.version
    else:
        fence, version = (
            state.observed.fencing_token + 1,
            state.observed.version,
        )
    write = messages.Write(
        key=state.row,
        value={"holder": state.name, "fence": fence},
        if_version=version,
    )
    return dataclasses.replace(state, write_sent_s=now), write


def after_write(
    state: State,
    write: messages.Write,
    answer: result.Result[
        tuple[int, ...], errors.Conflict | errors.Unavailable
    ],
    *,
    terms: Terms,
    now: float,
) -> State:
    """Processes the response to a write.

    A lost response changes nothing: the lease expires when it would have, and
    the next read shows whether the write took effect.
    """
    sent_s = now if state.write_sent_s is None else state.write_sent_s
    state = dataclasses.replace(state, write_sent_s=None)
    if isinstance(answer, result.Ok):
        return _with_held(state, write, answer.ok_value[0], sent_s, terms, now)
    if isinstance(answer.err_value, errors.Conflict):
        failed = answer.err_value.failed[0]
        holder, fence = _decode(failed.value)
        lost = dataclasses.replace(state, held=None)
        return _with_observed(lost, failed.version, holder, fence, now)
    return state


def may_order(
    state: State, *, terms: Terms, checks_fencing: bool, now: float
) -> bool:
    """Returns whether this instance may now give an order to an engine.

    Args:
        state: The state.
        terms: The lease's parameters.
        checks_fencing: Whether the engine refuses outdated fencing tokens.
        now: Time on this instance's clock.
    """
    held = state.held
    if held is None or now >= held.expires_s:
        return False
    if checks_fencing:
        return True
    ready_s = held.acquired_s + terms.max_pause_s + terms.max_order_delay_s
    return ready_s <= now < held.expires_s - terms.max_order_delay_s


def _with_held(
    state: State,
    write: messages.Write,
    version: int,
    sent_s: float,
    terms: Terms,
    now: float,
) -> State:
    is_renewal = (
        state.held is not None and write.if_version == state.held.version
    )
    held = HeldLease(
        version=version,
        fencing_token=write.value["fence"],
        acquired_s=state.held.acquired_s if is_renewal else now,
        expires_s=sent_s + terms.duration_s,
    )
    after = _with_observed(state, version, state.name, held.fencing_token, now)
    return dataclasses.replace(after, held=held)


def _with_observed(
    state: State, version: int, holder: str, fence: int, now: float
) -> State:
    if state.observed is not None and state.observed.version == version:
        return state
    observed = ObservedRow(
        version=version, holder=holder, fencing_token=fence, since_s=now
    )
    return dataclasses.replace(state, observed=observed)


def _reconcile(state: State, row: messages.Row, now: float) -> State:
    """Handles a row that has another version than the held lease.

    This is either a renewal of this instance whose response was lost, which has
    its name and fencing token, or the row of a new holder. Such a renewal
    provides the version for the next one but does not extend the lease, as the
    time at which it was sent is no longer known for certain.
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
