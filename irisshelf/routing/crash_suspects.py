"""Which requests end the servers that begin to run them.

A caller repeats such a request, each time with an id of its own, at any
instance; each repeat would end one server more, and break off whatever else
that server works on. So what servers ended under is remembered by the *content*
of requests, and told among instances.

A server that ends has many requests, and at most one of them did it. Blamed is
only what nothing had come back of, as of the culprit, and of few others. And a
good answer speaks for a content, so that one which many repeat is not blamed
for servers that end of themselves.

Stages of a content:

- *clear*: no server ended under it since its last good answer.
- *suspect*: one or two did. All instances send it to one and the same server,
  see ``place``, so that copies on the way at the same moment end one
  server together.
- *barred*: three did. It is refused until ``BARRED_S`` have passed; then it is
  suspect again, and the next end bars it at once.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import hashlib
from collections.abc import Collection
from collections.abc import Sequence

# The users allow three servers to end under a request. Fewer would bar requests
# that were under way when a rack went down, once with each of two tries.
CRASHES_TO_BAR = 3
# Costs the caller of a content that was blamed wrongly so long; costs one
# server each time if it was right, which is away for seconds: under 1 in 100
# of one server's time.
BARRED_S = 600.0
# A content under which nothing has ended for so long is clear.
_FORGOTTEN_S = 2 * BARRED_S
# What several instances say of one server within this time is one end: no
# server is back within a second (the users: "after some seconds").
_SAME_END_S = 1.0
# Entries of 300 bytes or so. A flood of contents that end one server each
# cannot be longer than servers come back.
_MAX_ENTRIES = 2000
_HALF_BYTES = 8


class Stage(enum.StrEnum):
    """What is thought of a content."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    BARRED = "barred"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerCrash:
    """One end of a server.

    Attributes:
        server: The short key of the server's life.
        at_s: When, in the reader's seconds.
    """

    server_key: bytes
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """What is thought of a content now.

    Attributes:
        stage: The stage.
        ends: Servers that ended under it.
        barred_for_s: How long it is barred yet; 0 if it is not.
    """

    stage: Stage
    crashes: tuple[ServerCrash, ...] = ()
    barred_for_s: float = 0.0


_CLEAR = Verdict(stage=Stage.CLEAR)


def fingerprint_prefix(team: str, method: str, target: str, size: int) -> bytes:
    """Returns the first half of a content, for which no body is read.

    Args:
        team: The caller's team; empty on public routes.
        method: Such as ``POST``.
        target: Path and query.
        size: Of the body, in bytes.
    """
    text = f"{team}\0{method}\0{target}\0{size}".encode()
    return hashlib.blake2b(text, digest_size=_HALF_BYTES).digest()


def request_fingerprint(
    team: str, method: str, target: str, body: bytes
) -> bytes:
    """Returns what repeats of one request have in common, as two digests.

    Ids, deadlines and where a stream goes on differ between repeats; the host
    and the service may, after a change of the configuration.

    Args:
        team: The caller's team; empty on public routes.
        method: Such as ``POST``.
        target: Path and query.
        body: The whole body.

    Example:
        >>> request_fingerprint("a", "GET", "/x", b"").hex()
        'a73b3951233db5c5e4a6a0577479b2b4'
    """
    shape = fingerprint_prefix(team, method, target, len(body))
    return shape + hashlib.blake2b(body, digest_size=_HALF_BYTES).digest()


class CrashSuspects:
    """What instances know of the contents that servers ended under."""

    def __init__(self, *, max_entries: int = _MAX_ENTRIES):
        self._max_entries = max_entries
        # Oldest change first.
        self._ends: dict[bytes, tuple[ServerCrash, ...]] = {}
        self._shapes: collections.Counter[bytes] = collections.Counter()

    def __bool__(self) -> bool:
        """Whether any content is not clear, so that contents matter."""
        return bool(self._ends)

    def __len__(self) -> int:
        return len(self._ends)

    def record_crash(
        self, content: bytes, end: ServerCrash, now: float
    ) -> bool:
        """Takes that a server ended under a content.

        Returns:
            Whether that was not known.
        """
        known = self._lasting(content, now)
        old = now - end.at_s >= _FORGOTTEN_S
        if old or any(_same(end, other) for other in known):
            return False
        self._drop(content)
        latest = sorted((*known, end), key=lambda e: e.at_s)
        self._ends[content] = tuple(latest[-CRASHES_TO_BAR:])
        self._shapes[content[:_HALF_BYTES]] += 1
        self._make_room()
        return True

    def record_success(self, content: bytes) -> bool:
        """Takes a good answer; returns whether it cleared the content."""
        return self._drop(content)

    def has_prefix(self, shape: bytes) -> bool:
        """Tells whether a content of a shape may not be clear."""
        return shape in self._shapes

    def judge(self, content: bytes, now: float) -> Verdict:
        """Returns what is thought of a content."""
        if content not in self._ends:
            return _CLEAR
        ends = self._lasting(content, now)
        if not ends:
            self._drop(content)
            return _CLEAR
        left_s = ends[-1].at_s + BARRED_S - now
        if len(ends) < CRASHES_TO_BAR or left_s <= 0:
            return Verdict(stage=Stage.SUSPECT, crashes=ends)
        return Verdict(stage=Stage.BARRED, crashes=ends, barred_for_s=left_s)

    def snapshot(self, now: float) -> dict[bytes, tuple[ServerCrash, ...]]:
        """Returns all that is known, for an instance that knows nothing."""
        for content in list(self._ends):
            self.judge(content, now)
        return dict(self._ends)

    def _lasting(self, content: bytes, now: float) -> tuple[ServerCrash, ...]:
        ends = self._ends.get(content, ())
        if ends and now - ends[-1].at_s < _FORGOTTEN_S:
            return ends
        return ()

    def _make_room(self) -> None:
        """Drops the least suspect, of these the one unchanged for longest."""
        while len(self._ends) > self._max_entries:
            self._drop(min(self._ends, key=lambda c: len(self._ends[c])))

    def _drop(self, content: bytes) -> bool:
        """Forgets a content; returns whether it was known."""
        if self._ends.pop(content, None) is None:
            return False
        shape = content[:_HALF_BYTES]
        self._shapes[shape] -= 1
        if not self._shapes[shape]:
            del self._shapes[shape]
        return True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DesignatedServer:
    """Where a suspect content may go.

    Attributes:
        server: The one server; None if there is none.
        uncertain: Whether so many servers may have ended under the content
            that another one must not be risked.
    """

    server: str | None = None
    uncertain: bool = False


def designate_server(
    content: bytes,
    servers: Sequence[str],
    *,
    crashed: Collection[str] = (),
    recently_gone: Collection[str] = (),
    crash_count: int = 0,
) -> DesignatedServer:
    """Returns the one server that a suspect content may go to.

    All instances choose alike from the same list, without messages. Where the
    one that they choose has just gone, a copy of the request at another
    instance may have ended it, and the message about that be on its way: it
    counts as one more end until it is too old for that.

    Args:
        content: The content.
        servers: Those that may take it, the ones that have gone included.
        crashed: Those that ended under it; they may be back, but another's end
            says more.
        recently_gone: Those whose process ended a short while ago.
        crash_count: How many servers are known to have ended under it.
    """
    pool = [name for name in servers if name not in crashed]
    fit = [name for name in pool or servers if name not in recently_gone]
    best = max(fit, key=lambda name: _rank(content, name), default=None)
    least = b"" if best is None else _rank(content, best)
    presumed = sum(
        name in recently_gone and _rank(content, name) > least for name in pool
    )
    if presumed and crash_count + presumed >= CRASHES_TO_BAR:
        return DesignatedServer(uncertain=True)
    return DesignatedServer(server=best)


def _rank(content: bytes, name: str) -> bytes:
    return hashlib.blake2b(name.encode(), key=content, digest_size=8).digest()


def _same(one: ServerCrash, other: ServerCrash) -> bool:
    near = abs(one.at_s - other.at_s) < _SAME_END_S
    return one.server_key == other.server_key and near
