"""Exchanges with other instances which release began each stream.

As long as the servers of a service run one release, and did for longer than a
stream can last, that release began all streams, and nothing is sent. Otherwise
the origin of a stream is sent, before its first event is relayed, to the
instances that keep it: two of the own data centre and one of another, which
sends it to two of its own. They are selected by the stream's key, so that an
instance at which the stream is resumed knows whom to ask. When a second release
appears, the origins of all streams relayed here until then are sent.

An origin takes 14 bytes, and a datagram about 50. Above a limit on bytes per
second, origins wait and are sent together.
"""

from __future__ import annotations

import random
import urllib.parse
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Annotated
from typing import Any

import cbor2
import gevent
import msgspec
import result

from irisshelf.catalog import releases as releases_module
from irisshelf.coordination import membership as membership_module
from irisshelf.coordination import stream_origins
from irisshelf.coordination import token_bucket
from irisshelf.gateway import metrics
from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.gateway.knowledge import peer_discovery
from irisshelf.gateway.servers import origin_registry
from irisshelf.observe import decision_log

# Path at which an instance serves ``OriginExchange.answer``.
PATH = "/stream-origin"
_REPLICAS = 2
# Instances of the own data centre that are asked: when one of the replicas has
# just gone, the views of who is next differ for a moment.
_ASKED = 3
_DATA_CENTRES = 1
# The data centre of the instance that sent an origin is not known; if it is the
# first one for the key, the origin was sent to the second.
_DATA_CENTRES_ASKED = 2
# So few are all asked, the instance that began the stream among them.
_ASK_ALL_UP_TO = 8
_FIND_TIMEOUT_S = 0.2
# For an instance that asks others of its data centre first.
_FORWARDED_TIMEOUT_S = 0.1
_BYTES_PER_S = 1200.0
_TICK_S = 0.25
# IP and UDP headers.
_HEADER_BYTES = 28
_RECORD_BYTES = stream_origins.KEY_BYTES + releases_module.KEY_BYTES
_RECORDS_PER_DATAGRAM = 90
_MAX_QUEUED_PER_RECEIVER = 500
# Longer than any stream.
_MAX_REACH_S = 1e9


_Seconds = Annotated[float, msgspec.Meta(ge=0, le=_MAX_REACH_S)]


class _Message(msgspec.Struct, array_like=True):
    # Keys of streams, each followed by the key of its release.
    records: bytes
    # Whether the receiver sends them to the replicas in its data centre.
    forward: bool = False


class _Reply(msgspec.Struct, array_like=True):
    # Whether the origin is known; without a release, records contradict.
    known: bool
    release: bytes | None
    # Releases that the asked services have had lately.
    recent: list[bytes]
    # For how long back no release of them is missing.
    reach_s: _Seconds = 0.0


class OriginExchange(origin_registry.OriginRegistry):
    """Sends, receives and finds origins of streams.

    Args:
        releases: The releases that services have had lately.
        datagrams: Carries origins.
        peers: Carries questions.
        log: Receives decoding errors.
        counts: Metrics.
        rng: Selects instances of other data centres.
        is_current: Returns whether this instance is in contact with the store,
            so that no recent release is missing.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        *,
        releases: releases_module.ReleaseHistory,
        datagrams: datagrams_module.Datagrams,
        peers: peer_discovery.PeerDiscovery,
        log: decision_log.DecisionLog,
        counts: metrics.Metrics,
        rng: random.Random,
        is_current: Callable[[], bool],
        now: Callable[[], float],
    ):
        super().__init__(releases=releases, now=now)
        self._datagrams = datagrams
        self._peers = peers
        self._membership = peers.membership
        self._log = log
        self._metrics = counts
        self._rng = rng
        self._is_current = is_current
        self._bucket = token_bucket.TokenBucket(bytes_per_s=_BYTES_PER_S)
        # By receiver and whether it forwards them: encoded origins, and when
        # each was queued.
        self._queues: dict[tuple[str, bool], list[tuple[bytes, float]]] = {}
        self._mixed: frozenset[str] = frozenset()
        datagrams.subscribe(datagrams_module.Kind.STREAM_ORIGINS, self.receive)
        peers.register_handler(PATH, self.answer)

    def run(self) -> None:
        """Sends what has had to wait, until the greenlet is killed."""
        while True:
            gevent.sleep(_TICK_S)
            self.flush()

    def record(
        self, key: bytes, services: Sequence[str], release: bytes
    ) -> None:
        """Records an origin, and sends it if it is not the only possible one.

        See ``OriginRegistry.record``.
        """
        super().record(key, services, release)
        if len(self.recent(services)) > 1:
            self._queue([(key, release)], remote=True)
            self.flush()

    def on_releases_changed(self) -> None:
        """Sends the origins of earlier streams once a second release serves."""
        now = self._now()
        recent = {
            service: self._releases.recent(service, now)
            for service in self._releases.services()
        }
        mixed = frozenset(
            name for name, keys in recent.items() if len(keys) > 1
        )
        added = mixed - self._mixed
        self._mixed = mixed
        if not added:
            return
        keys = frozenset().union(*(recent[name] for name in added))
        self._queue(
            [
                (key, origin.release)
                for key, origin in self.origins.own(now)
                if origin.release in keys
            ],
            remote=True,
        )
        self.flush()

    def receive(self, content: Any) -> None:
        """Handles the content of a datagram.

        Raises:
            ValueError: The content is not a valid message.
        """
        message = msgspec.convert(content, _Message)
        if len(message.records) % _RECORD_BYTES:
            raise ValueError(
                f"records has {len(message.records)} bytes, "
                f"allowed: multiples of {_RECORD_BYTES}"
            )
        records = [
            _split(message.records[i : i + _RECORD_BYTES])
            for i in range(0, len(message.records), _RECORD_BYTES)
        ]
        now = self._now()
        for key, release in records:
            self.origins.record(key, release, now, own=False)
        if message.forward:
            self._queue(records, remote=False)
            self.flush()

    def find(
        self, key: bytes | None, services: Sequence[str]
    ) -> origin_registry.Finding:
        """See ``OriginRegistry.find``."""
        key = key or bytes(stream_origins.KEY_BYTES)
        asked = self._members_to_ask(key)
        questions = [
            gevent.spawn(self._ask, member, key, services, forward=forward)
            for member, forward in asked
        ]
        recent: set[bytes] = set()
        reach_s = 0.0
        answers = 0
        try:
            for question in gevent.iwait(questions, timeout=_FIND_TIMEOUT_S):
                if question.value is None:
                    continue
                member, reply = question.value
                answers += 1
                recent.update(reply.recent)
                reach_s = max(reach_s, reply.reach_s)
                if reply.known:
                    return origin_registry.Finding(
                        known=True,
                        release=reply.release,
                        by=member.name,
                        asked=len(asked),
                        answers=answers,
                    )
        finally:
            gevent.killall(questions, block=False)
        return origin_registry.Finding(
            known=False,
            recent=frozenset(recent),
            reach_s=reach_s,
            asked=len(asked),
            answers=answers,
        )

    def answer(self, fields: Mapping[str, str]) -> bytes | None:
        """Answers the question of another instance.

        Args:
            fields: ``key`` in hexadecimal digits, ``services`` separated by
                commas, and ``forward`` if the replicas in this data centre are
                to be asked as well.

        Returns:
            The encoded answer; None if the question is invalid.
        """
        try:
            key = bytes.fromhex(fields.get("key", ""))
        except ValueError:
            key = b""
        if len(key) != stream_origins.KEY_BYTES:
            self._log.warning("question_unreadable", detail="key of a stream")
            return None
        services = [
            urllib.parse.unquote(name)
            for name in fields.get("services", "").split(",")
        ]
        origin = self.get(key)
        reply = _Reply(
            known=origin is not None,
            release=origin.release if origin else None,
            recent=sorted(self.recent(services)),
            reach_s=self._reach_of_reply_s(services),
        )
        if origin is None and fields.get("forward"):
            reply = self._ask_replicas(key, services, reply)
        return cbor2.dumps(msgspec.to_builtins(reply, builtin_types=(bytes,)))

    def _reach_of_reply_s(self, services: Sequence[str]) -> float:
        if not self._is_current():
            return 0.0
        return min(self.reach_s(services), _MAX_REACH_S)

    def _ask_replicas(
        self, key: bytes, services: Sequence[str], own: _Reply
    ) -> _Reply:
        recent = set(own.recent)
        reach_s = own.reach_s
        questions = [
            gevent.spawn(self._ask, member, key, services, forward=False)
            for member in self._replicas(key, _REPLICAS)
        ]
        for question in gevent.iwait(questions, timeout=_FORWARDED_TIMEOUT_S):
            if question.value is None:
                continue
            _, reply = question.value
            if reply.known:
                return reply
            recent.update(reply.recent)
            reach_s = max(reach_s, reply.reach_s)
        return _Reply(
            known=False, release=None, recent=sorted(recent), reach_s=reach_s
        )

    def _ask(
        self,
        member: membership_module.Member,
        key: bytes,
        services: Sequence[str],
        *,
        forward: bool,
    ) -> tuple[membership_module.Member, _Reply] | None:
        """Returns the instance with its answer; None if there is none."""
        names = ",".join(urllib.parse.quote(n, safe="") for n in services)
        query = {"key": key.hex(), "services": names}
        if forward:
            query["forward"] = "1"
        response = self._peers.request(
            member.address,
            f"{PATH}?{urllib.parse.urlencode(query)}",
            timeout_s=_FIND_TIMEOUT_S,
        )
        if isinstance(response, result.Err):
            return None
        try:
            reply = msgspec.convert(cbor2.loads(response.ok_value), _Reply)
        except (ValueError, TypeError, cbor2.CBORDecodeError) as exc:
            self._log.warning(
                "stream_origin_unreadable",
                address=member.address,
                detail=str(exc),
            )
            return None
        return member, reply

    def _members_to_ask(
        self, key: bytes
    ) -> list[tuple[membership_module.Member, bool]]:
        """Returns instances, and whether each asks others in turn."""
        members = self._peers.members()
        if len(members) <= _ASK_ALL_UP_TO:
            return [(member, False) for member in members]
        local = [(m, False) for m in self._replicas(key, _ASKED)]
        remote = self._remote_receivers(key, _DATA_CENTRES_ASKED)
        return [*local, *((member, True) for member in remote)]

    def _replicas(
        self, key: bytes, count: int
    ) -> list[membership_module.Member]:
        own = self._membership.own.data_centre
        members = self._membership.members(own, self._now())
        ranked = stream_origins.rank_replicas((m for m, _ in members), key)
        return ranked[:count]

    def _remote_receivers(
        self, key: bytes, count: int
    ) -> list[membership_module.Member]:
        """Returns an instance of each of the first other data centres."""
        by_data_centre: dict[str, list[membership_module.Member]] = {}
        for member in self._membership.remote_members(self._now()):
            by_data_centre.setdefault(member.data_centre, []).append(member)
        names = stream_origins.rank_data_centres(by_data_centre, key)
        return [self._rng.choice(by_data_centre[n]) for n in names[:count]]

    def _queue(
        self, records: Iterable[tuple[bytes, bytes]], *, remote: bool
    ) -> None:
        now = self._now()
        for key, release in records:
            receivers = [
                (m.address, False) for m in self._replicas(key, _REPLICAS)
            ]
            if remote:
                receivers += [
                    (member.address, True)
                    for member in self._remote_receivers(key, _DATA_CENTRES)
                ]
            for receiver in receivers:
                queue = self._queues.setdefault(receiver, [])
                queue.append((key + release, now))
                if len(queue) > _MAX_QUEUED_PER_RECEIVER:
                    del queue[0]
                    self._metrics.origins_dropped.inc()

    def flush(self) -> None:
        """Sends queued origins, as the limit on bytes per second allows."""
        while self._queues and self._bucket.has_tokens(self._now()):
            receiver = next(iter(self._queues))
            queue = self._queues.pop(receiver)
            address, forward = receiver
            for begin in range(0, len(queue), _RECORDS_PER_DATAGRAM):
                sent = queue[begin : begin + _RECORDS_PER_DATAGRAM]
                for _, queued_s in sent:
                    self._metrics.origin_wait.observe(self._now() - queued_s)
                records = b"".join(record for record, _ in sent)
                self._send(address, records, forward=forward)

    def _send(self, address: str, records: bytes, *, forward: bool) -> None:
        message = _Message(records=records, forward=forward)
        data = datagrams_module.encode(
            datagrams_module.Kind.STREAM_ORIGINS,
            msgspec.to_builtins(message, builtin_types=(bytes,)),
        )
        self._datagrams.send(address, data)
        size = len(data) + _HEADER_BYTES
        self._bucket.consume(size)
        self._metrics.origin_bytes.inc(size)


def _split(record: bytes) -> tuple[bytes, bytes]:
    """Returns the keys of a stream and of the release that began it."""
    return (
        record[: stream_origins.KEY_BYTES],
        record[stream_origins.KEY_BYTES :],
    )
