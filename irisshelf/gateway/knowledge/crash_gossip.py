"""Shares server crashes, by request fingerprint, among instances.

A caller may repeat a request at any instance of any data centre. So each crash
is sent at once to all instances of the own data centre and to a few of each
other data centre, which forward it within theirs. It is sent once more a moment
later, because datagrams get lost. An instance that has just started fetches all
known crashes from a peer.

A message takes 60 bytes and is sent twice to each instance; nothing is sent as
long as no server crashes under a request.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Annotated
from typing import Any

import cbor2
import gevent
import msgspec

from irisshelf import boottime
from irisshelf.coordination import membership as membership_module
from irisshelf.gateway.knowledge import catch_up
from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.gateway.servers import crash_tracker
from irisshelf.observe import decision_log
from irisshelf.routing import crash_suspects

_KIND = datagrams_module.Kind.CRASHES
# Path at which an instance serves ``CrashGossip.snapshot``.
SNAPSHOT_PATH = "/crashes"
_RESEND_DELAY_S = 0.4
# Number of receivers in each other data centre.
_REMOTE_FAN_OUT = 3
# Messages about older events are dropped as delayed.
_MAX_AGE_MS = 10_000

_Fingerprint = Annotated[bytes, msgspec.Meta(min_length=16, max_length=16)]
_ServerKey = Annotated[bytes, msgspec.Meta(min_length=1, max_length=16)]
_AgeMs = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _Message(msgspec.Struct, array_like=True):
    # Request fingerprint.
    fingerprint: _Fingerprint
    # The server that crashed; None if the request was answered without a crash.
    server_key: _ServerKey | None
    age_ms: _AgeMs
    # Whether the receiver forwards the message within its data centre.
    forward: bool


class CrashGossip:
    """Exchanges server crashes with other instances.

    Args:
        crashes: The crashes that this instance knows of.
        datagrams: Carries the messages.
        membership: The other instances.
        log: Receives decoding errors.
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
        crashes.on_crash = self._publish_crash
        crashes.on_clear = self._publish_clear
        datagrams.subscribe(_KIND, self.receive)

    def receive(self, content: Any) -> None:
        """Handles the content of a datagram.

        Raises:
            ValueError: The content is not a valid message.
        """
        message = msgspec.convert(content, _Message)
        if message.age_ms > _MAX_AGE_MS:
            return
        if message.forward:
            message.forward = False
            self._send_locally(_encode(message))
        # Probes the server that is said to have crashed, which would block the
        # receive loop.
        gevent.spawn(self._apply, message)

    def catch_up(
        self, request_snapshots: Callable[[], Sequence[bytes]]
    ) -> None:
        """Fetches all known crashes from peers, retrying until one answers.

        Args:
            request_snapshots: Returns the ``snapshot`` of each peer that
                answered.
        """
        catch_up.fetch(request_snapshots, self._apply_snapshot)

    def snapshot(self, fields: Mapping[str, str] | None = None) -> bytes:
        """Encodes all known crashes, for ``catch_up``.

        Args:
            fields: Query parameters; ignored.
        """
        now = boottime.now()
        rows = [
            (fingerprint, crash.server_key, int((now - crash.at_s) * 1000))
            for fingerprint, crashes in self._crashes.suspects.snapshot(
                now
            ).items()
            for crash in crashes
        ]
        return cbor2.dumps(rows)

    def _apply_snapshot(self, data: bytes) -> None:
        now = boottime.now()
        try:
            rows = msgspec.convert(
                cbor2.loads(data), list[tuple[_Fingerprint, _ServerKey, _AgeMs]]
            )
        except (ValueError, TypeError, cbor2.CBORDecodeError) as exc:
            self._log.warning("crashes_unreadable", detail=str(exc))
            return
        for fingerprint, server_key, age_ms in rows:
            crash = crash_suspects.ServerCrash(
                server_key=server_key, at_s=now - age_ms / 1000
            )
            self._crashes.merge_crash(fingerprint, crash)

    def _apply(self, message: _Message) -> None:
        at_s = boottime.now() - message.age_ms / 1000
        if message.server_key is None:
            self._crashes.receive_clear(message.fingerprint, at_s)
            return
        crash = crash_suspects.ServerCrash(
            server_key=message.server_key, at_s=at_s
        )
        self._crashes.receive_crash(message.fingerprint, crash)

    def _publish_crash(
        self, fingerprint: bytes, crash: crash_suspects.ServerCrash
    ) -> None:
        self._publish(fingerprint, crash.server_key, crash.at_s)

    def _publish_clear(self, fingerprint: bytes) -> None:
        self._publish(fingerprint, None, boottime.now())

    def _publish(
        self, fingerprint: bytes, server_key: bytes | None, at_s: float
    ) -> None:
        self._send(fingerprint, server_key, at_s)
        gevent.spawn_later(
            _RESEND_DELAY_S, self._send, fingerprint, server_key, at_s
        )

    def _send(
        self, fingerprint: bytes, server_key: bytes | None, at_s: float
    ) -> None:
        age_ms = int((boottime.now() - at_s) * 1000)
        message = _Message(fingerprint, server_key, age_ms, forward=False)
        self._send_locally(_encode(message))
        message.forward = True
        data = _encode(message)
        sent: dict[str, int] = {}
        for member in self._membership.remote_members(boottime.now()):
            count = sent.get(member.data_centre, 0)
            if count < _REMOTE_FAN_OUT:
                sent[member.data_centre] = count + 1
                self._datagrams.send(member.address, data)

    def _send_locally(self, data: bytes) -> None:
        own = self._membership.own.data_centre
        for member, _ in self._membership.members(own, boottime.now()):
            self._datagrams.send(member.address, data)


def _encode(message: _Message) -> bytes:
    content = msgspec.to_builtins(message, builtin_types=(bytes,))
    return datagrams_module.encode(_KIND, content)
