"""Wire format of server-list entries exchanged between instances."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec

from irisshelf.catalog import directory

_MAX_COLD_S = 86_400


class ServerRecord(msgspec.Struct, array_like=True):
    """An encoded entry; a removed entry has an id only.

    The fields are those of ``directory.BackendServer``. Instances of earlier
    builds send no version.
    """

    entry_id: str
    service: str = ""
    address: str = ""
    data_centre: str = ""
    slots: int = 0
    state: directory.ServerState | None = None
    born_ms: int | None = None
    cold_s: Annotated[float, msgspec.Meta(ge=0, le=_MAX_COLD_S)] = 0.0
    sequence: Annotated[int, msgspec.Meta(ge=0, le=2**53)] | None = None
    version: str | msgspec.UnsetType | None = msgspec.UNSET


def to_record(change: directory.Change) -> ServerRecord:
    """Encodes a changed entry."""
    server = change.server
    if server is None:
        return ServerRecord(entry_id=change.entry_id, version="")
    return ServerRecord(
        entry_id=server.entry_id,
        service=server.service,
        address=server.address,
        data_centre=server.data_centre,
        slots=server.slots,
        state=server.state,
        born_ms=server.born_ms,
        # An integer is shorter in CBOR.
        cold_s=server.cold_s or 0,
        sequence=server.sequence,
        version=server.version,
    )


def to_change(record: ServerRecord) -> directory.Change:
    """Decodes a record to a changed entry; see ``are_complete``."""
    if record.state is None:
        return directory.Change(entry_id=record.entry_id, server=None)
    server = directory.BackendServer(
        server_id=directory.incarnation_id(record.entry_id, record.born_ms),
        entry_id=record.entry_id,
        born_ms=record.born_ms,
        service=record.service,
        address=record.address,
        data_centre=record.data_centre,
        slots=record.slots,
        state=record.state,
        cold_s=record.cold_s,
        sequence=record.sequence,
        version=None if record.version is msgspec.UNSET else record.version,
    )
    return directory.Change(entry_id=record.entry_id, server=server)


def are_complete(records: Iterable[ServerRecord]) -> bool:
    """Returns whether records tell all that the store's entries do.

    Those of an instance of an earlier build do not; the store has to be read.
    """
    return not any(
        record.state is not None and record.version is msgspec.UNSET
        for record in records
    )
