"""The stand-in server with slots: what it reports, and what it rejects."""

from __future__ import annotations

import gevent
import pytest

from irisshelf.platform.stand_in import slots


@pytest.mark.parametrize(
    ("requests", "load", "full"),
    [(0, "0,0,2", False), (2, "2,0,2", False), (5, "2,3,2", True)],
)
def test_requests_beyond_the_slots_wait(requests, load, full):
    """Guards against a stand-in that never is under load."""
    limit = slots.Slots(count=2, queue=3)
    working = [gevent.spawn(limit.work, 0.01) for _ in range(requests)]
    gevent.sleep(0)
    assert (limit.load(), limit.is_full) == (load, full)
    gevent.joinall(working)
    assert (limit.load(), limit.is_full) == ("0,0,2", False)
