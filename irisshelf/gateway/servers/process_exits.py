"""Whether the process of a server that refuses connections has exited.

A host refuses connections to a process that has exited, but a partition may
have the same effect on one instance, or on several. So a refusal counts only if
it is confirmed by an instance that reaches other servers: another one, or this
one if no other can tell.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Sequence

import gevent

from irisshelf.catalog import directory
from irisshelf.routing.direct import server_paths

# Other servers to which this instance connects to find that its own link works.
_PROBED_SERVERS = 2


class ProcessExits:
    """Servers whose processes may have exited, or have.

    Args:
        listed: Returns the servers that are listed now.
        probe: Connects to a server directly; returns whether that succeeded.
        check: Finds out whether other instances reach a server, and calls
            ``judge``; returns the greenlet that does so.
        on_exit: Called with a server whose exit is confirmed.
        rng: Picks the servers that are probed.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        *,
        listed: Callable[[], Sequence[directory.BackendServer]],
        probe: Callable[[directory.BackendServer], bool],
        check: Callable[[directory.BackendServer], gevent.Greenlet],
        on_exit: Callable[[directory.BackendServer], None],
        rng: random.Random,
        now: Callable[[], float],
    ):
        self._listed = listed
        self._probe = probe
        self._check = check
        self._on_exit = on_exit
        self._rng = rng
        self._now = now
        # By server id: when it first refused a connection, and whether its exit
        # has been confirmed since.
        self._refused_s: dict[str, float] = {}
        self._exited: set[str] = set()

    def record_refused(self, server: directory.BackendServer) -> None:
        """Records that a server's host has refused a connection."""
        self._refused_s.setdefault(server.server_id, self._now())

    def take_exited(self, server: directory.BackendServer) -> bool:
        """Returns whether a server that is back had exited, and forgets it."""
        self._refused_s.pop(server.server_id, None)
        exited = server.server_id in self._exited
        self._exited.discard(server.server_id)
        return exited

    def refused_for_s(self, server: directory.BackendServer) -> float:
        """Returns how long a server has refused connections.

        Infinite if it does not, or if others reach it.
        """
        refused_s = self._refused_s.get(server.server_id, float("-inf"))
        return self._now() - refused_s

    def confirm(self, server: directory.BackendServer) -> bool:
        """Returns whether a server that refuses connections has exited.

        Waits for the answers of other instances.
        """
        self.record_refused(server)
        if not self.has_exited(server):
            self._check(server).join()
        return self.has_exited(server)

    def judge(
        self,
        server: directory.BackendServer,
        verdict: server_paths.Verdict | None,
    ) -> None:
        """Judges a server by what other instances have found.

        Args:
            server: The server.
            verdict: What they found; None if none could tell.
        """
        if server.server_id not in self._refused_s:
            return
        if verdict is server_paths.Verdict.REACHED:
            self.take_exited(server)
        elif verdict is server_paths.Verdict.REFUSED or (
            verdict is None and self.reaches_others(server)
        ):
            is_new = server.server_id not in self._exited
            self._exited.add(server.server_id)
            if is_new:
                self._on_exit(server)

    def retain(self, names: frozenset[str]) -> None:
        """Forgets servers that are no longer listed."""
        self._exited &= names
        for name in self._refused_s.keys() - names:
            del self._refused_s[name]

    def has_exited(self, server: directory.BackendServer) -> bool:
        """Returns whether a server's exit has been confirmed."""
        return server.server_id in self._exited

    def reaches_others(self, server: directory.BackendServer) -> bool:
        """Returns whether this instance's own link works.

        Connects to other servers, of the same service if it has any: a
        partition may separate an instance from one service only. Servers that
        refuse connections as well show nothing unless all do, and those whose
        exit has been confirmed show nothing at all.
        """
        others = [
            other
            for other in self._listed()
            if other.server_id != server.server_id
            and other.server_id not in self._exited
        ]
        if not others:
            return True
        same = [other for other in others if other.service == server.service]
        others = same or others
        others = [
            other for other in others if other.server_id not in self._refused_s
        ] or others
        probed = self._rng.sample(others, min(_PROBED_SERVERS, len(others)))
        probes = [gevent.spawn(self._probe, other) for other in probed]
        gevent.joinall(probes)
        return any(probe.value for probe in probes)
