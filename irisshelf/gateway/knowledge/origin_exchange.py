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
import dataclasses
import random
import urllib.parse
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Annotated
from typing import Any

import cbor2
import gevent
import msgspec
import result
from gevent import event

from irisshelf.catalog import releases as releases_module
from irisshelf.coordination import membership as membership_module
from irisshelf.coordination import stream_origins
from irisshelf.coordination import token_bucket
from irisshelf.gateway import metrics
from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.gateway.knowledge import origin_questions
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
# Origins of earlier streams share datagrams, so that copies cost little.
_REPLICAS_OF_EARLIER = 3
_DATA_CENTRES_OF_EARLIER = 2
# The data centre of the instance that sent an origin is not known; if it is the
# first one for the key, the origin was sent to the second.
_DATA_CENTRES_ASKED = 2
# So few are all asked, the instance that began the stream among them.
_ASK_ALL_UP_TO = 8
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
        timing: Times of a search.
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
        timing: origin_questions.Timing = _TIMING,
    ):
        super().__init__(releases=releases, now=now)
        self._datagrams = datagrams
        self._peers = peers
        self._membership = peers.membership
        self._log = log
        self._metrics = counts
        self._rng = rng
        self._is_current = is_current
        self._timing = timing
        self._bucket = token_bucket.TokenBucket(bytes_per_s=_BYTES_PER_S)
        # Encoded origins of earlier streams that are still to be sent, and
        # since when.
        self._earlier: collections.deque[bytes] = collections.deque()
        self._earlier_since_s = 0.0
        self._mixed: frozenset[str] = frozenset()
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
        if len(self.recent(services)) <= 1:
            return
        forward = self._bucket.has_tokens(self._now())
        receivers = [(m.address, False) for m in self._replicas(key, _REPLICAS)]
        receivers += [
            (member.address, forward)
            for member in self._remote_receivers(key, _DATA_CENTRES)
        ]
        self._metrics.origin_wait.observe(0.0)
        for address, forwards in receivers:
            self._send(address, key + release, forward=forwards)

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
            *self._replicas(key, _REPLICAS_OF_EARLIER),
            *self._remote_receivers(key, _DATA_CENTRES_OF_EARLIER),
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
        members = self._members_to_ask(key or _NO_KEY)
        search = _Search(asked=len(members))
        questions = [
            gevent.spawn(
                self._ask, member, key or _NO_KEY, services, forward=forward
            )
            for member, forward in members
        ]
        try:
            self._collect(search, questions, self._timing.all_asked_after_s)
            if not search.known:
                # Not less if this process stood still until now.
                self._search_on(
                    search, key, services, questions, self._timing.find_s
                )
        finally:
            gevent.killall(questions, block=False)
        if search.known and key is not None:
            self.origins.record(key, search.release, self._now(), own=False)
        return search.finding()

    def _search_on(
        self,
        search: _Search,
        key: bytes | None,
        services: Sequence[str],
        questions: list[gevent.Greenlet],
        timeout_s: float,
    ) -> None:
        """Asks all instances, unless no other release can have begun it."""
        if key is None or self.only_release(search.finding(), services):
            self._collect(search, questions, timeout_s)
            return
        try:
            known = self._questions.ask(key)
            self._collect(search, questions, timeout_s, known=known)
        finally:
            self._questions.end(key)
        origin = self.get(key)
        if not search.known and origin is not None:
            search.known = True
            search.release = origin.release

    def _collect(
        self,
        search: _Search,
        questions: list[gevent.Greenlet],
        timeout_s: float,
        *,
        known: event.Event | None = None,
    ) -> None:
        """Collects replies until the origin is known."""
        awaited = [q for q in questions if q not in search.collected]
        if known is not None:
            awaited.append(known)
        for done in gevent.iwait(awaited, timeout=timeout_s):
            if done is known:
                return
            search.collected.add(done)
            if done.value is not None:
                search.add(*done.value)
            if search.known:
                return

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
        search = _Search(recent=set(own.recent), reach_s=own.reach_s)
        questions = [
            gevent.spawn(self._ask, member, key, services, forward=False)
            for member in self._replicas(key, _REPLICAS)
        ]
        self._collect(search, questions, _FORWARDED_TIMEOUT_S)
        return _Reply(
            known=search.known,
            release=search.release,
            recent=sorted(search.recent),
            reach_s=search.reach_s,
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
            timeout_s=self._timing.find_s,
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

    def _forward(self, records: Sequence[tuple[bytes, bytes]]) -> None:
        """Sends origins to the instances of this data centre that keep them."""
        by_receiver: dict[str, list[bytes]] = {}
        for key, release in records:
            for member in self._replicas(key, _REPLICAS):
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


@dataclasses.dataclass(kw_only=True)
class _Search:
    """A search for a stream's origin.

    Attributes:
        asked: Number of instances that were asked first.
        collected: Their questions that have ended.
        answers: Number of replies.
        recent: Releases that the services have had lately.
        reach_s: For how long back no release is missing in one of the replies.
        known: Whether the origin is known.
        release: Key of the release; None if there are contradicting records.
        by: The instance that knows it, if it was among the first.
    """

    asked: int = 0
    collected: set[gevent.Greenlet] = dataclasses.field(default_factory=set)
    answers: int = 0
    recent: set[bytes] = dataclasses.field(default_factory=set)
    reach_s: float = 0.0
    known: bool = False
    release: bytes | None = None
    by: str = ""

    def add(self, member: membership_module.Member, reply: _Reply) -> None:
        """Adds an instance's reply."""
        self.answers += 1
        self.recent.update(reply.recent)
        self.reach_s = max(self.reach_s, reply.reach_s)
        if reply.known:
            self.known = True
            self.release = reply.release
            self.by = member.name

    def finding(self) -> origin_registry.Finding:
        """Returns what has been found."""
        return origin_registry.Finding(
            known=self.known,
            release=self.release,
            recent=frozenset(self.recent),
            reach_s=self.reach_s,
            by=self.by,
            asked=self.asked,
            answers=self.answers,
        )


def _split(record: bytes) -> tuple[bytes, bytes]:
    """Returns the keys of a stream and of the release that began it."""
    return (
        record[: stream_origins.KEY_BYTES],
        record[stream_origins.KEY_BYTES :],
    )
