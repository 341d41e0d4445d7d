"""Whole tables of the store, relayed among a data centre's instances.

A configuration of many routes fills a narrow link for a second, and a list of
thousands of servers for several; when each instance of a large data centre
reads them from the store, the store's own link is what all wait for. So the
watcher reads them once, and the others take them from each other, compressed,
along a tree of the instances as they are ranked, wide links first.

A relayed table carries its age by the store's own clock; a digest in the
watcher's update tells a configuration that is not the one meant. Whoever gets
nothing in time asks the store.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Mapping

import msgspec
import result
from gevent import event

from irisshelf import boottime
from irisshelf.catalog import directory
from irisshelf.catalog import evacuations
from irisshelf.catalog import position as position_module
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway.knowledge import operator_state
from irisshelf.gateway.knowledge import peer_discovery
from irisshelf.gateway.knowledge import server_records
from irisshelf.gateway.knowledge import table_snapshot
from irisshelf.store import feed

# Instances that one relays a table to: four bodies of 70 kB take a link of 5
# Mbit/s half a second.
_FAN_OUT = 4
_PATHS = {feed.Table.CATALOG: "/catalog", feed.Table.SERVERS: "/servers"}
# Another answers sooner than it is waited for, so that it is not given up just
# before.
_HOLD_SHARE = 0.8


class TableRelay:
    """Relays tables to other instances, and asks others for them.

    Args:
        inst: The instance.
        peers: How other instances are asked.
        operators: What the operators have written.
        as_of: Tells up to where a table is known; None if it is not.
        decode: Decodes a configuration as the store has it.
    """

    def __init__(
        self,
        *,
        inst: instance_module.Instance,
        peers: peer_discovery.PeerDiscovery,
        operators: operator_state.OperatorState,
        as_of: Callable[[feed.Table], table_snapshot.AsOf | None],
        decode: Callable[[bytes], feed.Item],
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
        """Takes that more is known, which others may be waiting for."""
        waiting, self._changed = self._changed, event.Event()
        waiting.set()

    def fetch(
        self,
        table: feed.Table,
        minimum: table_snapshot.MinimumVersion | None,
        *,
        within_s: float,
    ) -> table_snapshot.RelayedSnapshot | None:
        """Asks the instances above this one in the tree.

        Args:
            table: What to ask for.
            minimum: What it has to hold at least; None for anything.
            within_s: How long each may take.

        Returns:
            None if nobody has sent it in time.
        """
        until_s = boottime.now() + within_s
        membership = self._peers.membership
        for member in membership.ancestors(boottime.now(), _FAN_OUT):
            left_s = until_s - boottime.now()
            if left_s <= 0:
                return None
            question = _question(table, minimum, left_s)
            sent_s = boottime.now()
            answer = self._peers.request(
                member.address, question, answer_s=left_s
            )
            if isinstance(answer, result.Err):
                continue
            relayed = self._decode_table(
                table, answer.ok_value, minimum, sent_s
            )
            if relayed is not None:
                self._log(table, relayed, member.name, len(answer.ok_value))
            return relayed
        return None

    def _request_handler(self, table: feed.Table) -> peer_discovery.Handler:
        def answer(fields: Mapping[str, str]) -> bytes | None:
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
                self._inst.log.problem("question_unreadable", detail=str(exc))
                return None
            minimum = table_snapshot.MinimumVersion(
                position=position_module.Position(era=era, revision=revision),
                version=version,
            )
            if not self._await(table, minimum, hold_ms / 1000):
                return None
            return self._encode_table(table)

        return answer

    def _await(
        self,
        table: feed.Table,
        minimum: table_snapshot.MinimumVersion,
        hold_s: float,
    ) -> bool:
        """Waits until a table is known as far as it is minimum."""
        until_s = boottime.now() + hold_s
        while not self._has(table, minimum):
            left_s = until_s - boottime.now()
            if left_s <= 0:
                return False
            self._changed.wait(left_s)
        return True

    def _has(
        self, table: feed.Table, minimum: table_snapshot.MinimumVersion
    ) -> bool:
        known = self._as_of(table)
        clock_s = self._inst.freshness.clock_s(boottime.now())
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
            clock_s=self._inst.freshness.clock_s(now),
        )
        if table is feed.Table.CATALOG:
            message.catalog = self._compressed_catalog()
            message.evacuated = sorted(self._inst.evacuations.now())
        else:
            message.servers = [
                server_records.to_record(self._aged(server, now))
                for server in self._inst.directory.unlapsed()
            ]
        return table_snapshot.encode(message)

    def _compressed_catalog(self) -> bytes:
        """Packs a configuration once, for all who ask for it."""
        stored = self._operators.stored_catalog
        if self._compressed[0] != stored.version:
            compressed = table_snapshot.compress(stored.raw)
            self._compressed = (stored.version, compressed)
        return self._compressed[1]

    def _aged(
        self, server: directory.BackendServer, now: float
    ) -> directory.Change:
        left_s = self._inst.eligible.cold.remaining_s(server.server_id, now)
        aged = dataclasses.replace(server, cold_s=left_s)
        return directory.Change(entry_id=server.entry_id, server=aged)

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
            self._inst.log.problem(
                "relayed_table_unreadable", table=table.value, detail=str(exc)
            )
            return None
        return table_snapshot.RelayedSnapshot(
            batch=batch, sent_s=sent_s, clock_s=message.clock_s
        )

    def _batch(
        self,
        table: feed.Table,
        message: table_snapshot.Message,
        minimum: table_snapshot.MinimumVersion | None,
    ) -> feed.Batch:
        if table is feed.Table.SERVERS:
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
            whole=True,
        )

    def _catalog_item(
        self, raw: bytes, minimum: table_snapshot.MinimumVersion | None
    ) -> feed.Item:
        """Decodes a configuration.

        Raises:
            ValueError: It is none, or not the one that is meant.
        """
        item = self._decode(raw)
        if item.problem:
            raise ValueError(item.problem)
        meant = minimum is not None and item.value.version == minimum.version
        if meant and minimum.digest not in (
            b"",
            operator_state.catalog_digest(raw),
        ):
            raise ValueError(f"version {minimum.version} has another digest")
        return item

    def _log(
        self,
        table: feed.Table,
        relayed: table_snapshot.RelayedSnapshot,
        by: str,
        size_bytes: int,
    ) -> None:
        self._inst.metrics.tables_relayed.labels(table.value).inc()
        self._inst.log.instance(
            "tables_relayed",
            table=table.value,
            by=by,
            era=relayed.batch.position.era,
            revision=relayed.batch.position.revision,
            size_bytes=size_bytes,
            took_s=round(boottime.now() - relayed.sent_s, 4),
        )


def _question(
    table: feed.Table,
    minimum: table_snapshot.MinimumVersion | None,
    left_s: float,
) -> str:
    hold_ms = int(left_s * _HOLD_SHARE * 1000)
    question = f"{_PATHS[table]}?hold_ms={hold_ms}"
    if minimum is None:
        return question
    at = minimum.position
    return (
        f"{question}&era={at.era}&revision={at.revision}"
        f"&version={minimum.version}"
    )


def _server_item(row: server_records.ServerRecord) -> feed.Item:
    change = server_records.to_change(row)
    return feed.Item(key=change.entry_id, value=change.server)


def _evacuation_item(data_centre: str) -> feed.Item:
    value = evacuations.Evacuation(data_centre=data_centre, in_force=True)
    return feed.Item(key=data_centre, value=value)
