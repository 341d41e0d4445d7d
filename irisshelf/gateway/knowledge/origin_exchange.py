"""Exchanges with other instances which release began each stream.

As long as the servers of a service run one release, and did for longer than a
stream can last, that release began all streams, and nothing is sent. Otherwise
the origin of a stream is sent, before its first event is relayed, to the
instances that keep it: two of the own data centre and one of another. They are
selected by the stream's key, so that an instance at which the stream is resumed
knows whom to ask first; if they do not know it, all others are asked, see
``origin_questions``. When a second release appears, the origins of the streams
relayed here until then are sent to a few instances.

An origin takes 14 bytes, and a datagram about 50. No limit holds an origin
back, as its stream is lost if this instance ends before it is sent. Below a
limit on bytes per second, the instance in the other data centre forwards it to
two more.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import gevent
import msgspec

from irisshelf.catalog import releases as releases_module
from irisshelf.coordination import stream_origins
from irisshelf.coordination import token_bucket
from irisshelf.gateway import metrics
from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.gateway.knowledge import origin_placement
from irisshelf.gateway.knowledge import origin_questions
from irisshelf.gateway.knowledge import origin_search
from irisshelf.gateway.knowledge import peer_discovery
from irisshelf.gateway.servers import origin_registry
from irisshelf.observe import decision_log

PATH = origin_search.PATH
_DATA_CENTRES = 1
# Origins of earlier streams share datagrams, so that copies cost little.
_REPLICAS_OF_EARLIER = 3
_DATA_CENTRES_OF_EARLIER = 2
# For an instance that asks others of its data centre first.
_FORWARDED_TIMEOUT_S = 0.1
_BYTES_PER_S = 1200.0
_TICK_S = 0.25
# IP and UDP headers.
_HEADER_BYTES = 28
_RECORD_BYTES = stream_origins.KEY_BYTES + releases_module.KEY_BYTES
# Takes the place of the release's key if records contradict.
_CONTRADICTING = bytes(releases_module.KEY_BYTES)
_RECORDS_PER_DATAGRAM = 90
# Origins of earlier streams that wait to be sent.
_MAX_EARLIER = 2000
_NO_KEY = bytes(stream_origins.KEY_BYTES)
_TIMING = origin_questions.Timing()


class _Message(msgspec.Struct, array_like=True):
    # Keys of streams, each followed by the key of its release.
    records: bytes
    # Whether the receiver sends them to the replicas in its data centre.
    forward: bool = False


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
        has_recent_list: Returns whether it was until lately.
        now: Monotonic seconds.
        timing: Times of a search.

    Attributes:
        asked_in_vain: Whether no other instance has told, after a start, of all
            releases that there have been.
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
        has_recent_list: Callable[[], bool],
        now: Callable[[], float],
        timing: origin_questions.Timing = _TIMING,
    ):
        super().__init__(releases=releases, now=now)
        self._datagrams = datagrams
        self._membership = peers.membership
        self._log = log
        self._metrics = counts
        self._placement = origin_placement.OriginPlacement(
            peers=peers, rng=rng, now=now
        )
        self._requests = origin_search.OriginRequests(
            peers=peers, log=log, timeout_s=timing.find_s
        )
        self._is_current = is_current
        self._has_recent_list = has_recent_list
        self._timing = timing
        self._bucket = token_bucket.TokenBucket(bytes_per_s=_BYTES_PER_S)
        # Encoded origins of earlier streams that are still to be sent, and
        # since when.
        self._earlier: collections.deque[bytes] = collections.deque()
        self._earlier_since_s = 0.0
        self._mixed: frozenset[str] = frozenset()
        self.asked_in_vain = False
        # Whether there are, or have been, other data centres.
        self._has_remote = False
        self._questions = origin_questions.OriginQuestions(
            datagrams=datagrams,
            peers=peers,
            rng=rng,
            timing=timing,
            on_question=self._reply,
            on_sent=self._count_sent,
            now=now,
        )
        datagrams.subscribe(datagrams_module.Kind.STREAM_ORIGINS, self.receive)
        peers.register_handler(PATH, self.answer)

    def run(self) -> None:
        """Sends origins of earlier streams, until the greenlet is killed."""
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
        if len(self.recent(services)) <= 1 and not self._may_be_more(services):
            return
        forward = self._bucket.has_tokens(self._now())
        receivers = [(m.address, False) for m in self._placement.replicas(key)]
        receivers += [
            (member.address, forward)
            for member in self._placement.remote(key, _DATA_CENTRES)
        ]
        self._metrics.origin_wait.observe(0.0)
        for address, forwards in receivers:
            self._send(address, key + release, forward=forwards)

    def record_asked_in_vain(self) -> None:
        """Records that nobody has told of all releases that there have been."""
        self.asked_in_vain = True

    def _may_be_more(self, services: Sequence[str]) -> bool:
        """Returns whether there may be releases that nobody has told of."""
        reach_s = self.reach_s(services)
        return self.asked_in_vain and reach_s < self._releases.horizon_s

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
        records = [
            key + origin.release
            for key, origin in self.origins.own(now)
            if origin.release in keys
        ]
        # The latest streams are the most likely ones to be resumed.
        records.reverse()
        records += self._earlier
        self._metrics.origins_dropped.inc(max(0, len(records) - _MAX_EARLIER))
        self._earlier = collections.deque(records[:_MAX_EARLIER])
        self._earlier_since_s = now
        self.flush()

    def flush(self) -> None:
        """Sends some of the origins of earlier streams.

        They all go to the same instances, so that they share datagrams. Who
        looks for them asks all instances.
        """
        count = min(len(self._earlier), _RECORDS_PER_DATAGRAM)
        if not count:
            return
        waited_s = self._now() - self._earlier_since_s
        records = b"".join(self._earlier.popleft() for _ in range(count))
        name = self._membership.own.name
        key = stream_origins.stream_key("", name)
        for member in (
            *self._placement.replicas(key, _REPLICAS_OF_EARLIER),
            *self._placement.remote(key, _DATA_CENTRES_OF_EARLIER),
        ):
            self._send(member.address, records)
        for _ in range(count):
            self._metrics.origin_wait.observe(waited_s)

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
            known = None if release == _CONTRADICTING else release
            self.origins.record(key, known, now, own=False)
        self._questions.record_known(key for key, _ in records)
        if message.forward:
            self._forward(records)

    def find(
        self, key: bytes | None, services: Sequence[str]
    ) -> origin_registry.Finding:
        """See ``OriginRegistry.find``.

        The instances that should keep the origin are asked first. All others
        are asked if these do not know it, unless no other release can have
        begun the stream.
        """
        members = self._placement.asked_first(key or _NO_KEY)
        search = origin_search.Search(asked=len(members))
        requests = self._requests.send(members, key or _NO_KEY, services)
        try:
            self._requests.collect(
                search, requests, self._timing.all_asked_after_s
            )
            if not search.known:
                # Not less if this process stood still until now.
                self._search_on(
                    search, key, services, requests, self._timing.find_s
                )
        finally:
            gevent.killall(requests, block=False)
        if search.known and key is not None:
            self.origins.record(key, search.release, self._now(), own=False)
        return search.finding()

    def _search_on(
        self,
        search: origin_search.Search,
        key: bytes | None,
        services: Sequence[str],
        requests: list[gevent.Greenlet],
        timeout_s: float,
    ) -> None:
        """Asks all instances, unless no other release can have begun it."""
        began_s = self._now()
        if key is None:
            self._requests.collect(search, requests, timeout_s)
            return
        if self._is_conclusive(search, services):
            self._requests.collect(
                search,
                requests,
                timeout_s,
                is_over=lambda: not self._is_conclusive(search, services),
            )
            timeout_s -= self._now() - began_s
            if search.known or self._is_conclusive(search, services):
                return
        try:
            known = self._questions.ask(key)
            self._requests.collect(search, requests, timeout_s, known=known)
        finally:
            self._questions.end(key)
        origin = self.get(key)
        if not search.known and origin is not None:
            search.known = True
            search.release = origin.release

    def _is_conclusive(
        self, search: origin_search.Search, services: Sequence[str]
    ) -> bool:
        return self.only_release(search.finding(), services) is not None

    def only_release(
        self, finding: origin_registry.Finding, services: Sequence[str]
    ) -> bytes | None:
        """See ``OriginRegistry.only_release``.

        An instance without the store may be cut off together with those that
        answer, while another release serves elsewhere.
        """
        members = self._membership.remote_members(self._now())
        self._has_remote = self._has_remote or bool(members)
        if self._has_remote and not (finding.is_remote or self._is_current()):
            return None
        return super().only_release(finding, services)

    def answer(self, fields: Mapping[str, str]) -> bytes | None:
        """Answers the question of another instance.

        Args:
            fields: ``key`` in hexadecimal digits, ``services`` separated by
                commas, and ``forward`` if the replicas in this data centre are
                to be asked as well.

        Returns:
            The encoded answer; None if the question is invalid.
        """
        request = origin_search.read_request(fields)
        if request is None:
            self._log.warning("question_unreadable", detail="key of a stream")
            return None
        key, services = request
        origin = self.get(key)
        reply = origin_search.Reply(
            known=origin is not None,
            release=origin.release if origin else None,
            recent=sorted(self.recent(services)),
            reach_s=self._reach_of_reply_s(services),
        )
        if origin is None and fields.get("forward"):
            reply = self._ask_replicas(key, services, reply)
        return origin_search.encode(reply)

    def _reach_of_reply_s(self, services: Sequence[str]) -> float:
        if not self._has_recent_list():
            return 0.0
        return min(self.reach_s(services), origin_search.MAX_REACH_S)

    def _ask_replicas(
        self,
        key: bytes,
        services: Sequence[str],
        own: origin_search.Reply,
    ) -> origin_search.Reply:
        search = origin_search.Search(
            recent=set(own.recent), reach_s=own.reach_s
        )
        replicas = [(m, False) for m in self._placement.replicas(key)]
        requests = self._requests.send(replicas, key, services)
        self._requests.collect(search, requests, _FORWARDED_TIMEOUT_S)
        gevent.killall(requests, block=False)
        return origin_search.Reply(
            known=search.known,
            release=search.release,
            recent=sorted(search.recent),
            reach_s=search.reach_s,
        )

    def _forward(self, records: Sequence[tuple[bytes, bytes]]) -> None:
        """Sends origins to the instances of this data centre that keep them."""
        by_receiver: dict[str, list[bytes]] = {}
        for key, release in records:
            for member in self._placement.replicas(key):
                by_receiver.setdefault(member.address, []).append(key + release)
        for address, some in by_receiver.items():
            self._send(address, b"".join(some))

    def _reply(self, keys: Sequence[bytes], address: str) -> None:
        """Sends the origins that are kept here to who looks for them."""
        origins = [(key, self.get(key)) for key in keys]
        records = [
            key + (origin.release or _CONTRADICTING)
            for key, origin in origins
            if origin is not None
        ]
        for begin in range(0, len(records), _RECORDS_PER_DATAGRAM):
            some = records[begin : begin + _RECORDS_PER_DATAGRAM]
            self._send(address, b"".join(some))

    def _send(
        self, address: str, records: bytes, *, forward: bool = False
    ) -> None:
        message = _Message(records=records, forward=forward)
        data = datagrams_module.encode(
            datagrams_module.Kind.STREAM_ORIGINS,
            msgspec.to_builtins(message, builtin_types=(bytes,)),
        )
        self._datagrams.send(address, data)
        self._count_sent(len(data))

    def _count_sent(self, size: int) -> None:
        self._bucket.consume(size + _HEADER_BYTES)
        self._metrics.origin_bytes.inc(size + _HEADER_BYTES)


def _split(record: bytes) -> tuple[bytes, bytes]:
    """Returns the keys of a stream and of the release that began it."""
    return (
        record[: stream_origins.KEY_BYTES],
        record[stream_origins.KEY_BYTES :],
    )
