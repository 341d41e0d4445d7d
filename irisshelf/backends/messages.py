"""Typed calls to backend servers and their responses."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any


class Header(enum.StrEnum):
    """HTTP headers exchanged with backend servers and other instances."""

    ATTEMPT_ID = "X-Attempt-Id"
    GENERATION = "X-Generation"
    PRIORITY = "X-Priority"
    NOT_RUN = "X-Not-Run"
    DRAINING = "X-Draining"
    ENGINE_WORK = "X-Engine-Work"
    TARGET = "X-Target"
    REASON = "X-Placement-Reason"
    TIMESTAMP = "X-Stamp"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """The limits of a call, in seconds and bytes.

    Attributes:
        connect_s: Time limit for the connect.
        idle_s: Time limit for each read.
        max_body_bytes: Maximum size of a plain service's response.
    """

    connect_s: float
    idle_s: float
    max_body_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineCall:
    """A request to an engine that is answered by a stream of tokens."""

    address: str
    engine: str
    attempt_id: str
    priority: str
    body: bytes
    limits: Limits


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResumeCall:
    """A request to resume an interrupted stream.

    Attributes:
        next_offset: Offset of the first event to be sent.
        generation: Id of the generation, as given by the interrupted stream.
    """

    address: str
    engine: str
    attempt_id: str
    next_offset: int
    generation: str
    limits: Limits


@dataclasses.dataclass(frozen=True, kw_only=True)
class CancelCall:
    """Cancels an attempt whose result is no longer needed."""

    address: str
    engine: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayCall:
    """A model call forwarded to the owner of an engine.

    Attributes:
        address: The owner's relay address.
        secret: The secret shared by all instances of the fleet.
        body: The encoded ``relay_messages.Request``.
        timestamp: The sender's clock reading, for the timeline of events.
    """

    address: str
    secret: str
    body: bytes
    timestamp: str
    limits: Limits


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamHead:
    """Attempt metadata in the headers of a response.

    Attributes:
        attempt_id: Id of the attempt.
        target: The engine, as ``SERVER/ENGINE``, if an owner chose it.
        reason: The owner's reason for the choice.
        engine_work: The engine's outstanding work before this request.
    """

    attempt_id: str
    target: str
    reason: str
    engine_work: float | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceCall:
    """A request to a plain service."""

    address: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    attempt_id: str
    limits: Limits


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceResponse:
    """The complete response of a plain service.

    Attributes:
        status: The HTTP status.
        headers: The end-to-end headers.
        body: The complete body.
        draining: Whether the server reported that it accepts no new work.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    draining: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineLoad:
    """The load of one engine, as reported by its server.

    Attributes:
        work: Outstanding work, in tokens.
        running: Number of requests in the current batch.
        waiting: Number of requests queued in the engine.
    """

    work: float
    running: int
    waiting: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerLoadReport:
    """The load report of a backend server.

    Attributes:
        draining: Whether it accepts no new work.
        engines: The load of each engine, by name.
    """

    draining: bool
    engines: Mapping[str, EngineLoad]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Order:
    """A command to an engine that carries a fencing number.

    Attributes:
        order_id: Idempotency key; an order sent again is not executed again.
        fence: The lease's fencing number.
        action: Such as ``load_model``, ``load_adapter`` or ``set_role``.
        arguments: The action's arguments.
    """

    order_id: str
    fence: int
    action: str
    arguments: Mapping[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class CacheEvents:
    """A batch of cache events of an engine; may be late and have gaps.

    Attributes:
        first: Sequence number of the first event in the batch.
        next: Sequence number at which the next batch starts.
        added: Keys added to the cache.
        evicted: Keys evicted from the cache.
    """

    first: int
    next: int
    added: tuple[str, ...]
    evicted: tuple[str, ...]
