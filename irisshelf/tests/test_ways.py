"""Ways to decide, played on the same days and paired."""

import json

import pytest

from irisshelf.platform import ways
from irisshelf.routing.direct import policy

_OUTPUT = """\
built in 0.4 s; 28412 lines in 240 files
day                  own/srv  score  worth served refused failed  weakest part
trouble-1              7/22   0.76  0.751  0.910   0.013  0.041  worst windows
"""
_BROKEN = """\
trouble-2             87/60   0.00 -0.100  0.100   0.5  0.041  a BROKEN: EVAC 3
"""


@pytest.mark.parametrize(
    ("output", "played"),
    [
        (_OUTPUT, ways.Played(worth=0.751, served=0.910)),
        (_BROKEN, ways.Played(worth=-0.100, served=0.100, broken="EVAC 3")),
        ("fleetbench: no such day", None),
        ("", None),
    ],
)
def test_a_day_is_read(output, played):
    assert ways.read_day(output) == played


@pytest.mark.parametrize(
    ("way", "settings"),
    [
        ("gossip=false", {"gossip": False}),
        ("gossip=true", {"gossip": True}),
        ("sources=known", {"sources": "known"}),
        ("unknown_speed=fixed", {"unknown_speed": "fixed"}),
    ],
)
def test_a_choice_is_made_in_the_settings(way, settings):
    filled = json.loads(ways.template('{"instance": "a"}', way))
    assert filled == {"policy": settings, "instance": "a"}


def test_what_stands_changes_nothing():
    assert ways.template("{}", ways.STANDING) == "{}"


@pytest.mark.parametrize(
    ("way", "problem"),
    [
        ("magic=true", "'magic', allowed: near_homes"),
        ("gossip=perhaps", "'perhaps', allowed: true, false"),
        ("gossip", "'', allowed: true, false"),
        ("sources=best", "'best', allowed: known, likely"),
    ],
)
def test_a_choice_there_is_not_is_named_with_those_allowed(way, problem):
    with pytest.raises(ValueError, match=problem):
        ways.parse_way(way)


def test_every_choice_there_is_can_be_made():
    for name, kind in ways.typing.get_type_hints(policy.Policy).items():
        for value in ways._values(kind):
            assert ways.parse_way(f"{name}={value}")[0] == name


def _days(*worths):
    return {
        f"day-{n}": ways.Played(worth=worth, served=0.9)
        for n, worth in enumerate(worths)
    }


@pytest.mark.parametrize(
    ("base", "other", "mean", "holds_zero"),
    [
        ((0.7, 0.8, 0.6), (0.75, 0.86, 0.64), 0.05, False),
        ((0.7, 0.8, 0.6), (0.80, 0.70, 0.61), 0.0033, True),
        ((0.7,), (0.8,), 0.1, False),
        ((0.7, 0.8), (0.7, 0.8), 0.0, True),
    ],
)
def test_days_are_paired(base, other, mean, holds_zero):
    found = ways.compare(_days(*base), _days(*other))
    assert found.worth == pytest.approx(mean, abs=1e-3)
    assert found.low <= found.worth <= found.high
    assert (found.low <= 0 <= found.high) is holds_zero


def test_other_days_cannot_be_paired():
    with pytest.raises(ValueError, match="allowed"):
        ways.compare(_days(0.7, 0.8), _days(0.7))


def test_a_table_and_a_picture_show_them(tmp_path):
    broken = {"day-0": ways.Played(worth=0.1, served=0.2, broken="EVAC 3")}
    rows = {
        ("here", "gossip=false"): ways.compare(
            _days(0.7, 0.8), _days(0.6, 0.8)
        ),
        ("there", "gossip=false"): ways.compare(_days(0.7), broken),
    }
    text = ways.table(rows)
    assert "| here | gossip=false | 2 | -0.050 |" in text
    assert "day-0: EVAC 3" in text
    ways.picture(rows, tmp_path / "ways.png")
    assert (tmp_path / "ways.png").read_bytes().startswith(b"\x89PNG")
