"""Requests to a service that the whole fleet asks too much of.

Guards against an instance that decides by its own few requests, and against
callers that gain or lose by returning.
"""

import dataclasses

import gevent
import pytest

from irisshelf.gateway import settings
from irisshelf.overload import correction
from irisshelf.overload import demand
from irisshelf.overload import reservations

_SERVICE = "lm"
# Two engines of 64 slots each.
_CAPACITY = 128.0


@pytest.fixture
def fleet(world, monkeypatch):
    """An instance whose requests are decided about by the fleet's demand.

    The capacity is not corrected, as that depends on how long requests take.
    """
    corrected = correction.CapacityCorrection
    monkeypatch.setattr(corrected, "factor", 1.0)
    monkeypatch.setattr(corrected, "excess", 0.0)
    cfg = world.inst.cfg
    overload = dataclasses.replace(
        cfg.overload, fleet_admission=settings.FleetAdmission.ON
    )
    cfg = dataclasses.replace(cfg, overload=overload)
    world.inst.apply_settings(cfg)
    return world


def _record_demand(world, **offered):
    """Records the fleet's demand by priority, such as ``p0``, in capacities.

    All slots are busy: demand does not count while servers are idle.
    """
    stats = world.inst.servers.chooser(_SERVICE).stats
    for engine in world.engines:
        stats.record_load_report(
            engine.server_id, work=66, at_s=world.inst.now()
        )
    rates = {
        int(name[1:]): demand.GroupRates(
            offered_slots=share * _CAPACITY, rejected_per_s=10.0
        )
        for name, share in offered.items()
    }
    world.inst.demand.record_total(
        {_SERVICE: demand.ServiceDemand(by_priority=rates)}
    )


def _ask(world, target, count, **offered):
    """Returns the answers to requests while the demand lasts.

    The requests differ: one that is repeated is that of a returning caller.
    """
    answers = []
    for number in range(count):
        _record_demand(world, **offered)
        answers.append(
            world.ask(f"{target}{number}", Request_Id=f"asked-{number}")
        )
    return answers


def _served(world, target, count, **offered):
    answers = _ask(world, target, count, **offered)
    return sum(answer.status == 200 for answer in answers)


def test_demand_that_fits_is_admitted(fleet):
    assert _served(fleet, "/query/", 12, p1=0.9) == 12


def test_a_fraction_of_too_much_demand_is_admitted(fleet):
    """One in four, but for the first request of the fraction."""
    assert 3 <= _served(fleet, "/query/", 16, p1=4.0) <= 5


def test_more_urgent_demand_leaves_the_others_their_minimum(fleet):
    """A half of all is admitted; a quarter of that is what users require."""
    served = _served(fleet, "/query/", 40, p0=1.0, p1=1.0)
    assert 40 * 0.5 * 0.25 - 1 <= served <= 40 * 0.5 * 0.5


def test_another_service_is_not_affected(fleet):
    assert _served(fleet, "/alarm/", 8, p1=4.0) == 8


def test_without_the_setting_the_demand_of_the_fleet_does_not_matter(world):
    assert _served(world, "/query/", 12, p1=4.0) == 12


def test_a_rejected_request_has_not_run_and_is_told_when_to_return(fleet):
    answers = _ask(fleet, "/query/", 8, p1=8.0)
    rejected = [n for n, one in enumerate(answers) if one.status == 503]
    assert rejected
    for number in rejected:
        assert fleet.runs(f"asked-{number}") == 0
        assert float(answers[number].headers["retry-after"]) > 0


def test_a_server_that_fills_up_during_the_claim_is_not_used(fleet):
    """Guards against requests that are sent on old figures, all to one server.

    While requests are rejected, each one waits for the answers of the holders
    of its reservation.
    """
    stats = fleet.inst.servers.chooser(_SERVICE).stats
    first, second = (engine.server_id for engine in fleet.engines)

    def record(work_by_server):
        for server_id, work in work_by_server.items():
            stats.record_load_report(
                server_id, work=work, at_s=fleet.inst.now()
            )

    def claim(fingerprint):
        gevent.sleep(0.005)
        record({first: 60, second: 0})
        return reservations.UNKNOWN

    fleet.inst.returns.is_rejecting = lambda service: True
    fleet.inst.returns.claim = claim
    for number in range(5):
        record({first: 0, second: 60})
        answer = fleet.ask(f"/query/{number}", Request_Id=f"asked-{number}")
        assert answer.status == 200
    ran = [
        engine.ran(f"asked-{n}") for engine in fleet.engines for n in range(5)
    ]
    assert ran == [0] * 5 + [1] * 5
