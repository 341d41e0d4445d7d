"""Demand exchanged as datagrams on loopback, in real time."""

import os
import random

import gevent
import pytest

from irisshelf import boottime
from irisshelf.coordination import membership as membership_module
from irisshelf.gateway.knowledge import datagrams
from irisshelf.gateway.knowledge import demand_exchange
from irisshelf.observe import decision_log
from irisshelf.overload import demand


class _Monitor:
    """Has a constant demand; keeps the totals."""

    def __init__(self, offered):
        self.totals = []
        self.reports = 0
        rates = demand.GroupRates(offered_slots=offered)
        self._own = {"s": demand.ServiceDemand(by_priority={0: rates})}

    def own_in_effect(self):
        return self._own

    def record_total(self, total):
        self.totals.append(total["s"].offered_slots)

    def report(self):
        self.reports += 1


class _Instance:
    def __init__(self, name, data_centre, offered):
        fd = os.open(os.devnull, os.O_WRONLY)
        self.log = decision_log.DecisionLog(instance=name, fd=fd)
        self.problems = []
        self.log.warning = lambda name, **fields: self.problems.append(name)
        self.datagrams = datagrams.Datagrams(
            address="127.0.0.1:0", log=self.log
        )
        self.member = membership_module.Member(
            name=name, address=self.datagrams.address, data_centre=data_centre
        )
        self.membership = membership_module.Membership(own=self.member)
        self.monitor = _Monitor(offered)
        self.exchange = demand_exchange.DemandExchange(
            monitor=self.monitor,
            datagrams=self.datagrams,
            membership=self.membership,
            log=self.log,
            rng=random.Random(name),
            now=boottime.now,
        )
        self.greenlets = [
            gevent.spawn(self.exchange.run),
            gevent.spawn(self.datagrams.run),
        ]


@pytest.fixture
def five():
    """Instances in two data centres; each knows all others."""
    made = [
        _Instance(str(number), data_centre, 2.0**number)
        for number, data_centre in enumerate("aaabb")
    ]
    for one in made:
        for other in made:
            one.membership.record_alive(other.member, boottime.now())
    yield made
    for one in made:
        gevent.killall(one.greenlets)


def test_all_instances_know_the_total(five):
    gevent.sleep(2.5)
    for one in five:
        assert one.monitor.totals[-1] == pytest.approx(31.0, rel=0.001)
        # Twice a second.
        assert 3 <= len(one.monitor.totals) <= 8
        assert 4 <= one.monitor.reports <= 7
        assert not one.problems


def test_a_garbled_datagram_does_not_end_the_exchange(five):
    for one in five:
        data = datagrams.encode(datagrams.Kind.DEMAND, [9, "x"])
        for garbled in (data, data[:-1], data[:1], data[:1] + b"\xff" * 20):
            five[0].datagrams.send(one.member.address, garbled)
    gevent.sleep(2.5)
    for one in five:
        assert one.problems == ["datagram_unreadable"]
        assert one.monitor.totals[-1] == pytest.approx(31.0, rel=0.001)
