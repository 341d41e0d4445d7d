"""Quotas by fleet demand, and their application at one instance.

Guards against instances that starve a priority or team, against shares that
are wrong over a small number of requests, and against a capacity that stays
wrong because an estimate is.
"""

import pytest

from irisshelf.overload import admission
from irisshelf.overload import correction
from irisshelf.overload import credits as credits_module
from irisshelf.overload import demand as demand_module
from irisshelf.overload import fair_shares
from irisshelf.overload import local_admission
from irisshelf.overload import quotas as quotas_module

_A, _B, _C = (demand_module.team_key(team) for team in "abc")
_OBJECTIVE_S = 0.6


def _claims(demands, weights=None, minimums=None):
    return {
        name: fair_shares.Claim(
            demand=demand,
            weight=(weights or {}).get(name, 1.0),
            minimum=(minimums or {}).get(name, 0.0),
        )
        for name, demand in demands.items()
    }


@pytest.mark.parametrize(
    ("claims", "capacity", "shares"),
    [
        pytest.param(_claims({}), 5.0, {}, id="nobody"),
        pytest.param(
            _claims({"a": 2, "b": 3}), 9.0, {"a": 2, "b": 3}, id="fit"
        ),
        pytest.param(
            _claims({"a": 8, "b": 8}), 6.0, {"a": 3, "b": 3}, id="even"
        ),
        pytest.param(
            _claims({"a": 1, "b": 9, "c": 9}),
            7.0,
            {"a": 1, "b": 3, "c": 3},
            id="unused-share-is-lent",
        ),
        pytest.param(
            _claims({"a": 9, "b": 9}, weights={"b": 2.0}),
            6.0,
            {"a": 2, "b": 4},
            id="weights",
        ),
        pytest.param(
            _claims({"a": 9, "b": 40}, minimums={"b": 8.0}),
            10.0,
            {"a": 2, "b": 8},
            id="minimum",
        ),
        pytest.param(
            _claims({"a": 9, "b": 9}, minimums={"a": 2.0, "b": 3.0}),
            4.0,
            {"a": 2, "b": 3},
            id="less-than-the-minimums",
        ),
        pytest.param(
            _claims({"a": 0, "b": 4}), 2.0, {"a": 0, "b": 2}, id="none"
        ),
    ],
)
def test_shares_are_max_min_fair(claims, capacity, shares):
    assert fair_shares.allocate(claims, capacity) == pytest.approx(shares)


@pytest.mark.parametrize(
    ("claim", "named"),
    [
        (fair_shares.Claim(demand=1.0, weight=0.0), "weight of 'a' is 0.0"),
        (fair_shares.Claim(demand=1.0, weight=float("nan")), "is nan"),
        (fair_shares.Claim(demand=1.0, minimum=2.0), "minimum of 'a' is 2.0"),
        (fair_shares.Claim(demand=1.0, minimum=-1.0), "minimum of 'a' is -1.0"),
    ],
)
def test_an_invalid_claim_is_named(claim, named):
    with pytest.raises(ValueError, match=named):
        fair_shares.allocate({"a": claim}, 1.0)


def _demand(by_priority, by_team=None):
    return demand_module.ServiceDemand(
        by_priority={
            priority: demand_module.GroupRates(offered_slots=offered)
            for priority, offered in by_priority.items()
        },
        by_team=by_team or {},
    )


@pytest.mark.parametrize(
    ("by_priority", "capacity", "slots"),
    [
        pytest.param({0: 10, 1: 10}, 32.0, {0: 10, 1: 10}, id="fits"),
        pytest.param({0: 10, 1: 90}, 50.0, {0: 10, 1: 40}, id="urgent-first"),
        # A fifth of all fits, so that each gets at least 0.06 of its demand.
        pytest.param(
            {0: 60, 1: 60, 2: 40}, 32.0, {0: 26, 1: 3.6, 2: 2.4}, id="minimums"
        ),
        pytest.param({}, 32.0, {}, id="no-demand"),
        pytest.param({1: 5}, 0.0, {1: 0}, id="no-capacity"),
    ],
)
def test_slots_by_priority(by_priority, capacity, slots):
    quotas = quotas_module.allocate(_demand(by_priority), capacity, {})
    assert quotas.slots_by_priority == pytest.approx(slots)


@pytest.mark.parametrize("capacity", [1.0, 8.0, 31.0, 64.0])
@pytest.mark.parametrize(
    "teams",
    [
        pytest.param({_A: 1.0, _B: 63.0}, id="one-large"),
        pytest.param({_A: 0.5, _B: 9.0, _C: 70.0}, id="three"),
    ],
)
def test_nobody_gets_less_than_the_minimum_and_nothing_is_given_twice(
    teams, capacity
):
    demand = _demand(
        {priority: sum(teams.values()) for priority in range(3)},
        {(p, key): load for p in range(3) for key, load in teams.items()},
    )
    quotas = quotas_module.allocate(demand, capacity, {})
    least = 0.25 * min(1.0, capacity / demand.offered_slots)
    assert min(quotas.fraction_by_team.values()) >= least
    assert sum(quotas.slots_by_team.values()) == pytest.approx(capacity)


@pytest.mark.parametrize(
    ("weights", "fractions"),
    [
        # The small team is below the fair share; the others get the rest.
        pytest.param({}, {_A: 1.0, _B: 0.5, _C: 0.25}, id="equal"),
        pytest.param({_C: 3.0}, {_A: 0.6, _B: 0.3, _C: 0.45}, id="weighted"),
    ],
)
def test_a_surging_team_is_limited_to_its_fair_share(weights, fractions):
    demand = _demand({0: 28.0}, {(0, _A): 4.0, (0, _B): 8.0, (0, _C): 16.0})
    quotas = quotas_module.allocate(demand, 12.0, weights)
    found = {key: quotas.fraction(0, key) for key in (_A, _B, _C)}
    assert found == pytest.approx(fractions)


def test_teams_that_are_not_listed_get_the_fraction_of_the_others():
    """Guards against merged small teams that count as one large team."""
    others = (0, demand_module.OTHER_TEAMS)
    demand = _demand({0: 30.0}, {(0, _A): 20.0, (0, _B): 2.0, others: 8.0})
    quotas = quotas_module.allocate(demand, 16.0, {})
    assert quotas.fraction(0, _B) == 1.0
    assert quotas.fraction(0, _C) == 1.0
    assert quotas.fraction(0, _A) == pytest.approx(0.3)


@pytest.mark.parametrize("fraction", [0.07, 0.3, 0.5, 0.9])
@pytest.mark.parametrize("groups", [1, 5, 24])
def test_fractions_are_exact_over_few_requests(groups, fraction):
    """Guards against random draws, which are off by tens of percent here."""
    control = credits_module.Credits()
    admitted = dict.fromkeys(range(groups), 0)
    rounds = 60
    for n in range(groups * rounds):
        group = (0, bytes([n % groups]))
        if control.add(group, fraction):
            control.charge(group)
            admitted[n % groups] += 1
    assert sum(admitted.values()) == pytest.approx(
        fraction * groups * rounds, abs=1.5
    )
    for count in admitted.values():
        assert count == pytest.approx(fraction * rounds, abs=2.5)


def test_returning_callers_are_charged_to_new_ones():
    control = credits_module.Credits()
    admitted = 0
    for n in range(200):
        may = control.add((0, _A), 0.5)
        if n % 4 == 0 or may:
            control.charge((0, _A))
            admitted += 1
    assert admitted == pytest.approx(100, abs=3)


_NONE = _demand({})
_DOUBLE = _demand({0: 64.0}, {(0, _A): 64.0})


def _arrival(priority=0, team="a", **changes):
    figures = {"objective_s": _OBJECTIVE_S, "remaining_s": 2.5} | changes
    return admission.Arrival(priority=priority, team=team, **figures)


def _admitted_share(demand, *, count=400, wait_s=0.1, **changes):
    control = admission.FleetAdmission(team_weights={})
    admitted = [
        control.admit(
            _arrival(**changes),
            wait_s=wait_s,
            now=n / 100,
            full=False,
            demand=demand,
            capacity_slots=32.0,
        )
        is None
        for n in range(count)
    ]
    return sum(admitted) / count


@pytest.mark.parametrize(
    ("demand", "least", "most"),
    [
        pytest.param(_NONE, 1.0, 1.0, id="no-demand-known"),
        pytest.param(_demand({0: 31.9}), 1.0, 1.0, id="fits"),
        pytest.param(_DOUBLE, 0.45, 0.55, id="twice-the-capacity"),
    ],
)
def test_the_admitted_fraction_follows_from_demand(demand, least, most):
    assert least <= _admitted_share(demand) <= most


@pytest.mark.parametrize(
    ("changes", "full", "wait_s", "admitted"),
    [
        pytest.param({}, False, 0.35, True, id="short-wait"),
        pytest.param({}, False, 0.37, False, id="beyond-the-objective"),
        pytest.param({}, True, 0.0, False, id="full"),
        pytest.param({"remaining_s": 0.1}, False, 0.2, False, id="deadline"),
        pytest.param({"resumes": True}, False, 0.37, True, id="resumed"),
        pytest.param({"returning": True}, False, 0.37, False, id="returning"),
        pytest.param({"objective_s": 0.0}, False, 1.0, True, id="no-objective"),
    ],
)
@pytest.mark.parametrize("capacity_slots", [0.0, 32.0])
def test_a_request_is_rejected_if_it_would_be_late(
    changes, full, wait_s, admitted, capacity_slots
):
    control = admission.FleetAdmission(team_weights={})
    refusal = control.admit(
        _arrival(**changes),
        wait_s=wait_s,
        now=1.0,
        full=full,
        demand=_NONE,
        capacity_slots=capacity_slots,
    )
    assert (refusal is None) is admitted


@pytest.mark.parametrize("by_fleet", [True, False], ids=["fleet", "local"])
@pytest.mark.parametrize(
    ("seconds", "is_limited"), [(50, True), (119, True), (181, False)]
)
def test_the_objective_of_a_withdrawn_route_is_forgotten(
    by_fleet, seconds, is_limited
):
    """Guards against a route that limits the others after its withdrawal.

    The queues are short for the objective of 0.6 s and long for that of 0.05 s.
    """
    if by_fleet:
        control = admission.FleetAdmission(team_weights={})
        queues = {
            "full": False,
            "demand": _demand({0: 6.0, 1: 6.0}),
            "capacity_slots": 32.0,
        }
    else:
        control = local_admission.AdmissionControl()
        queues = {}
    control.admit(
        _arrival(objective_s=0.05, priority=1), wait_s=0.0, now=0.0, **queues
    )
    refusals = [
        control.admit(
            _arrival(priority=n % 2), wait_s=0.15, now=n / 20, **queues
        )
        for n in range(1, seconds * 20)
    ]
    late = refusals[-20:]
    assert any(late) is is_limited


def test_a_returning_caller_is_admitted_beyond_the_fraction():
    control = admission.FleetAdmission(team_weights={})
    refusals = [
        control.admit(
            _arrival(returning=True),
            wait_s=0.0,
            now=n / 100,
            full=False,
            demand=_DOUBLE,
            capacity_slots=1.0,
        )
        for n in range(5)
    ]
    assert refusals == [None] * 5


def test_at_the_start_of_an_overload_the_least_urgent_make_room():
    """Guards against queues that are full before the demand is known."""
    demand = _demand({0: 6.0, 1: 6.0, 2: 8.0})
    control = admission.FleetAdmission(team_weights={})
    admitted = {0: 0, 1: 0, 2: 0}
    for n in range(300):
        priority = n % 3
        refusal = control.admit(
            _arrival(priority),
            wait_s=0.3,
            now=n / 300,
            full=False,
            demand=demand,
            capacity_slots=32.0,
        )
        admitted[priority] += refusal is None
    assert admitted[0] >= 95
    assert max(admitted[1], admitted[2]) <= 50


def _factor(seconds, **changes):
    control = correction.CapacityCorrection()
    figures = {
        "backlog_s": 0.1,
        "idle": 0.0,
        "max_wait_s": 0.36,
        "in_time": 1.0,
        "overloaded": True,
    } | changes
    for n in range(int(seconds * 100)):
        control.update(now=n / 100, **figures)
    return control.factor, control.excess


@pytest.mark.parametrize(
    ("changes", "factor", "excess"),
    [
        pytest.param({}, (1, 1), (0, 0), id="as-estimated"),
        pytest.param({"backlog_s": 0.34}, (0.5, 0.95), (0.1, 1), id="queues"),
        pytest.param({"in_time": 0.5}, (0.5, 0.95), (0, 0), id="late"),
        pytest.param(
            {"backlog_s": 0.0, "idle": 0.2}, (1.05, 2), (0, 0), id="idle-a-bit"
        ),
        pytest.param(
            {"backlog_s": 0.0, "idle": 0.6},
            (5, 50),
            (0, 0),
            id="demand-is-gone",
        ),
    ],
)
def test_the_capacity_is_corrected_by_what_is_seen(changes, factor, excess):
    found, seen_excess = _factor(3.0, **changes)
    assert factor[0] <= found <= factor[1]
    assert excess[0] <= seen_excess <= excess[1]


def test_a_correction_ends_with_its_cause():
    control = correction.CapacityCorrection()
    for n in range(6000):
        control.update(
            backlog_s=0.36 if n < 300 else 0.1,
            idle=0.0,
            max_wait_s=0.36,
            in_time=1.0,
            overloaded=n < 300,
            now=n / 100,
        )
    assert control.factor == pytest.approx(1.0, abs=0.02)
    assert control.excess == 0.0


@pytest.mark.parametrize(
    ("backlog_s", "is_limited"), [(0.1, False), (0.3, True)]
)
def test_quotas_follow_the_queues_that_a_request_finds(backlog_s, is_limited):
    """Guards against quotas by the queues that the last request found.

    At 64 instances, a second may have passed since.
    """
    control = admission.FleetAdmission(team_weights={})
    rates = {p: demand_module.GroupRates(offered_slots=8.0) for p in (0, 1)}
    arrival = admission.Arrival(
        priority=0, team="a", objective_s=0.6, remaining_s=2.5
    )
    for now, found_s in ((0.0, 0.1), (1.0, backlog_s)):
        control.admit(
            arrival,
            wait_s=found_s,
            now=now,
            full=False,
            demand=demand_module.ServiceDemand(by_priority=rates),
            capacity_slots=32.0,
        )
    assert (control.quotas.fraction_by_priority[1] < 1) is is_limited
