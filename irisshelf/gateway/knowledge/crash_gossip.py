"""Shares server crashes, by fingerprint, among instances.

A caller may send a request that crashes servers at any instance of any data
centre. So each crash is sent at once to all instances of the own data centre
and to a few of each other data centre, which forward it within theirs. It is
sent once more a moment later, because datagrams get lost. An instance that has
just started fetches all known crashes from peers.

A message holds the fingerprints of one request, 15 bytes each, and is sent
twice to each instance; nothing is sent as long as no server crashes under a
request.
"""

from __future__ import annotations

from collections.abc import Collection
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
from irisshelf.routing import crash_evidence
from irisshelf.routing import crash_suspects
from irisshelf.routing import designation
from irisshelf.routing import fingerprints

_KIND = datagrams_module.Kind.CRASHES
# Path at which an instance serves ``CrashGossip.snapshot``.
SNAPSHOT_PATH = "/crashes"
# A bar that an instance does not know of lasts for this time at most.
NEEDED_S = crash_suspects.BARRED_S
_RESEND_DELAY_S = 0.4
# Number of receivers in each other data centre.
_REMOTE_FAN_OUT = 3
# Messages about older events are dropped as delayed.
_MAX_AGE_MS = 10_000

# Fingerprints in one message, so that it fits into a datagram.
_MAX_FINGERPRINTS = 64
# Successful parts in a snapshot, 15 bytes each.
_MAX_SUCCESSES = 1000
_LATE_FLAG = 1
_SOUND_FLAG = 2

_Fingerprint = Annotated[
    bytes,
    msgspec.Meta(
        min_length=fingerprints.PART_BYTES,
        max_length=fingerprints.CONTENT_BYTES,
    ),
]
_ServerKey = Annotated[bytes, msgspec.Meta(min_length=1, max_length=16)]
_AgeMs = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Flags = Annotated[int, msgspec.Meta(ge=0, le=_LATE_FLAG | _SOUND_FLAG)]
_Release = Annotated[bytes, msgspec.Meta(max_length=16)]
# Server key, age, flags and release of one crash.
_Crash = tuple[_ServerKey, _AgeMs, _Flags, _Release]


class _Snapshot(msgspec.Struct, array_like=True):
    # Crashes by fingerprint.
    crashes: list[tuple[_Fingerprint, list[_Crash]]]
    # Parts that have succeeded lately, and their age.
    successes: list[tuple[_Fingerprint, _AgeMs]]


class _Message(msgspec.Struct, array_like=True):
    # Fingerprints of a request, each with the flags of its evidence.
    evidence: Annotated[
        list[tuple[_Fingerprint, _Flags]],
        msgspec.Meta(min_length=1, max_length=_MAX_FINGERPRINTS),
    ]
    # The server that crashed; None if the request was answered without a crash.
    server_key: _ServerKey | None
    age_ms: _AgeMs
    # Whether the receiver forwards the message within its data centre.
    forward: bool
    # The release that the server ran; empty if unknown.
    release: _Release


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

    def snapshot(self) -> bytes:
        """Encodes known crashes and recent successes."""
        now = boottime.now()
        crashes = [
            (fingerprint, [_pack(crash, now) for crash in crashes])
            for fingerprint, crashes in self._crashes.suspects.snapshot(
                now
            ).items()
        ]
        successes = [
            (fingerprint, int((now - at_s) * 1000))
            for fingerprint, at_s in self._crashes.successes.latest_parts(
                _MAX_SUCCESSES
            )
        ]
        return cbor2.dumps([crashes, successes])

    def apply_snapshot(self, data: bytes) -> bool:
        """Applies the result of a peer's ``snapshot``.

        Returns:
            Whether it was readable.
        """
        now = boottime.now()
        try:
            found = catch_up.decode(data, _Snapshot)
        except ValueError as exc:
            self._log.warning("crashes_unreadable", detail=str(exc))
            return False
        for fingerprint, age_ms in found.successes:
            at_s = now - age_ms / 1000
            self._crashes.successes.add_part(fingerprint, at_s)
        for fingerprint, crashes in found.crashes:
            for server_key, age_ms, flags, release in crashes:
                crash = _unpack(server_key, now - age_ms / 1000, flags, release)
                self._crashes.merge_crash(fingerprint, crash)
        return True

    def is_designated(self, fingerprint: bytes) -> bool:
        """Returns whether this instance may try a barred fingerprint."""
        own = self._membership.own
        now = boottime.now()
        local = [
            member
            for member, _ in self._membership.members(own.data_centre, now)
        ]
        known = [own, *local, *self._membership.remote_members(now)]
        name = designation.designate_instance(
            fingerprint, [(one.data_centre, one.name) for one in known]
        )
        return name == own.name

    def _apply(self, message: _Message) -> None:
        at_s = boottime.now() - message.age_ms / 1000
        if message.server_key is None:
            cleared = [fingerprint for fingerprint, _ in message.evidence]
            self._crashes.receive_clear(cleared, at_s)
            return
        evidence = [
            (
                fingerprint,
                _unpack(message.server_key, at_s, flags, message.release),
            )
            for fingerprint, flags in message.evidence
        ]
        self._crashes.receive_crash(evidence)

    def _publish_crash(self, evidence: crash_tracker.Evidence) -> None:
        for start in range(0, len(evidence), _MAX_FINGERPRINTS):
            chunk = evidence[start : start + _MAX_FINGERPRINTS]
            rows = [(one, _flags(crash)) for one, crash in chunk]
            crash = chunk[0][1]
            self._publish(rows, crash.server_key, crash.at_s, crash.release)

    def _publish_clear(self, cleared: Collection[bytes]) -> None:
        rows = [(fingerprint, 0) for fingerprint in cleared]
        for start in range(0, len(rows), _MAX_FINGERPRINTS):
            chunk = rows[start : start + _MAX_FINGERPRINTS]
            self._publish(chunk, None, boottime.now(), b"")

    def _publish(
        self,
        rows: list[tuple[bytes, int]],
        server_key: bytes | None,
        at_s: float,
        release: bytes,
    ) -> None:
        message = _Message(rows, server_key, 0, forward=False, release=release)
        self._send(message, at_s)
        gevent.spawn_later(_RESEND_DELAY_S, self._send, message, at_s)

    def _send(self, message: _Message, at_s: float) -> None:
        message.age_ms = int((boottime.now() - at_s) * 1000)
        message.forward = False
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


def _flags(crash: crash_evidence.ServerCrash) -> int:
    return _LATE_FLAG * crash.late | _SOUND_FLAG * crash.sound


def _pack(crash: crash_evidence.ServerCrash, now: float) -> _Crash:
    age_ms = int((now - crash.at_s) * 1000)
    return crash.server_key, age_ms, _flags(crash), crash.release


def _unpack(
    server_key: bytes, at_s: float, flags: int, release: bytes
) -> crash_evidence.ServerCrash:
    return crash_evidence.ServerCrash(
        server_key=server_key,
        at_s=at_s,
        late=bool(flags & _LATE_FLAG),
        sound=bool(flags & _SOUND_FLAG),
        release=release,
    )


def _encode(message: _Message) -> bytes:
    content = msgspec.to_builtins(message, builtin_types=(bytes,))
    return datagrams_module.encode(_KIND, content)
