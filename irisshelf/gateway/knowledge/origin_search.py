"""Requests to other instances for the origin of a stream."""

from __future__ import annotations

import dataclasses
import urllib.parse
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Annotated

import cbor2
import gevent
import msgspec
import result
from gevent import event

from irisshelf.coordination import membership as membership_module
from irisshelf.coordination import stream_origins
from irisshelf.gateway.knowledge import peer_discovery
from irisshelf.gateway.servers import origin_registry
from irisshelf.observe import decision_log

# Path at which an instance answers requests.
PATH = "/stream-origin"
# Longer than any stream.
MAX_REACH_S = 1e9

_Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_REACH_S)]


class Reply(msgspec.Struct, array_like=True):
    """What an instance knows of a stream."""

    # Whether the origin is known; without a release, records contradict.
    known: bool
    release: bytes | None
    # Releases that the asked services have had lately.
    recent: list[bytes]
    # For how long back no release of them is missing.
    reach_s: _Seconds = 0.0


@dataclasses.dataclass(kw_only=True)
class Search:
    """A search for a stream's origin.

    Attributes:
        asked: Number of instances that were asked first.
        collected: Their questions that have ended.
        answers: Number of replies.
        recent: Releases that the services have had lately.
        reach_s: For how long back no release is missing in one of the replies.
        is_remote: Whether an instance of another data centre has replied.
        known: Whether the origin is known.
        release: Key of the release; None if there are contradicting records.
        by: The instance that knows it, if it was among the first.
    """

    asked: int = 0
    collected: set[gevent.Greenlet] = dataclasses.field(default_factory=set)
    answers: int = 0
    recent: set[bytes] = dataclasses.field(default_factory=set)
    reach_s: float = 0.0
    is_remote: bool = False
    known: bool = False
    release: bytes | None = None
    by: str = ""

    def add(
        self,
        member: membership_module.Member,
        reply: Reply,
        *,
        is_remote: bool,
    ) -> None:
        """Adds an instance's reply."""
        self.answers += 1
        self.recent.update(reply.recent)
        self.reach_s = max(self.reach_s, reply.reach_s)
        self.is_remote = self.is_remote or is_remote
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
            is_remote=self.is_remote,
            by=self.by,
            asked=self.asked,
            answers=self.answers,
        )


class OriginRequests:
    """Sends requests for origins, and collects the replies.

    Args:
        peers: Carries requests.
        log: Receives decoding errors.
        timeout_s: Time-out of a request.
    """

    def __init__(
        self,
        *,
        peers: peer_discovery.PeerDiscovery,
        log: decision_log.DecisionLog,
        timeout_s: float,
    ):
        self._peers = peers
        self._log = log
        self._timeout_s = timeout_s

    def send(
        self,
        members: Sequence[tuple[membership_module.Member, bool]],
        key: bytes,
        services: Sequence[str],
    ) -> list[gevent.Greenlet]:
        """Sends requests to instances.

        Args:
            members: The instances, and whether each asks others in turn.
            key: Key of the stream.
            services: The services that it may belong to.

        Returns:
            The requests, for ``collect``; to be killed by the caller.
        """
        return [
            gevent.spawn(self._ask, member, key, services, forward=forward)
            for member, forward in members
        ]

    def collect(
        self,
        search: Search,
        requests: list[gevent.Greenlet],
        timeout_s: float,
        *,
        known: event.Event | None = None,
        is_over: Callable[[], bool] = lambda: False,
    ) -> None:
        """Collects replies until the origin is known.

        Args:
            search: What the replies are added to.
            requests: The result of ``send``.
            timeout_s: For how long.
            known: Set once the origin is known otherwise.
            is_over: Asked after each reply whether to end.
        """
        awaited = [q for q in requests if q not in search.collected]
        if known is not None:
            awaited.append(known)
        for done in gevent.iwait(awaited, timeout=timeout_s):
            if done is known:
                return
            search.collected.add(done)
            if done.value is not None:
                member, reply = done.value
                own = self._peers.membership.own.data_centre
                is_remote = member.data_centre != own
                search.add(member, reply, is_remote=is_remote)
            if search.known or is_over():
                return

    def _ask(
        self,
        member: membership_module.Member,
        key: bytes,
        services: Sequence[str],
        *,
        forward: bool,
    ) -> tuple[membership_module.Member, Reply] | None:
        """Returns the instance with its answer; None if there is none."""
        names = ",".join(urllib.parse.quote(n, safe="") for n in services)
        query = {"key": key.hex(), "services": names}
        if forward:
            query["forward"] = "1"
        response = self._peers.request(
            member.address,
            f"{PATH}?{urllib.parse.urlencode(query)}",
            timeout_s=self._timeout_s,
        )
        if isinstance(response, result.Err):
            return None
        try:
            reply = msgspec.convert(cbor2.loads(response.ok_value), Reply)
        except (ValueError, TypeError, cbor2.CBORDecodeError) as exc:
            self._log.warning(
                "stream_origin_unreadable",
                address=member.address,
                detail=str(exc),
            )
            return None
        return member, reply


def read_request(fields: Mapping[str, str]) -> tuple[bytes, list[str]] | None:
    """Returns the key and the services of a request; None if it is invalid."""
    try:
        key = bytes.fromhex(fields.get("key", ""))
    except ValueError:
        return None
    if len(key) != stream_origins.KEY_BYTES:
        return None
    names = fields.get("services", "").split(",")
    return key, [urllib.parse.unquote(name) for name in names]


def encode(reply: Reply) -> bytes:
    """Encodes a reply."""
    return cbor2.dumps(msgspec.to_builtins(reply, builtin_types=(bytes,)))
