"""Streams resumed in fleets of many instances, while versions come and go.

Regression: instances that had all just started took the one version that they
listed for the only one there had been.
"""

import pytest

from irisshelf.testing import rollout_fleet

_SIZES = [
    pytest.param(24, 3, 40.0, id="24"),
    pytest.param(68, 4, 130.0, id="68"),
    pytest.param(85, 3, 180.0, id="85"),
]
_TWO_S, _TURNED_S = 8.0, 12.0
_END_S = 22.0


def _fleet(count, data_centres, streams_per_s, **options):
    """Returns a fleet in which a second version replaces most of the first."""
    fleet = rollout_fleet.RolloutFleet(
        count=count,
        data_centres=data_centres,
        streams_per_s=streams_per_s,
        **options,
    )
    fleet.at(_TWO_S, fleet.list_versions, {"v1": 6, "v2": 4})
    fleet.at(_TURNED_S, fleet.list_versions, {"v1": 4, "v2": 6})
    return fleet


@pytest.mark.parametrize(("count", "data_centres", "streams_per_s"), _SIZES)
@pytest.mark.parametrize("share", [0.6, 0.9, 1.0])
@pytest.mark.parametrize("after_s", [0.05, 0.5, 2.0])
def test_instances_that_start_do_not_guess_what_served_before(
    count, data_centres, streams_per_s, share, after_s
):
    """Guards against one listed version that is taken for the only one."""
    fleet = _fleet(count, data_centres, streams_per_s)
    fleet.at(14.0, fleet.list_versions, {"v2": 10})
    fleet.at(14.0 + after_s, fleet.kill, share, 1.0)
    fleet.run(18.0)
    assert fleet.resumptions
    assert not fleet.mixed()


def test_instances_replaced_one_by_one_pass_on_what_served_before():
    """Guards against a fleet in which nobody remembers a version."""
    fleet = rollout_fleet.RolloutFleet(count=24, streams_per_s=40.0)
    fleet.at(8.0, fleet.list_versions, {"v1": 5, "v2": 5})
    fleet.at(11.0, fleet.list_versions, {"v2": 10})
    for number in range(24):
        fleet.at(11.1 + 0.2 * number, fleet.kill_one, f"i-{number}", 0.5)
    fleet.run(20.0)
    assert not fleet.mixed()


@pytest.mark.parametrize(("count", "data_centres", "streams_per_s"), _SIZES)
@pytest.mark.parametrize(
    "kills",
    [
        pytest.param([(10.0, 0.55), (15.0, 0.9)], id="most"),
        pytest.param([(25.0, 1.0)], id="all"),
        pytest.param([(25.0, 1.0), (27.0, 1.0)], id="all-twice"),
    ],
)
def test_nothing_is_rejected_or_sent_where_one_version_has_served_all_along(
    count, data_centres, streams_per_s, kills
):
    """Guards against doubts that cost where there is nothing to mix up."""
    fleet = rollout_fleet.RolloutFleet(
        count=count, data_centres=data_centres, streams_per_s=streams_per_s
    )
    for at_s, share in kills:
        fleet.at(at_s, fleet.kill, share)
    fleet.run(30.0)
    assert fleet.resumptions
    assert all(one.goes_on_at == "v1" for one in fleet.resumptions)
    assert not fleet.bytes_per_s()
