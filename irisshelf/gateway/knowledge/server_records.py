"""Entries of backend servers as instances write them down for each other."""

from __future__ import annotations

from typing import Annotated

import msgspec

from irisshelf.catalog import directory

_LONGEST_COLD_S = 86_400


class ServerRecord(msgspec.Struct, array_like=True):
    """An entry; one that is gone has an id only.

    The fields are those of ``directory.BackendServer``.
    """

    entry_id: str
    service: str = ""
    address: str = ""
    data_centre: str = ""
    slots: int = 0
    state: directory.ServerState | None = None
    born_ms: int | None = None
    cold_s: Annotated[float, msgspec.Meta(ge=0, le=_LONGEST_COLD_S)] = 0.0


def to_record(change: directory.Change) -> ServerRecord:
    """Returns a changed entry's row."""
    server = change.server
    if server is None:
        return ServerRecord(entry_id=change.entry_id)
    return ServerRecord(
        entry_id=server.entry_id,
        service=server.service,
        address=server.address,
        data_centre=server.data_centre,
        slots=server.slots,
        state=server.state,
        born_ms=server.born_ms,
        cold_s=server.cold_s,
    )


def to_change(row: ServerRecord) -> directory.Change:
    """Returns the changed entry that a row tells of."""
    if row.state is None:
        return directory.Change(entry_id=row.entry_id, server=None)
    server = directory.BackendServer(
        server_id=directory.life_id(row.entry_id, row.born_ms),
        entry_id=row.entry_id,
        born_ms=row.born_ms,
        service=row.service,
        address=row.address,
        data_centre=row.data_centre,
        slots=row.slots,
        state=row.state,
        cold_s=row.cold_s,
    )
    return directory.Change(entry_id=row.entry_id, server=server)
