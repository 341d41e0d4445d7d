"""Instances discover each other and agree on a leader."""

import os

import gevent
import pytest

from irisshelf import boottime
from irisshelf.coordination import membership as membership_module
from irisshelf.gateway import listener
from irisshelf.gateway.knowledge import peer_discovery
from irisshelf.observe import decision_log
from irisshelf.transport import server as http

_LIMITS = http.Limits(head_bytes=9999, body_bytes=9999, head_s=5.0, idle_s=5.0)
_NAMES = [str(number) for number in range(8)]


def _member(name, data_centre="a"):
    return membership_module.Member(
        name=name, address=f"10.0.0.1:{name}", data_centre=data_centre
    )


def _membership(own, others, now=0.0):
    membership = membership_module.Membership(own=_member(own))
    for name in others:
        membership.record_alive(_member(name), now)
    return membership


def _others(name):
    return [other for other in _NAMES if other != name]


def test_all_instances_agree_on_the_leader():
    found = {
        name: _membership(name, _others(name)).leader(1.0) for name in _NAMES
    }
    (leader_name,) = {name for name, leader in found.items() if leader is None}
    assert {leader.name for leader in found.values() if leader} == {leader_name}


@pytest.mark.parametrize("data_centre", ["a", "b"])
def test_the_only_instance_of_a_data_centre_is_its_leader(data_centre):
    membership = membership_module.Membership(own=_member("1"))
    if data_centre == "b":
        for name in _NAMES[2:]:
            membership.record_alive(_member(name, "b"), 0.0)
    assert membership.leader(1.0) is None


@pytest.mark.parametrize("how", ["left", "silent"])
def test_a_lost_leader_is_replaced(how):
    name = next(n for n in _NAMES if _membership(n, _others(n)).leader(1.0))
    membership = _membership(name, _others(name))
    leader = membership.leader(1.0)
    now = 1.0
    if how == "left":
        membership.remove(leader.name)
    else:
        now = membership_module.EXPIRY_S + 0.5
        for other in _NAMES:
            if other not in (name, leader.name):
                membership.record_alive(_member(other), now)
    assert membership.leader(now) != leader


def test_older_reports_of_an_instance_do_not_extend_its_membership():
    membership = _membership("1", ["2"], now=0.0)
    membership.record_alive(_member("2"), -5.0)
    assert [m.name for m, _ in membership.members("a", 5.0)] == ["2"]
    assert membership.members("a", membership_module.EXPIRY_S + 0.1) == []


def test_a_sample_has_all_local_instances_and_a_few_remote_ones():
    membership = _membership("1", ["2", "3"])
    for name in _NAMES[4:]:
        membership.record_alive(_member(name, "b"), 0.0)
    centres = [m.data_centre for m, _ in membership.sample("a", 1.0, 2)]
    assert sorted(centres) == ["a", "a", "a", "b", "b"]


class _Instance:
    """Peer discovery of one instance, listening on loopback."""

    def __init__(self, name, seeds=()):
        self._fd = os.open(os.devnull, os.O_WRONLY)
        log = decision_log.DecisionLog(instance=name, fd=self._fd)
        self.counts = []
        self._listener = listener.Listener(
            address="127.0.0.1:0",
            limits=lambda: _LIMITS,
            handle=lambda request, conn: self.peers.handle(request, conn),
            refuse=lambda status, text: ([], b""),
            log=log,
        )
        self._listener.start()
        self.address = f"127.0.0.1:{self._listener.port}"
        self.peers = peer_discovery.PeerDiscovery(
            own=membership_module.Member(
                name=name, address=self.address, data_centre="a"
            ),
            seeds=seeds,
            log=log,
            on_peer_count=self.counts.append,
        )

    def names(self):
        now = boottime.now()
        return sorted(
            m.name for m, _ in self.peers.membership.members("a", now)
        )


def _wait(condition):
    deadline_s = boottime.now() + 10
    while not condition() and boottime.now() < deadline_s:
        gevent.sleep(0.05)
    assert condition()


def test_instances_discover_each_other_by_a_seed_and_announce_departure():
    first = _Instance("1")
    others = [_Instance(name, seeds=(first.address,)) for name in ("2", "3")]
    everyone = [first, *others]
    greenlets = [gevent.spawn(one.peers.run) for one in everyone]
    _wait(lambda: [len(one.names()) for one in everyone] == [2, 2, 2])
    _wait(lambda: all(2 in one.counts for one in everyone))
    gevent.killall(greenlets)
    others[0].peers.announce_departure()
    _wait(lambda: first.names() == ["3"])


def test_an_instance_that_has_announced_departure_sends_no_more_requests():
    first = _Instance("1")
    leaver = _Instance("2", seeds=(first.address,))
    greenlet = gevent.spawn(leaver.peers.run)
    _wait(lambda: first.names() == ["2"])
    leaver.peers.announce_departure()
    _wait(greenlet.ready)
    assert first.names() == []


@pytest.mark.parametrize("seed", ["127.0.0.1:9", "not-an-address"])
def test_an_unreachable_seed_is_tolerated(seed):
    alone = _Instance("1", seeds=(seed,))
    greenlet = gevent.spawn(alone.peers.run)
    _wait(lambda: alone.counts == [0])
    assert not greenlet.ready()
    greenlet.kill()


def test_a_request_is_sent_to_several_instances():
    first = _Instance("1")
    requester = _Instance("2", seeds=(first.address,))
    assert (
        requester.peers.request_each(requester.peers.members(), "/what") == []
    )
    greenlet = gevent.spawn(requester.peers.run)
    _wait(lambda: first.names() == ["2"])
    gone = membership_module.Member(
        name="0", address="127.0.0.1:9", data_centre="a"
    )
    requester.peers.membership.record_alive(gone, boottime.now())
    assert (
        requester.peers.request_each(requester.peers.members(), "/what") == []
    )
    first.peers.register_handler("/what", lambda fields: b"this")
    assert requester.peers.request_each(requester.peers.members(), "/what") == [
        b"this"
    ]
    greenlet.kill()
