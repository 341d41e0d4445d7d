"""Open connections to servers that stop working while new ones succeed."""

import pytest

from irisshelf.catalog import directory
from irisshelf.gateway.requests import monitored_connection
from irisshelf.gateway.servers import connection_pool as connection_pool_module
from irisshelf.platform.stand_in import server as server_module
from irisshelf.testing import clock as clock_module

_SERVER = directory.BackendServer(
    server_id="1",
    service="s",
    address="10.0.0.1:80",
    data_centre="a",
    slots=8,
)


class _Conn:
    reusable = True
    idle_s = 0.0
    closed = False
    relay = ""

    def close(self):
        self.closed = True

    def is_stale(self):
        return False


def test_connections_idle_since_before_a_silence_are_closed():
    now = clock_module.FakeClock(start_s=100.0)
    pool = connection_pool_module.ConnectionPool(now=now)
    old, new = _Conn(), _Conn()
    pool.release(_SERVER, old, None)
    now.advance(1.0)
    pool.release(_SERVER, new, None)
    assert pool.close_idle(_SERVER, before_s=100.5) == 1
    assert (old.closed, new.closed) == (True, False)
    assert pool.acquire(_SERVER, max_idle_s=9.0) is new
    assert pool.acquire(_SERVER, max_idle_s=9.0) is None


@pytest.mark.parametrize(("silent_s", "closed"), [(0.2, True), (9.0, False)])
def test_a_silent_connection_closes_idle_ones_to_the_same_server(
    world, silent_s, closed, monkeypatch
):
    monkeypatch.setattr(
        monitored_connection, "CONNECTION_SILENCE_LIMIT_S", silent_s
    )
    idle_conns = {}
    for server in world.inst.directory.servers_of("crew"):
        idle_conns[server.server_id] = world.connect_to(server)
        world.inst.servers.connection_pool.add_idle(
            server, idle_conns[server.server_id]
        )
    target = world.inst.directory.servers_of("crew")[0]
    world.inst.servers.connection_pool.add_idle(
        target, world.connect_to(target)
    )
    for one in world.plain:
        one.always = server_module.Fault.HANG
        if one.server_id != target.server_id:
            world.inst.servers.chooser("crew").stats.record_duration(
                one.server_id, 9.0
            )
    assert world.ask("/alarm/1", Deadline_Ms="900").status == 504
    assert idle_conns.pop(target.server_id).is_stale() is closed
    assert not any(conn.is_stale() for conn in idle_conns.values())
