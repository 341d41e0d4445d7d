"""Event time line: a bounded ring buffer of typed events per process."""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
from collections.abc import Iterable
from typing import Any

from irisshelf.coordination import clock

MAX_EVENTS = 8192


class Kind(enum.StrEnum):
    """Type of an event."""

    REQUEST = "request"
    SEND = "send"
    FORWARD = "forward"
    RETRY = "retry"
    RESUME = "resume"
    ANSWERED = "answered"
    REFUSED = "refused"
    CANCEL = "cancel"
    CLAIM = "claim"
    HEALTH = "health"
    BUNDLE = "bundle"
    INSTANCE = "instance"
    MEMBERSHIP = "membership"
    PLATFORM = "platform"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """Event in one process."""

    stamp: clock.Timestamp
    kind: Kind
    request: str = ""
    attempt: str = ""
    chat: str = ""
    engine: str = ""
    bundle: int = 0
    detail: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Filter:
    """Values that events must have; an empty field matches every event."""

    request: str = ""
    chat: str = ""
    engine: str = ""
    bundle: int = 0


class Timeline:
    """Most recent events of a process.

    Args:
        clock: Source of the events' timestamps.
        max_events: Capacity; when it is reached, the oldest event is evicted.
    """

    def __init__(
        self, *, clock: clock.HybridClock, max_events: int = MAX_EVENTS
    ):
        self._clock = clock
        self._events: collections.deque[Event] = collections.deque(
            maxlen=max_events
        )

    def add(self, kind: Kind, **fields: Any) -> Event:
        """Records an event at the current time; ``fields`` as in ``Event``."""
        event = Event(stamp=self._clock.now(), kind=kind, **fields)
        self._events.append(event)
        return event

    def stamp_text(self) -> str:
        """Returns a new encoded timestamp for a message to another process."""
        stamp = self._clock.now()
        return f"{stamp.wall_s!r} {stamp.count} {stamp.process}"

    def receive_stamp(self, stamp_text: str) -> None:
        """Advances the clock past a received timestamp, if it is valid."""
        parts = stamp_text.split(" ")
        try:
            stamp = clock.Timestamp(
                wall_s=float(parts[0]), count=int(parts[1]), process=parts[2]
            )
        except (ValueError, IndexError):
            return
        if math.isfinite(stamp.wall_s):
            self._clock.receive(stamp)

    def events(self) -> tuple[Event, ...]:
        """Returns the recorded events, oldest first."""
        return tuple(self._events)


def encode(event: Event) -> dict[str, Any]:
    """Converts an event to JSON types."""
    return dataclasses.asdict(event)


def decode(document: dict[str, Any]) -> Event:
    """Converts JSON types to an event.

    Raises:
        ValueError: The document is not an event.
    """
    try:
        fields = dict(document)
        fields["stamp"] = clock.Timestamp(**fields["stamp"])
        fields["kind"] = Kind(fields["kind"])
        return Event(**fields)
    except (KeyError, TypeError) as exc:
        raise ValueError(f"invalid time line event: {exc!r}") from exc


def merge(
    events: Iterable[Event], *, event_filter: Filter | None = None
) -> list[Event]:
    """Merges events of several processes into causal order.

    Args:
        events: Events, in any order.
        event_filter: Selects events; None selects all.

    Returns:
        Each event once, ordered by timestamp.
    """
    selected = {
        e.stamp: e
        for e in events
        if event_filter is None or _matches(e, event_filter)
    }
    return [selected[stamp] for stamp in sorted(selected)]


def _matches(event: Event, event_filter: Filter) -> bool:
    for field in dataclasses.fields(Filter):
        value = getattr(event_filter, field.name)
        if value and getattr(event, field.name) != value:
            return False
    return True
