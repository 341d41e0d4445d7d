"""Tells other instances which contents servers ended under.

Repeats come to any instance of any data centre. So each end is told at once, to
all instances of the own data centre and to a few of each other one, which tell
theirs; and once more a moment later, as datagrams get lost. An instance that
has just started asks a neighbour for all that is known.

An end is told in 60 bytes to each instance, twice; nothing is sent as long as
no server ends under a request.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import Annotated
from typing import Any

import cbor2
import gevent
import msgspec

from irisshelf import boottime
from irisshelf.coordination import membership as membership_module
from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.gateway.servers import crash_tracker
from irisshelf.observe import decision_log
from irisshelf.routing import crash_suspects

_KIND = datagrams_module.Kind.CRASHES
# Where an instance answers ``CrashGossip.all``.
SNAPSHOT_PATH = "/crashes"
_AGAIN_S = 0.4
# Instances of each other data centre that are told.
_ABROAD = 3
# A datagram on the way for longer than this is out of its time.
_OLDEST_MS = 10_000
_CATCH_UP_PAUSE_S = 0.5
_CATCH_UP_TRIES = 20

_Content = Annotated[bytes, msgspec.Meta(min_length=16, max_length=16)]
_Server = Annotated[bytes, msgspec.Meta(min_length=1, max_length=16)]
_AgeMs = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _Message(msgspec.Struct, array_like=True):
    content: _Content
    # The server that ended; none for a good answer.
    server: _Server | None
    age_ms: _AgeMs
    # Whether the reader tells its own data centre.
    relay: bool


class CrashGossip:
    """Sends and takes ends of servers.

    Args:
        crashes: What this instance knows.
        datagrams: Carries messages.
        membership: The other instances.
        log: Takes what cannot be read.
    """

    def __init__(
        self,
        *,
        crashes: crash_tracker.CrashTracker,
        datagrams: datagrams_module.Datagrams,
        membership: membership_module.Membership,
        log: decision_log.DecisionLog,
    ):
        self._log = log
        self._crashes = crashes
        self._datagrams = datagrams
        self._membership = membership
        crashes.on_crash = self._tell_end
        crashes.on_clear = self._tell_good
        datagrams.subscribe(_KIND, self.receive)

    def receive(self, content: Any) -> None:
        """Takes what a datagram holds.

        Raises:
            ValueError: It is none.
        """
        message = msgspec.convert(content, _Message)
        if message.age_ms > _OLDEST_MS:
            return
        if message.relay:
            message.relay = False
            self._send_home(_encode(message))
        # Whether a server has ended is asked of it, and others wait meanwhile.
        gevent.spawn(self._apply, message)

    def catch_up(self, ask: Callable[[], bytes | None]) -> None:
        """Asks a neighbour for all that is known, until one has answered.

        Args:
            ask: Returns a neighbour's ``all``; None if there was no answer.
        """
        for _ in range(_CATCH_UP_TRIES):
            data = ask()
            if data is not None:
                self._take_all(data)
                return
            gevent.sleep(_CATCH_UP_PAUSE_S)

    def snapshot(self, fields: Mapping[str, str] | None = None) -> bytes:
        """Returns all that is known, for ``catch_up``.

        Args:
            fields: Of the question; there is nothing to choose.
        """
        now = boottime.now()
        rows = [
            (content, end.server_key, int((now - end.at_s) * 1000))
            for content, ends in self._crashes.suspects.snapshot(now).items()
            for end in ends
        ]
        return cbor2.dumps(rows)

    def _take_all(self, data: bytes) -> None:
        now = boottime.now()
        try:
            rows = msgspec.convert(
                cbor2.loads(data), list[tuple[_Content, _Server, _AgeMs]]
            )
        except (ValueError, TypeError, cbor2.CBORDecodeError) as exc:
            self._log.problem("crashes_unreadable", detail=str(exc))
            return
        for content, server, age_ms in rows:
            end = crash_suspects.ServerCrash(
                server_key=server, at_s=now - age_ms / 1000
            )
            self._crashes.merge_crash(content, end)

    def _apply(self, message: _Message) -> None:
        if message.server is None:
            self._crashes.receive_clear(message.content)
            return
        at_s = boottime.now() - message.age_ms / 1000
        end = crash_suspects.ServerCrash(server_key=message.server, at_s=at_s)
        self._crashes.receive_crash(message.content, end)

    def _tell_end(
        self, content: bytes, end: crash_suspects.ServerCrash
    ) -> None:
        self._tell(content, end.server_key, end.at_s)

    def _tell_good(self, content: bytes) -> None:
        self._tell(content, None, boottime.now())

    def _tell(self, content: bytes, server: bytes | None, at_s: float) -> None:
        self._send(content, server, at_s)
        gevent.spawn_later(_AGAIN_S, self._send, content, server, at_s)

    def _send(self, content: bytes, server: bytes | None, at_s: float) -> None:
        age_ms = int((boottime.now() - at_s) * 1000)
        message = _Message(content, server, age_ms, relay=False)
        self._send_home(_encode(message))
        message.relay = True
        data = _encode(message)
        told: dict[str, int] = {}
        for member in self._membership.remote_members(boottime.now()):
            count = told.get(member.data_centre, 0)
            if count < _ABROAD:
                told[member.data_centre] = count + 1
                self._datagrams.send(member.address, data)

    def _send_home(self, data: bytes) -> None:
        own = self._membership.own.data_centre
        for member, _ in self._membership.members(own, boottime.now()):
            self._datagrams.send(member.address, data)


def _encode(message: _Message) -> bytes:
    content = msgspec.to_builtins(message, builtin_types=(bytes,))
    return datagrams_module.encode(_KIND, content)
