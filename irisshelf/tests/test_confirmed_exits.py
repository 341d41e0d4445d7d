"""Which instances confirm that a server has exited.

Regression: instances forgot under which requests a server had crashed, as its
exit was not confirmed although several of them were refused.
"""

import random

import gevent
import pytest

from irisshelf.catalog import directory
from irisshelf.gateway.servers import process_exits


def _exits(servers, reachable, seed):
    """Returns exits of an instance that reaches some of the servers."""
    return process_exits.ProcessExits(
        listed=lambda: servers,
        probe=lambda server: server in reachable,
        check=lambda server: gevent.spawn(lambda: None),
        on_exit=lambda server: None,
        rng=random.Random(seed),
        now=lambda: 1.0,
    )


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(
    ("reached", "expected"), [(0, False), (1, True), (4, True)]
)
def test_servers_that_are_down_do_not_hide_the_own_link(
    reached, expected, seed
):
    """Guards against exits that count for nothing while others are down."""
    servers = [
        directory.BackendServer(
            server_id=f"lm-{number}",
            service="lm",
            address="127.0.0.1:1",
            data_centre="a",
            slots=4,
        )
        for number in range(8)
    ]
    reachable = servers[:reached]
    exits = _exits(servers, reachable, seed)
    for server in servers:
        if server not in reachable:
            exits.record_refused(server)
    assert exits.reaches_others(servers[-1]) is expected
