"""Typed messages between the parts of an entry instance."""

from __future__ import annotations

import dataclasses

from irisshelf.catalog import model
from irisshelf.routing.direct import prompt

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InboundRequest:
    """A caller's request as it came in.

    Attributes:
        method: Such as ``POST``.
        target: Path and query, unchanged.
        headers: Names and values, unchanged.
        body: The whole body, unframed.
        has_body: Whether the caller sent a body, though it may be empty.
        arrived_s: When the head was whole, monotonic seconds.
        kept: Whether it came on a connection that had been used before.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    has_body: bool
    arrived_s: float
    kept: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestHead:
    """What a request's headers say.

    Attributes:
        request_id: The caller's id of this attempt.
        host: The host asked for.
        path: The path without a query.
        key: The caller's key; empty if there is none.
        deadline_s: Seconds that the caller waits; None if not said.
        prompt: Parts of the prompt, for model engines.
        last_event_id: The last event that the caller has of a stream.
    """

    request_id: str
    host: str
    path: str
    key: str = ""
    deadline_s: float | None = None
    prompt: prompt.Prompt = dataclasses.field(default_factory=prompt.Prompt)
    last_event_id: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """A request that has been admitted.

    Attributes:
        inbound: As it came in.
        head: What its headers say.
        route: Its route.
        service: The service that takes it.
        team: The team that its key belongs to.
        priority: Its rank.
        version: Version of the configuration that admitted it.
        until_s: When it has to be answered, monotonic seconds.
        regions: Where it may be served; None for anywhere.
    """

    inbound: InboundRequest
    head: RequestHead
    route: model.Route
    service: str
    team: str
    priority: int
    version: int
    deadline_s: float
    regions: frozenset[str] | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForwardedContext:
    """What a backend server is told beside the caller's own headers.

    Attributes:
        entry_id: The listed id of the server that it is meant for.
        team: The key's team; empty on public routes.
        left_s: What is left of the caller's time; None if not known.
        priority: Its rank, 0 first; None to say nothing.
        cache_source: Address of a server that holds the prompt's shared
            parts; empty for none.
        last_event_id: Events after this one are wanted.
    """

    entry_id: str
    team: str = ""
    left_s: float | None = None
    priority: int | None = None
    cache_source: str = ""
    last_event_id: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """A server's load, as it says itself."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerReport:
    """What a backend server says of itself in an answer's head.

    Attributes:
        load: Its load, if told.
        leaving: Whether it is about to end and wants nothing more.
        rest_s: For how long it wants nothing from this instance; 0 if it does
            not say so.
        absent: Whether the address belongs to another server, whose report
            the rest of this is.
        keep_alive_s: How long it keeps an idle connection, if told.
        unreadable: Names of headers whose values say nothing.
    """

    load: Load | None = None
    leaving: bool = False
    rest_s: float = 0.0
    absent: bool = False
    keep_alive_s: float | None = None
    unreadable: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """The head of a backend server's answer, understood.

    Attributes:
        status: HTTP status.
        headers: What goes to the caller.
        request_id: Whose answer it is; empty if not said.
        signed: Whether the answer bears the server's signature.
        not_run: Whether the server says that the request did not run.
        encoded: Whether the body is not as the server made it.
        report: What the server says of itself.
    """

    status: int
    headers: Headers
    request_id: str
    signed: bool
    not_run: bool
    encoded: bool
    report: ServerReport

    @property
    def success(self) -> bool:
        """Whether it is a success that may be passed on."""
        return 200 <= self.status < 300 and self.signed and not self.encoded


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CompleteAnswer:
    """A whole answer to the caller.

    Attributes:
        status: HTTP status.
        headers: Headers but for the framing.
        body: The body.
    """

    status: int
    headers: Headers
    body: bytes
