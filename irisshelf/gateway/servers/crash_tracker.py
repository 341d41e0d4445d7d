"""What one instance does about requests that end the servers that run them.

See ``crash_suspects`` for what is decided; here is what it is decided by:
whether a server has ended, what has been answered well of late, and what
other instances have seen.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable

import gevent

from irisshelf.catalog import directory
from irisshelf.gateway import messages
from irisshelf.gateway import metrics
from irisshelf.gateway.servers import reachability
from irisshelf.gateway.servers import servers as servers_module
from irisshelf.observe import decision_log
from irisshelf.routing import crash_suspects
from irisshelf.transport import client
from irisshelf.transport import errors

# Good answers that are remembered, and the longest bodies among them: 3 MB at
# the most. A content that many repeat is among them when a server ends, so that
# it is not blamed for that.
_RECENT = 512
_RECENT_BODY_BYTES = 4096
# A server that has ended is not asked again so soon: none is back by then. One
# that listens may end the next moment.
_EXIT_KNOWN_S = 1.0

# A server that has gone may have ended under a suspect request at another
# instance as long as the message about it, which is sent twice, may take.
_PRESUMED_S = 1.0

_Asked = tuple[str, str, str, bytes]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SuspectPlacement:
    """Where a suspect request may go; see ``DesignatedServer``."""

    server: directory.BackendServer | None
    uncertain: bool


class CrashTracker:
    """Knows contents that servers ended under, and tells of them.

    Args:
        servers: How servers are reached.
        listed: The servers that the store lists.
        log: Takes decisions.
        counts: Metrics.
        now: Monotonic seconds.

    Attributes:
        suspects: What is known of contents.
        on_crash: Told of an end that this instance saw, to tell the others.
        on_clear: Told of a content that is cleared, to tell the others.
    """

    def __init__(
        self,
        *,
        servers: servers_module.Servers,
        listed: directory.Directory,
        log: decision_log.DecisionLog,
        counts: metrics.Metrics,
        now: Callable[[], float],
    ):
        self.suspects = crash_suspects.CrashSuspects()
        self.on_crash: Callable[[bytes, crash_suspects.ServerCrash], None] = (
            _no_peers
        )
        self.on_clear: Callable[[bytes], None] = _no_peers
        self._servers = servers
        self._listed = listed
        self._log = log
        self._metrics = counts
        self._now = now
        self._recent: collections.deque[_Asked] = collections.deque(
            maxlen=_RECENT
        )
        # By life: when it was found to have ended.
        self._exited_s: dict[str, float] = {}
        self._probes: dict[str, gevent.Greenlet] = {}

    def verdict(self, job: messages.Job) -> crash_suspects.Verdict | None:
        """Returns what is thought of a request; None if it is clear.

        As long as no content is suspect, which is nearly always, this is one
        look. Bodies are read only where team, path and length are those of a
        suspect one, as a long one holds up the loop.
        """
        if not self._may_be_suspect(job):
            return None
        found = self.suspects.judge(_content(job), self._now())
        return None if found.stage is crash_suspects.Stage.CLEAR else found

    def place_suspect(
        self,
        job: messages.Job,
        verdict: crash_suspects.Verdict,
        avoid: set[str],
    ) -> SuspectPlacement:
        """Returns the one server that a suspect request may go to, if any."""
        known = {
            server.server_id: server
            for server in self._servers.eligible.accepting(
                job.service, job.regions
            )
        }
        gone = {
            name
            for name, server in known.items()
            if self._servers.exited_for_s(server) <= _PRESUMED_S
        }
        fit = [
            name
            for name, server in known.items()
            if name in gone
            or (name not in avoid and not self._servers.is_unreachable(server))
        ]
        keys = {end.server_key for end in verdict.crashes}
        found = crash_suspects.designate_server(
            _content(job),
            fit,
            crashed={name for name in fit if directory.key_of(name) in keys},
            recently_gone=gone,
            crash_count=len(verdict.crashes),
        )
        server = None if found.server is None else known[found.server]
        return SuspectPlacement(server=server, uncertain=found.uncertain)

    def record_disconnect(
        self, job: messages.Job, server: directory.BackendServer
    ) -> bool:
        """Takes that a connection broke before anything of an answer came.

        Returns:
            Whether the request looks as if it had ended the server.
        """
        if not self.has_exited(server) or _asked(job) in self._recent:
            return False
        end = crash_suspects.ServerCrash(
            server_key=directory.key_of(server.server_id), at_s=self._now()
        )
        content = _content(job)
        if self._apply_crash(
            content, end, job.head.request_id, server.server_id
        ):
            self.on_crash(content, end)
        return True

    def record_success(self, job: messages.Job) -> None:
        """Takes that a request was answered well."""
        if len(job.inbound.body) <= _RECENT_BODY_BYTES:
            self._recent.append(_asked(job))
        if not self._may_be_suspect(job):
            return
        content = _content(job)
        if self._clear(content, job.head.request_id):
            self.on_clear(content)

    def record_refusal(
        self, job: messages.Job, verdict: crash_suspects.Verdict
    ) -> None:
        """Takes that a request is refused for what servers ended under."""
        self._metrics.crashes.labels("refused").inc()
        self._log.request(
            "request_barred",
            job.head.request_id,
            content=_content(job).hex(),
            servers=[end.server_key.hex() for end in verdict.crashes],
            barred_for_s=round(verdict.barred_for_s, 1),
        )

    def receive_crash(
        self, content: bytes, end: crash_suspects.ServerCrash
    ) -> None:
        """Takes an end that another instance has seen, if it is confirmed here.

        A datagram may say anything. It counts only if this instance finds the
        server ended as well: its entry has gone, or nobody listens there.
        """
        server = self._servers.by_key(end.server_key)
        if server is None:
            if self._servers.recently_delisted(end.server_key):
                self._apply_reported_crash(content, end, "")
            return
        if self.has_exited(server):
            self._apply_reported_crash(content, end, server.server_id)

    def receive_clear(self, content: bytes) -> None:
        """Takes that another instance has a good answer to a content."""
        self._clear(content, "")

    def merge_crash(
        self, content: bytes, end: crash_suspects.ServerCrash
    ) -> None:
        """Takes what a neighbour has answered to this instance's question."""
        self._apply_crash(content, end, "", "")

    def has_exited(self, server: directory.BackendServer) -> bool:
        """Tells whether a listed server's process has ended.

        A reset alone says nothing: connections are reset, and die while an
        instance stands still. But where a process has ended, its machine
        refuses a new connection. A server that is silent is cut off or dark,
        which no request brings about; one that leaves ends as planned.
        """
        listed = self._listed.get(server.entry_id)
        if listed is None or self._servers.eligible.is_leaving(server):
            return False
        if listed.server_id != server.server_id:
            return True
        name = server.server_id
        if (
            self._now() - self._exited_s.get(name, float("-inf"))
            < _EXIT_KNOWN_S
        ):
            return True
        if name not in self._probes:
            self._probes[name] = gevent.spawn(self._probe, server)
        return self._probes[name].get()

    def _may_be_suspect(self, job: messages.Job) -> bool:
        if not self.suspects:
            return False
        inbound = job.inbound
        shape = crash_suspects.fingerprint_prefix(
            job.team, inbound.method, inbound.target, len(inbound.body)
        )
        return self.suspects.has_prefix(shape)

    def _probe(self, server: directory.BackendServer) -> bool:
        try:
            ended = self._is_refusing(server)
        finally:
            del self._probes[server.server_id]
        if ended:
            now = self._now()
            self._exited_s = {
                name: exited_s
                for name, exited_s in self._exited_s.items()
                if now - exited_s < _EXIT_KNOWN_S
            }
            self._exited_s[server.server_id] = now
        return ended

    def _is_refusing(self, server: directory.BackendServer) -> bool:
        """Tells whether nobody listens at a server's address."""
        self._metrics.connects.labels(server.service).inc()
        try:
            conn = client.connect(
                server.address, timeout_s=reachability.CONNECT_TIMEOUT_S
            )
        except errors.ConnectError as exc:
            self._servers.record_unreachable(server, exc, "")
            return not exc.silent
        self._servers.connection_pool.add_idle(server, conn)
        return False

    def _apply_reported_crash(
        self, content: bytes, end: crash_suspects.ServerCrash, name: str
    ) -> None:
        known = any(
            crash_suspects.request_fingerprint(*a) == content
            for a in self._recent
        )
        if known:
            self.on_clear(content)
            return
        self._apply_crash(content, end, "", name)

    def _apply_crash(
        self,
        content: bytes,
        end: crash_suspects.ServerCrash,
        request: str,
        name: str,
    ) -> bool:
        if not self.suspects.record_crash(content, end, self._now()):
            return False
        verdict = self.suspects.judge(content, self._now())
        self._metrics.crashes.labels(verdict.stage.value).inc()
        self._log.problem(
            "server_ended_under_request",
            content=content.hex(),
            request=request,
            server=name,
            key=end.server_key.hex(),
            ends=len(verdict.crashes),
            stage=verdict.stage.value,
        )
        return True

    def _clear(self, content: bytes, request: str) -> bool:
        if not self.suspects.record_success(content):
            return False
        self._metrics.crashes.labels("cleared").inc()
        self._log.instance(
            "content_cleared", content=content.hex(), request=request
        )
        return True


def _asked(job: messages.Job) -> _Asked:
    inbound = job.inbound
    return (job.team, inbound.method, inbound.target, inbound.body)


def _content(job: messages.Job) -> bytes:
    return crash_suspects.request_fingerprint(*_asked(job))


def _no_peers(*facts: object) -> None:
    """Stands in until there are others to tell."""
