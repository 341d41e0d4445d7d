"""What callers, servers and operators saw in a soak run."""

from __future__ import annotations

import dataclasses
import enum
import math

# Statuses that promise that a request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})


class RequestKind(enum.StrEnum):
    """Kinds of request by what may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    RESUMABLE = "resumable"

    @property
    def once(self) -> bool:
        """Whether it may run once at most."""
        return self in (RequestKind.UNSAFE, RequestKind.STREAM)

    @property
    def streamed(self) -> bool:
        """Whether its answer is a stream."""
        return self in (RequestKind.STREAM, RequestKind.RESUMABLE)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Asked:
    """A request as its caller saw it.

    Attributes:
        request_id: Its id.
        kind: Its kind.
        key: The key it carried.
        instance: The instance it went to, by number.
        sent_s: When it was sent.
        deadline_s: Seconds that its caller waits.
        ended_s: When the answer ended.
        status: 0 if the connection ended without an answer.
        whole: Whether the body came to its proper end.
        body: What came of the body.
        signature: The server's word for it.
        calm: Whether it was sent after the faults.
        crashing: Whether it ends the servers that run it.
        resumes: Id of the attempt that began the stream that it resumes.
        after_event: The last event that its caller had before.
        left: Whether its caller left before the answer's end.
        team: Its team, in requests of hard load; empty otherwise.
        priority: Its priority, in requests of hard load.
        retries: Whether an earlier attempt was rejected.
        public: Whether its route needs no key.
    """

    request_id: str
    kind: RequestKind
    key: str
    instance: int
    sent_s: float
    deadline_s: float
    ended_s: float
    status: int
    whole: bool
    body: bytes
    signature: str = ""
    calm: bool = False
    crashing: bool = False
    resumes: str = ""
    after_event: int = 0
    left: bool = False
    team: str = ""
    priority: int = 0
    retries: bool = False
    public: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ran:
    """A request that a server began to work on.

    Attributes:
        request_id: Its id.
        server_id: The server's.
        at_s: When it began, monotonic seconds.
        server: The server's number.
        far: Whether the server stands in the far data centre.
    """

    request_id: str
    server_id: str
    at_s: float
    server: int = 0
    far: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrived:
    """A request that reached a server, also one that it turned away.

    Attributes:
        request_id: The request's id.
        server: The server's number.
        life: Tells one start of the server from others.
        at_s: When, monotonic seconds.
        leaving: Whether the answer says that the server leaves.
        rest_s: For how long the answer asks for no requests; 0 if it does not.
    """

    request_id: str
    server: int
    life: int | None
    at_s: float
    leaving: bool = False
    rest_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Span:
    """A time in which something was disturbed; ``target`` by number."""

    target: int
    from_s: float
    to_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionSpan:
    """A time in which a server, by its number, served at a version."""

    server: int
    version: str
    from_s: float
    to_s: float = math.inf


@dataclasses.dataclass(frozen=True, kw_only=True)
class Record:
    """All that was seen in a run.

    Attributes:
        asked: Requests.
        ran: Runs.
        withdrawn: When each withdrawn key was withdrawn.
        left: When each server's leaving was accepted by the store.
        disturbed: Spans in which an instance was not in touch.
        stopped: Spans of planned stops of undisturbed instances.
        events: Events of a whole stream.
        ends_s: When servers ended under the crashing request.
        partitioned: Spans in which an instance reached no server by itself.
        evacuated: Spans in which the far data centre was evacuated.
        cold: Spans in which a server was cold.
        unlisted: Spans in which the store lacked what it had lost.
        arrived: Requests that reached servers.
        lagged: Spans in which the store's list lagged. What servers announced
            before them stays known.
        versions: Spans in which servers served streams at versions.
        padding_bytes: Bytes that each event of a stream is longer by.
        keys: All keys that were ever valid; empty if others are not used.
        peaks_bytes: The most memory that each instance has taken; empty if that
            is not checked.
    """

    asked: tuple[Asked, ...]
    ran: tuple[Ran, ...]
    withdrawn: dict[str, float]
    left: dict[str, float]
    disturbed: tuple[Span, ...]
    stopped: tuple[Span, ...]
    events: int
    ends_s: tuple[float, ...] = ()
    partitioned: tuple[Span, ...] = ()
    evacuated: tuple[Span, ...] = ()
    cold: tuple[Span, ...] = ()
    unlisted: tuple[Span, ...] = ()
    arrived: tuple[Arrived, ...] = ()
    lagged: tuple[Span, ...] = ()
    versions: tuple[VersionSpan, ...] = ()
    padding_bytes: int = 0
    keys: frozenset[str] = frozenset()
    peaks_bytes: tuple[int, ...] = ()
