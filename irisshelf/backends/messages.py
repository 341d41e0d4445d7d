"""Typed calls to backend servers and their answers."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any


class Header(enum.StrEnum):
    """Headers that backend servers know."""

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
    """A call's limits, in seconds and bytes."""

    connect_s: float
    idle_s: float
    max_body_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineCall:
    """A request to an engine for a stream of tokens."""

    address: str
    engine: str
    attempt_id: str
    priority: str
    body: bytes
    limits: Limits


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResumeCall:
    """A request to go on with a stream that was cut.

    Attributes:
        next_offset: Offset of the first event wanted.
        generation: The generation that the cut stream named.
    """

    address: str
    engine: str
    attempt_id: str
    next_offset: int
    generation: str
    limits: Limits


@dataclasses.dataclass(frozen=True, kw_only=True)
class CancelCall:
    """Word to an engine that nobody waits for an attempt any more."""

    address: str
    engine: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayCall:
    """A model call forwarded to the owner of an engine.

    Attributes:
        address: The owner's relay address.
        secret: What all instances of the fleet know.
        body: The encoded ``relay_messages.Request``.
        timestamp: The sender's clock, for the time line.
    """

    address: str
    secret: str
    body: bytes
    timestamp: str
    limits: Limits


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamHead:
    """What an answer's headers tell of the attempt behind it.

    Attributes:
        attempt_id: The attempt's id.
        target: The engine, ``SERVER/ENGINE``, where an owner chose it.
        reason: Why the owner chose it.
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
    """A plain service's whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    draining: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineLoad:
    """One engine's load, as its server reports it.

    Attributes:
        work: Outstanding work in tokens.
        running: Requests in the batch.
        waiting: Requests that wait in the engine.
    """

    work: float
    running: int
    waiting: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerLoadReport:
    """What a backend server says of itself."""

    draining: bool
    engines: Mapping[str, EngineLoad]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Order:
    """An order to an engine, under a fencing number.

    Attributes:
        order_id: Makes the order idempotent.
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
    """Some of an engine's cache events, late and perhaps with gaps.

    Attributes:
        first: Sequence number of the first event.
        next: Sequence number to ask from next.
        added: Keys that entered the cache.
        evicted: Keys that left it.
    """

    first: int
    next: int
    added: tuple[str, ...]
    evicted: tuple[str, ...]
