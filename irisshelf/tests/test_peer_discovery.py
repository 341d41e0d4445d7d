"""Instances that find each other, and agree on the first of them."""

import os

import gevent
import pytest

from irisshelf import boottime
from irisshelf.coordination import membership
from irisshelf.gateway import listener
from irisshelf.gateway.knowledge import peer_discovery
from irisshelf.observe import decision_log
from irisshelf.transport import server as http

_LIMITS = http.Limits(head_bytes=9999, body_bytes=9999, head_s=5.0, idle_s=5.0)
_NAMES = [str(number) for number in range(8)]


def _member(name, data_centre="a"):
    return membership.Member(
        name=name, address=f"10.0.0.1:{name}", data_centre=data_centre
    )


def _roster(own, others, now=0.0):
    made = membership.Membership(own=_member(own))
    for name in others:
        made.record_alive(_member(name), now)
    return made


def _others(name):
    return [other for other in _NAMES if other != name]


def test_all_instances_agree_on_the_first():
    found = {name: _roster(name, _others(name)).leader(1.0) for name in _NAMES}
    (first,) = {name for name, whom in found.items() if whom is None}
    assert {whom.name for whom in found.values() if whom} == {first}


@pytest.mark.parametrize("data_centre", ["a", "b"])
def test_an_instance_alone_is_the_first(data_centre):
    made = membership.Membership(own=_member("1"))
    if data_centre == "b":
        for name in _NAMES[2:]:
            made.record_alive(_member(name, "b"), 0.0)
    assert made.leader(1.0) is None


@pytest.mark.parametrize("how", ["left", "silent"])
def test_a_lost_first_is_replaced(how):
    name = next(n for n in _NAMES if _roster(n, _others(n)).leader(1.0))
    made = _roster(name, _others(name))
    first = made.leader(1.0)
    now = 1.0
    if how == "left":
        made.remove(first.name)
    else:
        now = membership.EXPIRY_S + 0.5
        for other in _NAMES:
            if other not in (name, first.name):
                made.record_alive(_member(other), now)
    assert made.leader(now) != first


def test_old_news_of_an_instance_does_not_keep_it():
    made = _roster("1", ["2"], now=0.0)
    made.record_alive(_member("2"), -5.0)
    assert [m.name for m, _ in made.members("a", 5.0)] == ["2"]
    assert made.members("a", membership.EXPIRY_S + 0.1) == []


def test_an_asker_is_told_of_its_own_data_centre_and_a_few_elsewhere():
    made = _roster("1", ["2", "3"])
    for name in _NAMES[4:]:
        made.record_alive(_member(name, "b"), 0.0)
    told = [m.data_centre for m, _ in made.sample("a", 1.0, 2)]
    assert sorted(told) == ["a", "a", "a", "b", "b"]


class _Instance:
    """One instance's neighbours, listening on loopback."""

    def __init__(self, name, seeds=()):
        self._fd = os.open(os.devnull, os.O_WRONLY)
        log = decision_log.DecisionLog(instance=name, fd=self._fd)
        self.counts = []
        self._listener = listener.Listener(
            address="127.0.0.1:0",
            limits=lambda: _LIMITS,
            handle=lambda request, conn: self.own.handle(request, conn),
            refuse=lambda status, text: ([], b""),
            log=log,
        )
        self._listener.start()
        self.address = f"127.0.0.1:{self._listener.port}"
        self.own = peer_discovery.PeerDiscovery(
            own=membership.Member(
                name=name, address=self.address, data_centre="a"
            ),
            seeds=seeds,
            log=log,
            on_peer_count=self.counts.append,
        )

    def names(self):
        now = boottime.now()
        return sorted(m.name for m, _ in self.own.membership.members("a", now))


def _wait(until):
    end_s = boottime.now() + 10
    while not until() and boottime.now() < end_s:
        gevent.sleep(0.05)
    assert until()


def test_instances_find_each_other_by_a_seed_and_say_goodbye():
    first = _Instance("1")
    others = [_Instance(name, seeds=(first.address,)) for name in ("2", "3")]
    everyone = [first, *others]
    loops = [gevent.spawn(one.own.run) for one in everyone]
    _wait(lambda: [len(one.names()) for one in everyone] == [2, 2, 2])
    _wait(lambda: all(2 in one.counts for one in everyone))
    gevent.killall(loops)
    others[0].own.announce_departure()
    _wait(lambda: first.names() == ["3"])


def test_an_instance_that_has_said_goodbye_asks_no_more():
    first = _Instance("1")
    leaver = _Instance("2", seeds=(first.address,))
    loop = gevent.spawn(leaver.own.run)
    _wait(lambda: first.names() == ["2"])
    leaver.own.announce_departure()
    _wait(loop.ready)
    assert first.names() == []


@pytest.mark.parametrize("seed", ["127.0.0.1:9", "not-an-address"])
def test_a_seed_that_is_not_there_is_borne(seed):
    alone = _Instance("1", seeds=(seed,))
    loop = gevent.spawn(alone.own.run)
    _wait(lambda: alone.counts == [0])
    assert not loop.ready()
    loop.kill()


def test_an_instance_asks_whoever_answers():
    first = _Instance("1")
    asker = _Instance("2", seeds=(first.address,))
    assert asker.own.request_any("/what") is None
    loop = gevent.spawn(asker.own.run)
    _wait(lambda: first.names() == ["2"])
    gone = membership.Member(name="0", address="127.0.0.1:9", data_centre="a")
    asker.own.membership.record_alive(gone, boottime.now())
    assert asker.own.request_any("/what") is None
    first.own.register_handler("/what", lambda fields: b"this")
    assert asker.own.request_any("/what") == b"this"
    loop.kill()
