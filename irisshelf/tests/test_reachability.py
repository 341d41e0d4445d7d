"""Probing of backend servers: after silence, in retries, of neighbours."""

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
    """A simulated network in which connections succeed or fail."""

    def __init__(self):
        self.clock = clock_module.FakeClock(start_s=100.0)
        self.unresponsive = set()
        self.listed = [*_NEAR, *_FAR]
        self.last_activity = {}
        self.attempts = []
        self.unreachable = []
        self.reached = []
        self.connection_pool = connection_pool.ConnectionPool(now=self.clock)
        self.prober = reachability.ReachabilityProber(
            connection_pool=self.connection_pool,
            listed=lambda: self.listed,
            last_activity_s=lambda s: self.last_activity.get(
                s.server_id, float("-inf")
            ),
            on_reached=lambda s: self.reached.append(s.server_id),
            on_unreachable=self._on_unreachable,
            rng=random.Random(1),
            now=self.clock,
            connect=self._connect,
            sleep=self._sleep,
        )
        self.after_attempts = {}
        self.silent = False
        self.delay_s = 0.0
        self.peers = []

    def _connect(self, address, *, timeout_s):
        name = address.split(":")[0].rpartition(".")[2]
        self.attempts.append(name)
        self.after_attempts.get(len(self.attempts), lambda: None)()
        self.clock.advance(self.delay_s)
        if name in self.unresponsive:
            raise errors.ConnectError(address, timed_out=self.silent)
        near, far = socket.socketpair()
        self.peers.append(far)
        return client.Connection(sock=near, address=address)

    def _on_unreachable(self, server, exc):
        self.unreachable.append(server.server_id)
        self.prober.start_probing(server, silent=exc.timed_out)

    def _sleep(self, seconds):
        self.clock.advance(seconds)
        gevent.sleep(0)

    def settle(self):
        for _ in range(50):
            gevent.sleep(0)


@pytest.mark.parametrize(
    ("idle_s", "probed"),
    [
        (0.0, False),
        (0.1, False),
        (reachability.SILENCE_THRESHOLD_S, True),
        (9.0, True),
    ],
)
def test_only_a_silent_server_is_probed(idle_s, probed):
    network = _Network()
    network.last_activity["1"] = network.clock() - idle_s
    network.prober.probe_if_silent(_NEAR[0])
    network.settle()
    assert bool(network.attempts) is probed


def test_a_server_that_was_just_reached_is_not_probed_again():
    network = _Network()
    for _ in range(3):
        network.prober.probe_if_silent(_NEAR[0])
        network.settle()
    assert (network.attempts, network.reached) == (["1"], ["1"])
    network.clock.advance(1.0)
    network.prober.probe_if_silent(_NEAR[0])
    network.settle()
    assert network.attempts == ["1", "1"]


def test_the_connection_of_a_probe_is_kept():
    network = _Network()
    network.prober.probe_if_silent(_NEAR[0])
    network.settle()
    assert network.connection_pool.acquire(_NEAR[0], max_idle_s=0.5) is not None


def test_an_unreachable_server_is_probed_until_it_is_back():
    network = _Network()
    network.unresponsive = {"1"}
    network.after_attempts = {5: network.unresponsive.clear}
    network.prober.start_probing(_NEAR[0], silent=False)
    network.settle()
    assert network.unreachable == ["1"] * 4
    assert network.reached == ["1"]


def test_a_server_that_is_no_longer_listed_is_not_probed_forever():
    network = _Network()
    network.unresponsive = {"1"}
    network.after_attempts = {5: lambda: network.listed.remove(_NEAR[0])}
    network.prober.start_probing(_NEAR[0], silent=False)
    network.settle()
    assert (len(network.attempts), network.reached) == (5, [])


@pytest.mark.parametrize(
    ("silent", "probed"), [(True, {"1", "2"}), (False, {"1"})]
)
def test_neighbours_of_a_silent_server_are_probed_at_once(silent, probed):
    network = _Network()
    network.unresponsive = {"1", "2"}
    network.after_attempts = {6: network.unresponsive.clear}
    network.silent = silent
    network.prober.start_probing(_NEAR[0], silent=silent)
    network.settle()
    assert set(network.attempts) == probed
    assert set(network.reached) == probed


def test_only_a_few_of_many_neighbours_are_probed():
    """All instances probe at once, and a server accepts one at a time."""
    network = _Network()
    network.listed = [_server(str(number), "a") for number in range(1, 41)]
    network.silent = True
    network.unresponsive = {"1"}
    network.after_attempts = {9: lambda: network.listed.pop(0)}
    network.prober.start_probing(network.listed[0], silent=True)
    network.settle()
    probed = 1 + 2 * (1 + network.attempts.count("1"))
    assert 1 < len(set(network.attempts)) <= probed


def test_a_timeout_caused_by_a_suspended_process_is_ignored():
    network = _Network()
    network.silent = True
    network.unresponsive = {"1"}
    network.delay_s = 1.0
    network.after_attempts = {3: network.unresponsive.clear}
    network.prober.probe_if_silent(_NEAR[0])
    network.settle()
    assert (network.unreachable, network.reached) == ([], ["1"])
