"""An overload of 2.4 times the capacity whose callers return.

Guards against callers that are told a time at which they are then rejected, and
against a gain for callers that ignore that time, at the cost of the others.
"""

import functools

import pytest

from irisshelf.testing import returning_callers

_LEAST_IN_TIME = 0.9
_MOST_LOST = 0.02
_IGNORING_SHARE = 0.3
# Shares of fewer callers would show nothing.
_LEAST_TOLD = 200


@functools.cache
def _simulated(instances, **options):
    simulation = returning_callers.Simulation(instances=instances, **options)
    simulation.run()
    return simulation


def _in_time_share(callers):
    return sum(caller.in_time for caller in callers) / len(callers)


def _honest(simulation):
    return [caller for caller in simulation.callers if not caller.ignores]


@pytest.mark.parametrize(
    ("instances", "killed"),
    [(1, 0), (4, 0), (24, 0), (64, 0), (4, 1), (24, 8), (64, 21)],
)
def test_callers_that_return_when_told_are_served(instances, killed):
    simulation = _simulated(instances, killed=killed)
    told = [c for c in simulation.callers if c.told_s is not None]
    assert len(told) >= _LEAST_TOLD
    assert _in_time_share(told) >= _LEAST_IN_TIME


def _told_in_time_share(simulation):
    told = [c for c in simulation.callers if c.told_s is not None]
    assert len(told) >= _LEAST_TOLD
    return _in_time_share(told)


@pytest.mark.parametrize(
    ("instances", "data_centres", "killed"),
    [(4, 2, 0), (24, 4, 0), (64, 4, 0), (24, 4, 8), (64, 4, 21)],
)
def test_callers_that_return_in_any_data_centre_are_served(
    instances, data_centres, killed
):
    simulation = _simulated(instances, killed=killed, data_centres=data_centres)
    assert _told_in_time_share(simulation) >= _LEAST_IN_TIME


def test_reservations_of_one_data_centre_are_not_enough():
    # Shows that the simulation is able to tell.
    simulation = _simulated(24, killed=0, data_centres=4, is_earlier=True)
    assert _told_in_time_share(simulation) < _LEAST_IN_TIME


@pytest.mark.parametrize("instances", [4, 24, 64])
def test_callers_that_return_at_once_cost_the_others_little(instances):
    honest = _honest(_simulated(instances, killed=0))
    beside = _simulated(instances, ignoring_share=_IGNORING_SHARE)
    lost = _in_time_share(honest) - _in_time_share(_honest(beside))
    assert lost < _MOST_LOST


@pytest.mark.parametrize("instances", [4, 24, 64])
def test_callers_that_return_at_once_gain_nothing(instances):
    simulation = _simulated(instances, ignoring_share=_IGNORING_SHARE)
    ignoring = [caller for caller in simulation.callers if caller.ignores]
    assert _in_time_share(ignoring) < _in_time_share(_honest(simulation))


def test_without_recognition_before_admission_the_others_lose():
    # Shows that the simulation is able to tell; see ``returning.recognise``.
    honest = _honest(_simulated(24, killed=0))
    beside = _simulated(24, ignoring_share=_IGNORING_SHARE, recognises=False)
    lost = _in_time_share(honest) - _in_time_share(_honest(beside))
    assert lost > _MOST_LOST
