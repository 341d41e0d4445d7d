"""Load reports of servers: their forms, and what is logged about them."""

import random

import pytest

from irisshelf.catalog import directory
from irisshelf.coordination import facts
from irisshelf.gateway import messages
from irisshelf.gateway import metrics
from irisshelf.gateway.servers import server_reports
from irisshelf.platform import http_dialect
from irisshelf.routing.direct import availability


def _loaded(running, waiting, slots, slowdown=None):
    return messages.Load(
        running=running,
        waiting=waiting,
        slots=slots,
        slowdown=1.0 if slowdown is None else slowdown,
        reports_slowdown=slowdown is not None,
    )


@pytest.mark.parametrize("status", [200, 421, 429, 500, 503])
@pytest.mark.parametrize(
    ("texts", "load", "valid"),
    [
        ([], None, True),
        (["1,2,8"], _loaded(1, 2, 8), True),
        ([" 1 , 2,8 "], _loaded(1, 2, 8), True),
        (["1,2,8,100"], _loaded(1, 2, 8, 1.0), True),
        ([" 1 ,2 , 8 , 250 "], _loaded(1, 2, 8, 2.5), True),
        (["1,2,8,80"], _loaded(1, 2, 8, 0.8), True),
        (["1,2,8,250,7"], _loaded(1, 2, 8, 2.5), True),
        (["1,2,8,250,x;y,"], _loaded(1, 2, 8, 2.5), True),
        (["1,2,8,250" + ",9" * 5000], _loaded(1, 2, 8, 2.5), True),
        (["1,2,8,999999999"], _loaded(1, 2, 8, 100.0), True),
        (["1,2,8,0"], _loaded(1, 2, 8), False),
        (["1,2,8,9"], _loaded(1, 2, 8), False),
        (["1,2,8,"], _loaded(1, 2, 8), False),
        (["1,2,8,-250"], _loaded(1, 2, 8), False),
        (["1,2,8,2.5"], _loaded(1, 2, 8), False),
        (["1,2,8,\xb2"], _loaded(1, 2, 8), False),
        (["1,2,x,250"], _loaded(1, 2, None, 2.5), False),
        (["1,2"], _loaded(1, 2, None), False),
        (["1,2;8"], None, False),
        (["1"], None, False),
        ([""], None, False),
        (["x,2,8,250"], None, False),
        (["1,,8,250"], None, False),
        # A joined list would have the second 20 as the slowdown of 0.2.
        (["20,0,8", "20,0,8"], _loaded(20, 0, 8), False),
        (["1,2,8,250", "9,9,9,900"], _loaded(1, 2, 8, 2.5), False),
    ],
)
def test_load_in_a_response_head(status, texts, load, valid):
    """Guards against reports in other forms that are discarded as a whole."""
    raw = tuple((b"Server-Load", text.encode("latin-1")) for text in texts)
    report = http_dialect.HttpDialect().parse_answer(status, raw).report
    assert report.load == load
    assert report.unreadable == (() if valid else ("Server-Load",))


class _Log:
    """Keeps the fields of lines about requests."""

    def __init__(self, lines):
        self._lines = lines

    def request(self, name, request, **fields):
        self._lines.append(fields)


def _unreadable_reports(servers, headers, times_s):
    """Returns the lines logged for reports with unreadable headers."""
    now = [0.0]
    lines = []
    handler = server_reports.ReportHandler(
        availability=availability.Availability(rng=random.Random(1)),
        on_load=lambda server, load: None,
        on_backoff=lambda server: None,
        publish=lambda fact: None,
        log=_Log(lines),
        counts=metrics.Metrics(),
        now=lambda: now[0],
    )
    for at_s in times_s:
        now[0] = at_s
        for name in servers:
            server = directory.BackendServer(
                server_id=name,
                service="s",
                address=name,
                data_centre="a",
                slots=4,
            )
            report = messages.ServerReport(unreadable=headers)
            handler.handle(server, report, "r1")
    return [(line["server"], line["header"]) for line in lines]


@pytest.mark.parametrize(
    ("times_s", "times_logged"),
    [([0.0, 1.0, 9.9], 1), ([0.0, 9.9, 10.0, 10.1], 2), ([0.0, 30.0], 2)],
)
def test_an_unreadable_header_is_logged_once_in_a_while(times_s, times_logged):
    """Guards against a log line for every response of a server."""
    lines = _unreadable_reports("ab", ("Server-Load",), times_s)
    assert sorted(lines) == sorted(
        [("a", "Server-Load"), ("b", "Server-Load")] * times_logged
    )


@pytest.mark.parametrize(
    ("percent", "refuses", "slowdown", "reported"),
    [
        (None, False, 1.0, False),
        (100, False, 1.0, True),
        (250, False, 2.5, True),
        (250, True, 2.5, True),
    ],
)
def test_slowdowns_in_responses_are_used_and_published(
    world, percent, refuses, slowdown, reported
):
    """Guards against reports that are read but have no effect."""
    published = []
    servers = world.inst.servers
    servers.publish = published.append
    for engine in world.engines:
        engine.slowdown_percent = percent
        engine.refuses = refuses
    assert not servers.reports_slowdown("lm")
    status = world.ask("/query/1").status
    assert status == (503 if refuses else 200)
    assert servers.reports_slowdown("lm") is reported
    assert not servers.reports_slowdown("unknown")
    loads = [one for one in published if isinstance(one, facts.ServerLoad)]
    assert bool(loads) is (reported or not refuses)
    expected = slowdown if reported else None
    assert {load.slowdown for load in loads} <= {expected}
    assert max(
        servers.chooser("lm").stats.slowdown(engine.server_id, world.inst.now())
        for engine in world.engines
    ) == pytest.approx(slowdown, abs=0.4)


@pytest.mark.parametrize("slowdown", [None, 2.5])
def test_slowdowns_from_other_instances_are_used(world, slowdown):
    servers = world.inst.servers
    name = world.engines[0].server_id
    now = world.inst.now()
    fact = facts.ServerLoad(
        server=directory.short_id(name), work=3, at_s=now, slowdown=slowdown
    )
    servers.apply_fact(fact)
    assert servers.chooser("lm").stats.slowdown(name, now) == (slowdown or 1.0)
    assert servers.reports_slowdown("lm") is (slowdown is not None)
