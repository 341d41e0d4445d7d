"""Checks of priority order and of fair shares under hard load."""

from __future__ import annotations

import math
from collections.abc import Iterator
from collections.abc import Sequence

from soak import observations
from soak import teams

# Fewer requests than this tell nothing about the order, or about starvation:
# the bound of the latter is above zero from about 40 requests on, at 0.4 of all
# requests in time.
_ENOUGH = 100
_ENOUGH_IN_TEAM = 60
# Shares may differ by so many standard deviations of samples of their sizes.
_DEVIATIONS = 3.0
# Each priority and team is served in time at least so often as all requests
# are, relative to its own requests.
_LEAST_SHARE = 0.25
_STARVED_DEVIATIONS = 2.0


def out_of_order(record: observations.Record) -> Iterator[str]:
    """Yields pairs of priorities of which the less urgent one does better.

    Args:
        record: What was seen. First attempts count, as rejected callers may
            retry at once or wait.

    Yields:
        Both priorities and their shares of admitted requests.
    """
    first = _first_attempts(record)
    admitted = {
        priority: [
            one.status not in observations.NOT_RUN
            for one in first
            if one.priority == priority
        ]
        for priority in teams.PRIORITIES
    }
    for urgent, other in _pairs(list(teams.PRIORITIES)):
        here, there = admitted[urgent], admitted[other]
        if min(len(here), len(there)) < _ENOUGH:
            continue
        share = _share(here + there)
        deviation = math.sqrt(
            share * (1 - share) * (1 / len(here) + 1 / len(there))
        )
        if _share(there) - _share(here) > _DEVIATIONS * deviation:
            yield (
                f"priority {urgent}: {sum(here)} of {len(here)} admitted, "
                f"{other}: {sum(there)} of {len(there)}"
            )


def starved(record: observations.Record) -> Iterator[str]:
    """Yields priorities and teams that are served too seldom in time.

    Args:
        record: What was seen. First attempts count.

    Yields:
        The priority or team, and how many of its requests were in time.
    """
    first = _first_attempts(record)
    if not first:
        return
    least = _LEAST_SHARE * _share([_is_in_time(one) for one in first])
    groups = {
        f"priority {priority}": [o for o in first if o.priority == priority]
        for priority in teams.PRIORITIES
    }
    groups |= {
        f"team {team}": [o for o in first if o.team == team]
        for team in teams.SHARES
    }
    for name, asked in groups.items():
        if len(asked) < _ENOUGH_IN_TEAM:
            continue
        in_time = [_is_in_time(one) for one in asked]
        deviation = math.sqrt(least * (1 - least) / len(asked))
        if _share(in_time) < least - _STARVED_DEVIATIONS * deviation:
            yield f"{name}: {sum(in_time)} of {len(asked)} in time"


def _first_attempts(
    record: observations.Record,
) -> list[observations.Asked]:
    """Returns first attempts that an instance has answered."""
    return [
        one
        for one in record.asked
        if one.team and not one.retries and one.status
    ]


def _pairs(priorities: Sequence[int]) -> Iterator[tuple[int, int]]:
    for place, urgent in enumerate(priorities):
        for other in priorities[place + 1 :]:
            yield urgent, other


def _share(answers: Sequence[bool]) -> float:
    return sum(answers) / len(answers)


def _is_in_time(asked: observations.Asked) -> bool:
    took_s = asked.ended_s - asked.sent_s
    return asked.status == 200 and asked.whole and took_s <= teams.OBJECTIVE_S
