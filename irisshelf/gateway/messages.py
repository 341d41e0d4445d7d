"""Messages exchanged between the parts of an entry instance."""

from __future__ import annotations

import dataclasses

from irisshelf.catalog import model
from irisshelf.routing.direct import prompt

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InboundRequest:
    """A caller's request as received.

    Attributes:
        method: HTTP method, such as ``POST``.
        target: Path and query, unchanged.
        headers: Names and values, unchanged.
        body: The complete body, without framing.
        has_body: Whether the caller sent a body, which may be empty.
        arrived_s: When the head was complete, in monotonic seconds.
        kept: Whether it was received on a reused connection.
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
    """The parsed head of a request.

    Attributes:
        request_id: The caller's id of this attempt.
        host: The requested host.
        path: The path without the query.
        key: The caller's API key; empty if there is none.
        deadline_s: How long the caller waits, in seconds; None if not given.
        prompt: Parts of the prompt, for model engines.
        last_event_id: Id of the last stream event that the caller received.
        resumes: Id of the caller's attempt that received the first event of the
            stream which this one resumes; empty if not given or unreadable.
    """

    request_id: str
    host: str
    path: str
    key: str = ""
    deadline_s: float | None = None
    prompt: prompt.Prompt = dataclasses.field(default_factory=prompt.Prompt)
    last_event_id: int | None = None
    resumes: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """A request that has been admitted.

    Attributes:
        inbound: The request as received.
        head: Its parsed head.
        route: The matching route.
        service: The service that handles it.
        team: The team that its API key belongs to.
        priority: Its priority.
        version: Version of the configuration under which it was admitted.
        deadline_s: When it must be completed, in monotonic seconds.
        regions: Regions in which it may be served; None for any region.
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
    """Data sent to a backend server in addition to the caller's headers.

    Attributes:
        entry_id: Id of the intended server in the server list.
        team: The team of the API key; empty on public routes.
        left_s: Time left until the deadline; None if there is none.
        priority: The priority, 0 is the highest; None to omit it.
        cache_source: Address of a server that has the shared parts of the
            prompt in its cache; empty if there is none.
        last_event_id: Id of the event after which to resume the stream.
    """

    entry_id: str
    team: str = ""
    left_s: float | None = None
    priority: int | None = None
    cache_source: str = ""
    last_event_id: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """Load reported by a backend server.

    Attributes:
        running: Requests being processed.
        waiting: Requests in its queue.
        slots: Requests that it processes concurrently; None if unreadable.
        slowdown: Its current processing time relative to normal; 1.0 is normal.
        reports_slowdown: Whether it has reported the slowdown; if not, 1.0 is
            assumed.
    """

    running: int
    waiting: int
    slots: int | None
    slowdown: float = 1.0
    reports_slowdown: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerReport:
    """The status that a backend server reports in the head of a response.

    Attributes:
        load: Its load; None if not reported.
        leaving: Whether it is shutting down and takes no more requests.
        rest_s: For how long it asks this instance to send no requests; 0 if it
            does not ask for that.
        absent: Whether the address belongs to a different server. The other
            fields are then the report of that server.
        keep_alive_s: How long it keeps idle connections; None if not reported.
        unreadable: Names of headers with invalid values, also of those that are
            used in part.
    """

    load: Load | None = None
    leaving: bool = False
    rest_s: float = 0.0
    absent: bool = False
    keep_alive_s: float | None = None
    unreadable: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """The parsed head of a backend server's response.

    Attributes:
        status: HTTP status.
        headers: Headers to pass to the caller.
        request_id: Id of the request that it answers; empty if not given.
        signed: Whether the response has the server's signature.
        not_run: Whether the server states that the request did not run.
        encoded: Whether the body was encoded on its way from the server.
        body_bytes: Size of the body; None if the head does not tell it.
        report: The server's report about itself.
    """

    status: int
    headers: Headers
    request_id: str
    signed: bool
    not_run: bool
    encoded: bool
    report: ServerReport
    body_bytes: int | None = None

    @property
    def success(self) -> bool:
        """Whether it is a successful response that may be passed on."""
        return 200 <= self.status < 300 and self.signed and not self.encoded


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CompleteAnswer:
    """A complete response to the caller.

    Attributes:
        status: HTTP status.
        headers: Headers without framing.
        body: The complete body.
    """

    status: int
    headers: Headers
    body: bytes
