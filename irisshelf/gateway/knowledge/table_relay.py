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
from irisshelf.gateway.knowledge import entries
from irisshelf.gateway.knowledge import neighbours as neighbours_module
from irisshelf.gateway.knowledge import operator_state
from irisshelf.gateway.knowledge import whole_table
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
        neighbours: How other instances are asked.
        operators: What the operators have written.
        as_of: Tells up to where a table is known; None if it is not.
        decode: Decodes a configuration as the store has it.
    """

    def __init__(
        self,
        *,
        inst: instance_module.Instance,
        neighbours: neighbours_module.Neighbours,
        operators: operator_state.OperatorState,
        as_of: Callable[[feed.Table], whole_table.AsOf | None],
        decode: Callable[[bytes], feed.Item],
    ):
        self._inst = inst
        self._neighbours = neighbours
        self._operators = operators
        self._as_of = as_of
        self._decode = decode
        self._changed = event.Event()
        # The configuration that was packed last, and its version.
        self._packed: tuple[int, bytes] = (-1, b"")
        for table, path in _PATHS.items():
            neighbours.answer_with(path, self._answers(table))

    def changed(self) -> None:
        """Takes that more is known, which others may be waiting for."""
        waiting, self._changed = self._changed, event.Event()
        waiting.set()

    def fetch(
        self,
        table: feed.Table,
        wanted: whole_table.Wanted | None,
        *,
        within_s: float,
    ) -> whole_table.RelayedTable | None:
        """Asks the instances above this one in the tree.

        Args:
            table: What to ask for.
            wanted: What it has to hold at least; None for anything.
            within_s: How long each may take.

        Returns:
            None if nobody has sent it in time.
        """
        until_s = boottime.now() + within_s
        roster = self._neighbours.roster
        for member in roster.ancestors(boottime.now(), _FAN_OUT):
            left_s = until_s - boottime.now()
            if left_s <= 0:
                return None
            question = _question(table, wanted, left_s)
            sent_s = boottime.now()
            answer = self._neighbours.ask(
                member.address, question, answer_s=left_s
            )
            if isinstance(answer, result.Err):
                continue
            relayed = self._unpack(table, answer.ok_value, wanted, sent_s)
            if relayed is not None:
                self._log(table, relayed, member.name, len(answer.ok_value))
            return relayed
        return None

    def _answers(self, table: feed.Table) -> neighbours_module.Answer:
        def answer(fields: Mapping[str, str]) -> bytes | None:
            try:
                era, revision, version, hold_ms = (
                    msgspec.convert(
                        fields.get(name, "0"), whole_table.Count, strict=False
                    )
                    for name in ("era", "revision", "version", "hold_ms")
                )
            except msgspec.ValidationError as exc:
                self._inst.log.problem("question_unreadable", detail=str(exc))
                return None
            wanted = whole_table.Wanted(
                position=position_module.Position(era=era, revision=revision),
                version=version,
            )
            if not self._await(table, wanted, hold_ms / 1000):
                return None
            return self._pack(table)

        return answer

    def _await(
        self, table: feed.Table, wanted: whole_table.Wanted, hold_s: float
    ) -> bool:
        """Waits until a table is known as far as it is wanted."""
        until_s = boottime.now() + hold_s
        while not self._has(table, wanted):
            left_s = until_s - boottime.now()
            if left_s <= 0:
                return False
            self._changed.wait(left_s)
        return True

    def _has(self, table: feed.Table, wanted: whole_table.Wanted) -> bool:
        known = self._as_of(table)
        clock_s = self._inst.freshness.clock_s(boottime.now())
        if known is None or clock_s is None or known.position < wanted.position:
            return False
        if table is feed.Table.SERVERS:
            return True
        stored = self._operators.stored
        if stored is None or self._operators.store_is_behind:
            return False
        return stored.version >= wanted.version

    def _pack(self, table: feed.Table) -> bytes:
        known = self._as_of(table)
        now = boottime.now()
        message = whole_table.Message(
            era=known.position.era,
            revision=known.position.revision,
            store_s=known.store_s,
            clock_s=self._inst.freshness.clock_s(now),
        )
        if table is feed.Table.CATALOG:
            message.catalog = self._packed_catalog()
            message.evacuated = sorted(self._inst.evacuations.now())
        else:
            message.servers = [
                entries.row_of(self._aged(server, now))
                for server in self._inst.directory.unlapsed()
            ]
        return whole_table.encode(message)

    def _packed_catalog(self) -> bytes:
        """Packs a configuration once, for all who ask for it."""
        stored = self._operators.stored
        if self._packed[0] != stored.version:
            packed = whole_table.pack(stored.raw)
            self._packed = (stored.version, packed)
        return self._packed[1]

    def _aged(
        self, server: directory.BackendServer, now: float
    ) -> directory.Change:
        left_s = self._inst.eligible.cold.remaining_s(server.server_id, now)
        aged = dataclasses.replace(server, cold_s=left_s)
        return directory.Change(entry_id=server.entry_id, server=aged)

    def _unpack(
        self,
        table: feed.Table,
        data: bytes,
        wanted: whole_table.Wanted | None,
        sent_s: float,
    ) -> whole_table.RelayedTable | None:
        try:
            message = whole_table.decode(data)
            batch = self._batch(table, message, wanted)
        except ValueError as exc:
            self._inst.log.problem(
                "relayed_table_unreadable", table=table.value, detail=str(exc)
            )
            return None
        return whole_table.RelayedTable(
            batch=batch, sent_s=sent_s, clock_s=message.clock_s
        )

    def _batch(
        self,
        table: feed.Table,
        message: whole_table.Message,
        wanted: whole_table.Wanted | None,
    ) -> feed.Batch:
        if table is feed.Table.SERVERS:
            items = tuple(map(_server_item, message.servers))
        else:
            items = (
                self._catalog_item(whole_table.unpack(message.catalog), wanted),
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
        self, raw: bytes, wanted: whole_table.Wanted | None
    ) -> feed.Item:
        """Decodes a configuration.

        Raises:
            ValueError: It is none, or not the one that is meant.
        """
        item = self._decode(raw)
        if item.problem:
            raise ValueError(item.problem)
        meant = wanted is not None and item.value.version == wanted.version
        if meant and wanted.digest not in (b"", operator_state.digest_of(raw)):
            raise ValueError(f"version {wanted.version} has another digest")
        return item

    def _log(
        self,
        table: feed.Table,
        relayed: whole_table.RelayedTable,
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
    table: feed.Table, wanted: whole_table.Wanted | None, left_s: float
) -> str:
    hold_ms = int(left_s * _HOLD_SHARE * 1000)
    question = f"{_PATHS[table]}?hold_ms={hold_ms}"
    if wanted is None:
        return question
    at = wanted.position
    return (
        f"{question}&era={at.era}&revision={at.revision}"
        f"&version={wanted.version}"
    )


def _server_item(row: entries.Row) -> feed.Item:
    change = entries.change_of(row)
    return feed.Item(key=change.entry_id, value=change.server)


def _evacuation_item(data_centre: str) -> feed.Item:
    value = evacuations.Evacuation(data_centre=data_centre, in_force=True)
    return feed.Item(key=data_centre, value=value)
