"""Tests that decayed shares are right for any clock origin and pause."""

import pytest

from irisshelf.routing import popularity


@pytest.mark.parametrize("start_s", [0.0, 1e9])
@pytest.mark.parametrize("pause_s", [0.0, 60.0, 1e7])
def test_shares_are_independent_of_clock_origin_and_pauses(start_s, pause_s):
    loads = popularity.Popularity(half_life_s=1.0)
    loads.add("a", 3.0, start_s)
    loads.add("b", 1.0, start_s)
    assert loads.share("a") == pytest.approx(0.75)
    later_s = start_s + pause_s
    for key in "ab":
        loads.add(key, 100.0, later_s)
    decay = 0.5**pause_s
    expected = (100 + 3 * decay) / (200 + 4 * decay)
    assert loads.share("a") == pytest.approx(expected)


def test_weights_stay_finite_over_days():
    loads = popularity.Popularity(half_life_s=1.0)
    for second in range(5000):
        loads.add("ab"[second % 2], 1.0, 1e6 + second)
    assert loads.share("b") == pytest.approx(2 / 3, rel=1e-3)
