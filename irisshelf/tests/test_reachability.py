"""Whether servers can be reached: silence looked into, neighbours asked."""

import random

import gevent
import pytest
from gevent import socket

from irisshelf.catalog import directory
from irisshelf.gateway.servers import connection_pool
from irisshelf.gateway.servers import reachability
from irisshelf.testing import clock as clock_module
from irisshelf.transport import client
from irisshelf.transport import errors


def _server(name, data_centre):
    return directory.BackendServer(
        server_id=name,
        service="s",
        address=f"10.0.0.{name}:80",
        data_centre=data_centre,
        slots=8,
    )


_NEAR = [_server(name, "a") for name in "12"]
_FAR = [_server(name, "b") for name in "34"]


class _Network:
    """Servers that connections come about to, or not."""

    def __init__(self):
        self.clock = clock_module.FakeClock(start_s=100.0)
        self.dark = set()
        self.listed = [*_NEAR, *_FAR]
        self.heard = {}
        self.tries = []
        self.lost = []
        self.reached = []
        self.connection_pool = connection_pool.ConnectionPool(now=self.clock)
        self.prober = reachability.ReachabilityProber(
            connection_pool=self.connection_pool,
            listed=lambda: self.listed,
            last_activity_s=lambda s: self.heard.get(
                s.server_id, float("-inf")
            ),
            on_reached=lambda s: self.reached.append(s.server_id),
            on_unreachable=self._on_unreachable,
            rng=random.Random(1),
            now=self.clock,
            connect=self._connect,
            sleep=self._sleep,
        )
        self.after_tries = {}
        self.silent = False
        self.delay_s = 0.0
        self.peers = []

    def _connect(self, address, *, timeout_s):
        name = address.split(":")[0].rpartition(".")[2]
        self.tries.append(name)
        self.after_tries.get(len(self.tries), lambda: None)()
        self.clock.advance(self.delay_s)
        if name in self.dark:
            raise errors.ConnectError(address, silent=self.silent)
        near, far = socket.socketpair()
        self.peers.append(far)
        return client.Connection(sock=near, address=address)

    def _on_unreachable(self, server, exc):
        self.lost.append(server.server_id)
        self.prober.start_probing(server, silent=exc.silent)

    def _sleep(self, seconds):
        self.clock.advance(seconds)
        gevent.sleep(0)

    def settle(self):
        for _ in range(50):
            gevent.sleep(0)


@pytest.mark.parametrize(
    ("heard_ago_s", "asked"),
    [
        (0.0, False),
        (0.1, False),
        (reachability.SILENCE_THRESHOLD_S, True),
        (9.0, True),
    ],
)
def test_only_a_silent_server_is_asked(heard_ago_s, asked):
    network = _Network()
    network.heard["1"] = network.clock() - heard_ago_s
    network.prober.probe_if_silent(_NEAR[0])
    network.settle()
    assert bool(network.tries) is asked


def test_a_server_that_was_just_reached_is_not_asked_again():
    network = _Network()
    for _ in range(3):
        network.prober.probe_if_silent(_NEAR[0])
        network.settle()
    assert (network.tries, network.reached) == (["1"], ["1"])
    network.clock.advance(1.0)
    network.prober.probe_if_silent(_NEAR[0])
    network.settle()
    assert network.tries == ["1", "1"]


def test_the_connection_that_came_about_is_kept():
    network = _Network()
    network.prober.probe_if_silent(_NEAR[0])
    network.settle()
    assert network.connection_pool.acquire(_NEAR[0], max_idle_s=0.5) is not None


def test_a_lost_server_is_asked_until_it_is_back():
    network = _Network()
    network.dark = {"1"}
    network.after_tries = {5: network.dark.clear}
    network.prober.start_probing(_NEAR[0], silent=False)
    network.settle()
    assert network.lost == ["1"] * 4
    assert network.reached == ["1"]


def test_a_server_that_is_listed_no_more_is_not_asked_for_ever():
    network = _Network()
    network.dark = {"1"}
    network.after_tries = {5: lambda: network.listed.remove(_NEAR[0])}
    network.prober.start_probing(_NEAR[0], silent=False)
    network.settle()
    assert (len(network.tries), network.reached) == (5, [])


@pytest.mark.parametrize(
    ("silent", "asked"), [(True, {"1", "2"}), (False, {"1"})]
)
def test_neighbours_of_a_silent_server_are_asked_at_once(silent, asked):
    network = _Network()
    network.dark = {"1", "2"}
    network.after_tries = {6: network.dark.clear}
    network.silent = silent
    network.prober.start_probing(_NEAR[0], silent=silent)
    network.settle()
    assert set(network.tries) == asked
    assert set(network.reached) == asked


def test_only_a_few_of_many_neighbours_are_asked():
    """All instances ask at the same moment; each server answers one by one."""
    network = _Network()
    network.listed = [_server(str(number), "a") for number in range(1, 41)]
    network.silent = True
    network.dark = {"1"}
    network.after_tries = {9: lambda: network.listed.pop(0)}
    network.prober.start_probing(network.listed[0], silent=True)
    network.settle()
    asked = 1 + 2 * (1 + network.tries.count("1"))
    assert 1 < len(set(network.tries)) <= asked


def test_a_timeout_that_the_process_slept_through_shows_nothing():
    network = _Network()
    network.silent = True
    network.dark = {"1"}
    network.delay_s = 1.0
    network.after_tries = {3: network.dark.clear}
    network.prober.probe_if_silent(_NEAR[0])
    network.settle()
    assert (network.lost, network.reached) == ([], ["1"])
