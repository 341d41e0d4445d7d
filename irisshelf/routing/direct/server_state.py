"""Data classes of the state that is kept about a backend server."""

from __future__ import annotations

import collections
import dataclasses

# Starts and ends of own requests that are kept for each server.
_MAX_CHANGES = 64


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadEstimate:
    """Estimate of a server's current load.

    Attributes:
        remaining: Known requests that it still has.
        sent: Those of them that this instance has sent since the last report.
        ended: Requests counted in the last report that have ended since.
    """

    remaining: float
    sent: int
    ended: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectFailure:
    """Failed attempts to connect to a server.

    Attributes:
        timed_out: Whether the latest one got no response at all.
        count: Number of attempts in a row.
        at_s: When the latest one failed, monotonic seconds.
    """

    timed_out: bool
    count: int
    at_s: float


@dataclasses.dataclass(slots=True)
class ServerState:
    """What is kept about a server."""

    own_requests: int = 0
    last_send_number: float = float("-inf")
    sent_since_report: int = 0
    reported_requests: int = 0
    reported_s: float = float("-inf")
    changes: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_CHANGES)
    )
    failure_rate: float = 0.0
    outcomes: int = 0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until_s: float = float("-inf")
    awaiting_outcome: bool = False
    unreachable: bool = False
    connect_failures: int = 0
    timed_out: bool = True
    last_unreachable_s: float = float("-inf")
    last_received_s: float = float("-inf")
    duration_s: float = 0.0
