"""Updates of the store's tables, broadcast by a data centre's watcher.

What an update contains, and how a reader applies it, is defined in
``coordination.shared_watch``; this module encodes and sends updates.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
import math
from collections.abc import Callable
from typing import Annotated
from typing import Any

import msgspec

from irisshelf import boottime
from irisshelf.catalog import position as position_module
from irisshelf.coordination import membership as membership_module
from irisshelf.coordination import shared_watch
from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.gateway.knowledge import server_records
from irisshelf.observe import decision_log

_KIND = datagrams_module.Kind.STORE_UPDATE
_Revision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _Table(enum.IntEnum):
    CATALOG = 0
    SERVERS = 1


class _Message(msgspec.Struct, array_like=True):
    data_centre: str
    table: _Table
    # In seconds; see the fields of the two classes of updates.
    store_s: float
    era: _Revision
    revision: _Revision
    # Version of the configuration, or the revision that the changes follow.
    base: _Revision
    servers: list[server_records.ServerRecord] = []
    # Names of data centres.
    evacuated: list[str] = []
    digest: bytes = b""

    def __post_init__(self):
        # NaN compares false with any number, so that no age would exceed a
        # bound.
        if not 0 <= self.store_s < math.inf:
            raise ValueError(
                f"store_s is {self.store_s}, allowed: finite numbers from 0"
            )


class StoreUpdates:
    """Broadcasts updates to a data centre's readers, and receives them.

    Args:
        datagrams: Carries the updates.
        membership: The other instances.
        log: Receives changes of role.
    """

    def __init__(
        self,
        *,
        datagrams: datagrams_module.Datagrams,
        membership: membership_module.Membership,
        log: decision_log.DecisionLog,
    ):
        self._datagrams = datagrams
        self._membership = membership
        self._log = log
        self._role = shared_watch.Role.STANDALONE
        self._on_update: Callable[[shared_watch.Update], None] | None = None
        datagrams.subscribe(_KIND, self.receive)

    def subscribe(self, handler: Callable[[shared_watch.Update], None]) -> None:
        """Registers the handler of received updates."""
        self._on_update = handler

    def role(self) -> shared_watch.Role:
        """Returns this instance's current role; logs a change of it."""
        now = boottime.now()
        role = shared_watch.role(self._membership, now)
        if role is not self._role:
            self._role = role
            leader = self._membership.leader(now)
            self._log.instance(
                "store_watch",
                role=role.value,
                first=leader.name if leader else self._membership.own.name,
            )
        return role

    def has_peers(self) -> bool:
        """Whether any other instance is known."""
        now = boottime.now()
        own = self._membership.own.data_centre
        return bool(
            self._membership.members(own, now)
            or self._membership.remote_members(now)
        )

    def broadcast(self, update: shared_watch.Update) -> None:
        """Sends an update to all other instances of the data centre."""
        data = self._encode(update)
        own = self._membership.own.data_centre
        for member, _ in self._membership.members(own, boottime.now()):
            self._datagrams.send(member.address, data)

    def receive(self, content: Any) -> None:
        """Handles the content of a datagram.

        Raises:
            ValueError: The content is not a valid update.
        """
        message = msgspec.convert(content, _Message)
        if message.data_centre != self._membership.own.data_centre:
            return
        if self._on_update is not None:
            self._on_update(_decode(message))

    def _encode(self, update: shared_watch.Update) -> bytes:
        data = self._encode_message(
            _to_message(update, self._membership.own.data_centre)
        )
        if len(data) <= datagrams_module.MAX_DATAGRAM_BYTES:
            return data
        # Too long for a datagram. An update without the changes makes readers
        # fetch them, as it does not follow their position.
        short = dataclasses.replace(update, since=update.position, changes=())
        return self._encode_message(
            _to_message(short, self._membership.own.data_centre)
        )

    def _encode_message(self, message: _Message) -> bytes:
        return datagrams_module.encode(
            _KIND, msgspec.to_builtins(message, builtin_types=(bytes,))
        )


@functools.singledispatch
def _to_message(update: shared_watch.Update, data_centre: str) -> _Message:
    raise TypeError(f"update is {update!r}, allowed: {shared_watch.Update}")


@_to_message.register
def _(update: shared_watch.CatalogUpdate, data_centre: str) -> _Message:
    return _Message(
        data_centre=data_centre,
        table=_Table.CATALOG,
        store_s=update.store_s,
        era=update.position.era,
        revision=update.position.revision,
        base=update.version,
        evacuated=sorted(update.evacuated),
        digest=update.digest,
    )


@_to_message.register
def _(update: shared_watch.ServersUpdate, data_centre: str) -> _Message:
    return _Message(
        data_centre=data_centre,
        table=_Table.SERVERS,
        store_s=update.store_s,
        era=update.position.era,
        revision=update.position.revision,
        base=update.since.revision,
        servers=[server_records.to_record(change) for change in update.changes],
    )


def _decode(message: _Message) -> shared_watch.Update:
    position = position_module.Position(
        era=message.era, revision=message.revision
    )
    if message.table is _Table.CATALOG:
        return shared_watch.CatalogUpdate(
            store_s=message.store_s,
            version=message.base,
            position=position,
            evacuated=frozenset(message.evacuated),
            digest=message.digest,
        )
    if not server_records.are_complete(message.servers):
        # Does not follow the known position, so that the changes are fetched.
        return shared_watch.ServersUpdate(
            store_s=message.store_s, since=position, position=position
        )
    return shared_watch.ServersUpdate(
        store_s=message.store_s,
        since=position_module.Position(era=message.era, revision=message.base),
        position=position,
        changes=tuple(map(server_records.to_change, message.servers)),
    )
