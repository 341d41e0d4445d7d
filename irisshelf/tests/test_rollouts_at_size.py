"""Streams resumed in fleets of many instances, while versions come and go.

Regression: with more than eight instances, what began a stream was known to few
others, to which a limit on bytes delayed it, and whoever looked for it asked
five instances. After many had been killed at once, streams were rejected; and
instances that had all just started took the one version that they listed for
the only one there had been.
"""

import pytest

from irisshelf.testing import rollout_fleet

# Of the resumptions at instances in touch, while two servers of the version
# serve.
_LEAST_SHARE = 0.5
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
@pytest.mark.parametrize("hot", [0.0, 0.2], ids=["even", "one-is-hot"])
def test_all_streams_go_on_where_nobody_is_killed(
    count, data_centres, streams_per_s, hot
):
    """Guards against origins that wait, or that the wrong instances keep."""
    fleet = _fleet(count, data_centres, streams_per_s, hot=hot)
    fleet.run(_END_S, breaks_per_s=0.02)
    assert len(fleet.counted()) >= 12
    assert not fleet.mixed()
    assert fleet.share_going_on() == 1.0


@pytest.mark.parametrize(("count", "data_centres", "streams_per_s"), _SIZES)
@pytest.mark.parametrize(
    "kills",
    [
        pytest.param([(8.6, 0.16)], id="some-as-a-version-comes"),
        pytest.param([(8.6, 0.55)], id="most-as-a-version-comes"),
        pytest.param([(12.3, 0.55)], id="most"),
        pytest.param([(10.0, 0.55), (15.0, 0.55)], id="most-twice"),
    ],
)
def test_most_streams_go_on_after_many_instances_are_killed(
    count, data_centres, streams_per_s, kills
):
    """Guards against origins that only those know who have been killed."""
    fleet = _fleet(count, data_centres, streams_per_s)
    for at_s, share in kills:
        fleet.at(at_s, fleet.kill, share)
    fleet.run(_END_S)
    assert len(fleet.counted()) >= 12
    assert not fleet.mixed()
    assert fleet.share_going_on() >= _LEAST_SHARE


@pytest.mark.parametrize("count", [24, 85])
def test_streams_of_a_hot_instance_go_on_after_it_is_killed(count):
    """Guards against origins that wait for others to be sent."""
    fleet = _fleet(count, 3, 120.0, hot=0.3)
    fleet.at(14.0, fleet.kill_one, "i-0", 2.0)
    fleet.run(_END_S, breaks_per_s=0.0)
    assert len(fleet.counted()) >= 12
    assert not fleet.mixed()
    assert fleet.share_going_on() == 1.0


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
    assert fleet.share_going_on() >= _LEAST_SHARE


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


@pytest.mark.parametrize("count", [24, 85])
def test_a_version_that_was_taken_back_is_not_forgotten(count):
    """Guards against ages of servers that tell nothing of those removed."""
    fleet = rollout_fleet.RolloutFleet(count=count, streams_per_s=60.0)
    fleet.at(20.0, fleet.list_versions, {"v1": 10, "v2": 5})
    fleet.at(23.5, fleet.list_versions, {"v1": 10})
    fleet.at(24.0, fleet.kill, 1.0, 1.0)
    fleet.run(27.0)
    assert fleet.resumptions
    assert not fleet.mixed()
