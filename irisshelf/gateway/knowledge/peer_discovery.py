"""Peer discovery: finds the other instances and tracks their membership.

Instances exchange HTTP requests, answered with CBOR bodies, at the address of
``listen.peers``: at first with the seeds in the settings, then with the leader
of their data centre. Each request carries the sender's own membership entry.
"""

from __future__ import annotations

import dataclasses
import urllib.parse
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Annotated

import cbor2
import gevent
import msgspec
import result

from irisshelf import boottime
from irisshelf.coordination import membership as membership_module
from irisshelf.observe import decision_log
from irisshelf.transport import client
from irisshelf.transport import errors
from irisshelf.transport import server as http

_OK = 200
_NOT_FOUND = 404
# Round trips between instances take milliseconds; the rest is for a slow peer.
_RESPONSE_TIMEOUT_S = 0.4
_CONNECT_TIMEOUT_S = 0.15
# The longest responses are compressed snapshots of the store's tables.
_MAX_RESPONSE_BYTES = 16_777_216
# Leaves room for more than two refreshes before a silent instance is dropped
# from the membership.
_MEMBERS_INTERVAL_S = 2.5
_SEEDS_INTERVAL_S = 5.0
# Retry delays of an instance that knows of no other: when all start at once,
# the seeds are up some tenths of a second after the first requests to them.
_INITIAL_RETRY_DELAYS_S = (0.3, 0.6, 1.2)
# Number of instances of each other data centre in a response.
_REMOTE_SAMPLE_SIZE = 3

_LinkMbps = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
Handler = Callable[[Mapping[str, str]], bytes | None]
StreamHandler = Callable[[http.Request, http.Connection], None]


class PeerDiscovery:
    """Tracks the other instances, and exchanges requests with them.

    Args:
        own: This instance.
        seeds: Addresses of instances to contact first; some may be down.
        log: Receives decoding errors.
        on_peer_count: Called with the number of other instances in the data
            centre.

    Attributes:
        membership: The known instances.
    """

    def __init__(
        self,
        *,
        own: membership_module.Member,
        seeds: tuple[str, ...],
        log: decision_log.DecisionLog,
        on_peer_count: Callable[[int], None] = lambda count: None,
    ):
        self.membership = membership_module.Membership(own=own)
        self._seeds = tuple(seed for seed in seeds if seed != own.address)
        self._log = log
        self._on_peer_count = on_peer_count
        self._idle_conns: dict[str, client.Connection] = {}
        self._leaving = False
        self._handlers: dict[str, Handler] = {}
        self._stream_handlers: dict[str, StreamHandler] = {}

    def run(self) -> None:
        """Refreshes the membership until this instance leaves.

        A request sent after leaving would make its receiver list this instance
        as live again.
        """
        seeds_queried_s = float("-inf")
        retry_delays_s = iter(_INITIAL_RETRY_DELAYS_S)
        while not self._leaving:
            now = boottime.now()
            if (
                now - seeds_queried_s > _SEEDS_INTERVAL_S
                or not self._local_peer_count()
            ):
                seeds_queried_s = now
                self._query_seeds()
            leader = self.membership.leader(now)
            if leader is not None:
                self._query_members(leader.address)
            count = self._local_peer_count()
            self._on_peer_count(count)
            delay_s = _MEMBERS_INTERVAL_S
            if not count:
                delay_s = next(retry_delays_s, _MEMBERS_INTERVAL_S)
            gevent.sleep(delay_s)

    def _query_seeds(self) -> None:
        """Queries all seeds concurrently, as one that is gone takes 0.5 s."""
        queries = [gevent.spawn(self._query_members, s) for s in self._seeds]
        gevent.joinall(queries)

    def register_handler(self, path: str, handler: Handler) -> None:
        """Registers the handler of other instances' requests to a path.

        Args:
            path: The path.
            handler: Takes the query parameters and returns the response's body;
                None makes the response a 404.
        """
        self._handlers[path] = handler

    def register_stream_handler(
        self, path: str, handler: StreamHandler
    ) -> None:
        """Registers a handler that takes requests with their connections."""
        self._stream_handlers[path] = handler

    def request(
        self, address: str, target: str, *, timeout_s: float
    ) -> result.Result[bytes, str]:
        """Sends a request to one instance.

        Args:
            address: The instance's address.
            target: Path, and query if there is one.
            timeout_s: How long the response may take.

        Returns:
            The response's body, or why there is none.
        """
        return self._get(address, target, timeout_s)

    def request_each(
        self, members: Iterable[membership_module.Member], path: str
    ) -> list[bytes]:
        """Sends a request to several instances at once.

        Returns:
            The bodies of the responses; none if no instance answered.
        """
        requests = [
            gevent.spawn(self._get, member.address, path) for member in members
        ]
        gevent.joinall(requests)
        responses = [request.value for request in requests]
        return [r.ok_value for r in responses if isinstance(r, result.Ok)]

    def members(self) -> list[membership_module.Member]:
        """Returns the other instances that are known."""
        now = boottime.now()
        own = self.membership.own.data_centre
        local = [member for member, _ in self.membership.members(own, now)]
        return [*local, *self.membership.remote_members(now)]

    def announce_departure(self) -> None:
        """Tells the other instances of the data centre that this one stops."""
        self._leaving = True
        now = boottime.now()
        members = self.membership.members(self.membership.own.data_centre, now)
        for member, _ in members:
            gevent.spawn(self._get, member.address, "/goodbye")

    def handle(self, request: http.Request, conn: http.Connection) -> None:
        """Handles a request of another instance."""
        path, _, query = request.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        sender = _sender_of(fields)
        if path == "/goodbye":
            self.membership.remove(sender.name)
            conn.answer(_OK, [], b"")
        elif path == "/members":
            if sender.name and sender.address:
                self.membership.record_alive(sender, boottime.now())
            conn.answer(_OK, [], self._encode_members(sender.data_centre))
        elif path in self._handlers:
            body = self._handlers[path](fields)
            status = _NOT_FOUND if body is None else _OK
            conn.answer(status, [], body or b"")
        elif path in self._stream_handlers:
            self._stream_handlers[path](request, conn)
        else:
            conn.answer(_NOT_FOUND, [], b"")

    def _local_peer_count(self) -> int:
        """Returns the number of other instances in the own data centre."""
        own = self.membership.own.data_centre
        return len(self.membership.members(own, boottime.now()))

    def _encode_members(self, data_centre: str) -> bytes:
        now = boottime.now()
        rows = [
            (
                member.name,
                member.address,
                member.data_centre,
                member.link_mbps,
                age_s,
            )
            for member, age_s in self.membership.sample(
                data_centre, now, _REMOTE_SAMPLE_SIZE
            )
        ]
        return cbor2.dumps(rows)

    def _query_members(self, address: str) -> None:
        response = self._get(address, "/members")
        if isinstance(response, result.Err):
            return
        try:
            rows = msgspec.convert(
                cbor2.loads(response.ok_value),
                list[tuple[str, str, str, _LinkMbps, float]],
            )
        except (ValueError, TypeError, cbor2.CBORDecodeError) as exc:
            self._log.warning(
                "members_unreadable", address=address, detail=str(exc)
            )
            return
        now = boottime.now()
        for name, member_address, data_centre, link_mbps, age_s in rows:
            member = membership_module.Member(
                name=name,
                address=member_address,
                data_centre=data_centre,
                link_mbps=link_mbps,
            )
            self.membership.record_alive(member, now - max(0.0, age_s))

    def _get(
        self, address: str, target: str, timeout_s: float = _RESPONSE_TIMEOUT_S
    ) -> result.Result[bytes, str]:
        sender = urllib.parse.urlencode(dataclasses.asdict(self.membership.own))
        full_target = target + ("&" if "?" in target else "?") + sender
        try:
            conn = self._connection(address)
            status, data = _exchange(conn, full_target, timeout_s)
        except errors.TransportError as exc:
            return result.Err(str(exc))
        if conn.reusable:
            self._idle_conns[address] = conn
        if status != _OK:
            return result.Err(f"{address} responded with status {status}")
        return result.Ok(data)

    def _connection(self, address: str) -> client.Connection:
        """Returns the idle connection of an earlier request, or a new one.

        Raises:
            errors.ConnectError: The instance cannot be reached.
        """
        conn = self._idle_conns.pop(address, None)
        if conn is not None and not conn.is_stale():
            return conn
        return client.connect(address, timeout_s=_CONNECT_TIMEOUT_S)


def _sender_of(fields: Mapping[str, str]) -> membership_module.Member:
    """Returns the sender's membership entry; missing fields are empty."""
    try:
        link_mbps = msgspec.convert(
            fields.get("link_mbps", "0"), _LinkMbps, strict=False
        )
    except msgspec.ValidationError:
        link_mbps = 0.0
    return membership_module.Member(
        name=fields.get("name", ""),
        address=fields.get("address", ""),
        data_centre=fields.get("data_centre", ""),
        link_mbps=link_mbps,
    )


def _exchange(
    conn: client.Connection, target: str, timeout_s: float
) -> tuple[int, bytes]:
    """Sends one request; closes the connection if that fails."""
    deadline_s = boottime.now() + timeout_s
    headers = [(b"Host", conn.address.encode())]
    try:
        conn.send("GET", target, headers, b"", timeout_s=timeout_s)
        status, _ = conn.read_head(timeout_s=deadline_s - boottime.now())
        body = conn.read_body(
            "response of another instance",
            max_bytes=_MAX_RESPONSE_BYTES,
            timeout_s=deadline_s - boottime.now(),
        )
        return status, body
    except errors.TransportError:
        conn.close()
        raise
