"""Entries of the server list that are older than known ones, in numbers."""

import pytest

from irisshelf import boottime
from irisshelf.catalog import directory
from irisshelf.catalog import position
from irisshelf.gateway.knowledge import server_list
from irisshelf.store import feed

_COUNT = 400


def _rows(sequence):
    for number in range(_COUNT):
        name = f"i-{number}"
        server = directory.BackendServer(
            server_id=directory.incarnation_id(name, 7),
            entry_id=name,
            born_ms=7,
            service="crew",
            address=f"10.0.{number // 250}.{number % 250}:1",
            data_centre="a",
            slots=4,
            sequence=sequence,
        )
        yield feed.DecodedRow(key=name, value=server)


def _batch(sequence, revision, *, whole):
    return feed.Batch(
        items=tuple(_rows(sequence)),
        position=position.Position(era=0, revision=revision),
        store_s=1.0,
        is_snapshot=whole,
    )


@pytest.mark.parametrize("whole", [True, False])
def test_a_list_of_outdated_entries_costs_no_more_than_its_length(
    world, monkeypatch, whole
):
    """Guards against a loop that stands still while all entries are compared.

    Most entries of a store that came back from a backup are outdated.
    """
    listed = server_list.ServerList(inst=world.inst)
    now = boottime.now()
    listed.apply_batch(_batch(5, 900, whole=True), now)
    compared = []
    plain = directory.Change.__eq__

    def compare(one, other):
        compared.append(None)
        return plain(one, other)

    monkeypatch.setattr(directory.Change, "__eq__", compare)
    listed.apply_batch(_batch(4, 901, whole=whole), now)
    servers = [world.inst.directory.get(f"i-{n}") for n in range(_COUNT)]
    assert {server.sequence for server in servers} == {5}
    assert len(compared) <= 2 * _COUNT
