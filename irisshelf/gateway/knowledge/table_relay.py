"""Relays snapshots of the store's tables among a data centre's instances.

A configuration with many routes fills a narrow link for a second, and a list of
thousands of servers for several seconds. If each instance of a large data
centre read them from the store, the store's link would be the bottleneck. So
the watcher reads them once, and the others fetch them from each other,
compressed, along a tree of the instances in ranking order, wide links first.

A relayed snapshot carries its age by the store's clock. A digest in the
watcher's update identifies the configuration, so that a different one is
rejected. An instance that receives no snapshot in time reads the store.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import gevent
import msgspec
import result
from gevent import event

from irisshelf import boottime
from irisshelf.catalog import directory
from irisshelf.catalog import evacuations
from irisshelf.catalog import position as position_module
from irisshelf.coordination import membership as membership_module
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway.knowledge import operator_state
from irisshelf.gateway.knowledge import peer_discovery
from irisshelf.gateway.knowledge import server_records
from irisshelf.gateway.knowledge import table_snapshot
from irisshelf.store import feed

# Children of an instance in the relay tree: sending four bodies of 70 kB takes
# half a second on a 5 Mbit/s link.
_FAN_OUT = 4
_PATHS = {feed.Table.CATALOG: "/catalog", feed.Table.SERVERS: "/servers"}
# Share of the requester's timeout for which a request may be held, so that the
# response arrives before the timeout.
_HOLD_SHARE = 0.8


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Response:
    """An encoded snapshot.

    Attributes:
        member: Name of the instance that sent it.
        data: The snapshot.
        sent_s: When it was requested, in monotonic seconds.
    """

    member: str
    data: bytes
    sent_s: float


class TableRelay:
    """Serves snapshots to other instances, and fetches them from others.

    Args:
        inst: The instance.
        peers: Exchanges requests with other instances.
        operators: The configuration and the evacuations.
        as_of: Returns the known version of a table; None if there is none.
        decode: Decodes a configuration in the store's format.
    """

    def __init__(
        self,
        *,
        inst: instance_module.Instance,
        peers: peer_discovery.PeerDiscovery,
        operators: operator_state.OperatorState,
        as_of: Callable[[feed.Table], table_snapshot.AsOf | None],
        decode: Callable[[bytes], feed.DecodedRow],
    ):
        self._inst = inst
        self._peers = peers
        self._operators = operators
        self._as_of = as_of
        self._decode = decode
        self._changed = event.Event()
        # The configuration that was compressed last, and its version.
        self._compressed: tuple[int, bytes] = (-1, b"")
        for table, path in _PATHS.items():
            peers.register_handler(path, self._request_handler(table))

    def notify_changed(self) -> None:
        """Wakes requests that wait for a newer version of a table."""
        waiting, self._changed = self._changed, event.Event()
        waiting.set()

    def fetch(
        self,
        table: feed.Table,
        minimum: table_snapshot.MinimumVersion | None,
        *,
        timeout_s: float,
    ) -> table_snapshot.RelayedSnapshot | None:
        """Fetches a snapshot from the instances above this one in the tree.

        Args:
            table: The table.
            minimum: The minimum version of the snapshot; None for any.
            timeout_s: Timeout for all attempts together.

        Returns:
            None if no instance responds in time, or if the response is invalid.
        """
        deadline_s = boottime.now() + timeout_s
        membership = self._peers.membership
        for member in membership.ancestors(boottime.now(), _FAN_OUT):
            remaining_s = deadline_s - boottime.now()
            if remaining_s <= 0:
                return None
            response = self._request(member, table, minimum, remaining_s)
            if response is not None:
                return self._decode_response(table, response, minimum)
        return None

    def fetch_each(
        self,
        table: feed.Table,
        members: Iterable[membership_module.Member],
        *,
        timeout_s: float,
    ) -> list[table_snapshot.RelayedSnapshot]:
        """Fetches snapshots, as they are, from several instances at once.

        Args:
            table: The table.
            members: The instances.
            timeout_s: Timeout for all of them.

        Returns:
            What has been received in time.
        """
        requests = [
            gevent.spawn(self._request, member, table, None, timeout_s)
            for member in members
        ]
        gevent.joinall(requests, timeout=timeout_s)
        responses = [one.value for one in requests if one.value is not None]
        gevent.killall(requests, block=False)
        snapshots = [
            self._decode_response(table, response, None)
            for response in responses
        ]
        return [one for one in snapshots if one is not None]

    def _request(
        self,
        member: membership_module.Member,
        table: feed.Table,
        minimum: table_snapshot.MinimumVersion | None,
        timeout_s: float,
    ) -> _Response | None:
        target = _request_target(table, minimum, timeout_s)
        sent_s = boottime.now()
        response = self._peers.request(
            member.address, target, timeout_s=timeout_s
        )
        if isinstance(response, result.Err):
            return None
        return _Response(
            member=member.name, data=response.ok_value, sent_s=sent_s
        )

    def _decode_response(
        self,
        table: feed.Table,
        response: _Response,
        minimum: table_snapshot.MinimumVersion | None,
    ) -> table_snapshot.RelayedSnapshot | None:
        snapshot = self._decode_table(
            table, response.data, minimum, response.sent_s
        )
        if snapshot is not None:
            size_bytes = len(response.data)
            self._log_relayed(table, snapshot, response.member, size_bytes)
        return snapshot

    def _request_handler(self, table: feed.Table) -> peer_discovery.Handler:
        def handle(fields: Mapping[str, str]) -> bytes | None:
            try:
                era, revision, version, hold_ms = (
                    msgspec.convert(
                        fields.get(name, "0"),
                        table_snapshot.Count,
                        strict=False,
                    )
                    for name in ("era", "revision", "version", "hold_ms")
                )
            except msgspec.ValidationError as exc:
                self._inst.log.warning("question_unreadable", detail=str(exc))
                return None
            minimum = table_snapshot.MinimumVersion(
                position=position_module.Position(era=era, revision=revision),
                version=version,
            )
            if not self._wait_for(table, minimum, hold_ms / 1000):
                return None
            return self._encode_table(table)

        return handle

    def _wait_for(
        self,
        table: feed.Table,
        minimum: table_snapshot.MinimumVersion,
        hold_s: float,
    ) -> bool:
        """Waits until a table has reached a version; False on a timeout."""
        deadline_s = boottime.now() + hold_s
        while not self._has_reached(table, minimum):
            remaining_s = deadline_s - boottime.now()
            if remaining_s <= 0:
                return False
            self._changed.wait(remaining_s)
        return True

    def _has_reached(
        self, table: feed.Table, minimum: table_snapshot.MinimumVersion
    ) -> bool:
        known = self._as_of(table)
        clock_s = self._inst.freshness.estimate_store_clock(boottime.now())
        if (
            known is None
            or clock_s is None
            or known.position < minimum.position
        ):
            return False
        if table is feed.Table.SERVERS:
            return True
        stored = self._operators.stored_catalog
        if stored is None or self._operators.store_is_behind:
            return False
        return stored.version >= minimum.version

    def _encode_table(self, table: feed.Table) -> bytes:
        known = self._as_of(table)
        now = boottime.now()
        message = table_snapshot.Message(
            era=known.position.era,
            revision=known.position.revision,
            store_s=known.store_s,
            clock_s=self._inst.freshness.estimate_store_clock(now),
        )
        if table is feed.Table.CATALOG:
            message.catalog = self._compressed_catalog()
            message.evacuated = sorted(self._inst.evacuations.active())
        else:
            listed = self._inst.directory.current_servers()
            message.servers = [
                server_records.to_record(
                    self._with_remaining_cold_time(server, now)
                )
                for server in listed
            ]
            departures = self._inst.eligible.availability.departures
            message.leaving = departures.keys_of(listed)
        return table_snapshot.encode(message)

    def _compressed_catalog(self) -> bytes:
        """Returns the compressed configuration, cached for all requests."""
        stored = self._operators.stored_catalog
        if self._compressed[0] != stored.version:
            compressed = table_snapshot.compress(stored.raw)
            self._compressed = (stored.version, compressed)
        return self._compressed[1]

    def _with_remaining_cold_time(
        self, server: directory.BackendServer, now: float
    ) -> directory.Change:
        remaining_s = self._inst.eligible.cold.remaining_s(
            server.server_id, now
        )
        changed = dataclasses.replace(server, cold_s=remaining_s)
        return directory.Change(entry_id=server.entry_id, server=changed)

    def _decode_table(
        self,
        table: feed.Table,
        data: bytes,
        minimum: table_snapshot.MinimumVersion | None,
        sent_s: float,
    ) -> table_snapshot.RelayedSnapshot | None:
        try:
            message = table_snapshot.decode(data)
            batch = self._batch(table, message, minimum)
        except ValueError as exc:
            self._inst.log.warning(
                "relayed_table_unreadable", table=table.value, detail=str(exc)
            )
            return None
        return table_snapshot.RelayedSnapshot(
            batch=batch,
            sent_s=sent_s,
            clock_s=message.clock_s,
            leaving=tuple(message.leaving),
        )

    def _batch(
        self,
        table: feed.Table,
        message: table_snapshot.Message,
        minimum: table_snapshot.MinimumVersion | None,
    ) -> feed.Batch:
        if table is feed.Table.SERVERS:
            if not server_records.are_complete(message.servers):
                raise ValueError("servers have no versions")
            items = tuple(map(_server_item, message.servers))
        else:
            items = (
                self._catalog_item(
                    table_snapshot.decompress(message.catalog), minimum
                ),
                *map(_evacuation_item, message.evacuated),
            )
        return feed.Batch(
            items=items,
            position=position_module.Position(
                era=message.era, revision=message.revision
            ),
            store_s=message.store_s,
            is_snapshot=True,
        )

    def _catalog_item(
        self, raw: bytes, minimum: table_snapshot.MinimumVersion | None
    ) -> feed.DecodedRow:
        """Decodes a configuration and checks its digest.

        Raises:
            ValueError: The data is no configuration, or its digest differs
                from that of the announced version.
        """
        item = self._decode(raw)
        if item.problem:
            raise ValueError(item.problem)
        announced = (
            minimum is not None and item.value.version == minimum.version
        )
        if announced and minimum.digest not in (
            b"",
            operator_state.catalog_digest(raw),
        ):
            raise ValueError(
                f"digest of configuration version {minimum.version} does not"
                " match the announced digest"
            )
        return item

    def _log_relayed(
        self,
        table: feed.Table,
        snapshot: table_snapshot.RelayedSnapshot,
        by: str,
        size_bytes: int,
    ) -> None:
        self._inst.metrics.tables_relayed.labels(table.value).inc()
        self._inst.log.instance(
            "tables_relayed",
            table=table.value,
            by=by,
            era=snapshot.batch.position.era,
            revision=snapshot.batch.position.revision,
            size_bytes=size_bytes,
            took_s=round(boottime.now() - snapshot.sent_s, 4),
        )


def _request_target(
    table: feed.Table,
    minimum: table_snapshot.MinimumVersion | None,
    remaining_s: float,
) -> str:
    hold_ms = int(remaining_s * _HOLD_SHARE * 1000)
    target = f"{_PATHS[table]}?hold_ms={hold_ms}"
    if minimum is None:
        return target
    position = minimum.position
    return (
        f"{target}&era={position.era}&revision={position.revision}"
        f"&version={minimum.version}"
    )


def _server_item(record: server_records.ServerRecord) -> feed.DecodedRow:
    change = server_records.to_change(record)
    return feed.DecodedRow(key=change.entry_id, value=change.server)


def _evacuation_item(data_centre: str) -> feed.DecodedRow:
    value = evacuations.Evacuation(data_centre=data_centre, in_force=True)
    return feed.DecodedRow(key=data_centre, value=value)
