"""The time line: a bounded ring of typed events in each process."""

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
    """What happened."""

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
    """One thing that happened in one process."""

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
    """Which events to show; an empty field lets everything through."""

    request: str = ""
    chat: str = ""
    engine: str = ""
    bundle: int = 0


class Timeline:
    """A process's latest events.

    Args:
        clock: Stamps events.
        max_events: Events kept; the oldest go first.
    """

    def __init__(
        self, *, clock: clock.HybridClock, max_events: int = MAX_EVENTS
    ):
        self._clock = clock
        self._events: collections.deque[Event] = collections.deque(
            maxlen=max_events
        )

    def add(self, kind: Kind, **fields: Any) -> Event:
        """Stamps an event and keeps it; ``fields`` are those of ``Event``."""
        event = Event(stamp=self._clock.now(), kind=kind, **fields)
        self._events.append(event)
        return event

    def stamp_text(self) -> str:
        """Returns a stamp for a message to another process."""
        stamp = self._clock.now()
        return f"{stamp.wall_s!r} {stamp.count} {stamp.process}"

    def receive_stamp(self, stamp_text: str) -> None:
        """Moves past the stamp of a message; one that is no stamp is left."""
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
        """Returns the events kept, oldest first."""
        return tuple(self._events)


def encode(event: Event) -> dict[str, Any]:
    """Turns an event into JSON's types."""
    return dataclasses.asdict(event)


def decode(document: dict[str, Any]) -> Event:
    """Turns JSON's types into an event.

    Raises:
        ValueError: The document is no event.
    """
    try:
        fields = dict(document)
        fields["stamp"] = clock.Timestamp(**fields["stamp"])
        fields["kind"] = Kind(fields["kind"])
        return Event(**fields)
    except (KeyError, TypeError) as exc:
        raise ValueError(f"no event: {exc!r}") from exc


def merge(
    events: Iterable[Event], *, wanted: Filter | None = None
) -> list[Event]:
    """Merges events of many processes in causal order.

    Args:
        events: Events, in any order.
        wanted: Which to keep; None for all.

    Returns:
        Each event once, by stamp.
    """
    kept = {e.stamp: e for e in events if wanted is None or _fits(e, wanted)}
    return [kept[stamp] for stamp in sorted(kept)]


def _fits(event: Event, wanted: Filter) -> bool:
    for field in dataclasses.fields(Filter):
        value = getattr(wanted, field.name)
        if value and getattr(event, field.name) != value:
            return False
    return True
