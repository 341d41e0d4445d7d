"""Parts are not fetched from a data centre that has reported nothing lately.

Guards against requests that wait for a fetch from a data centre that is cut
off, and against parts that are read again as their holder gets few requests.
"""

import dataclasses
import random

import pytest

from irisshelf.catalog import directory
from irisshelf.routing.direct import prompt
from irisshelf.routing.direct import report_rate
from irisshelf.routing.direct import server_choice

_COUNT = 8
_REPORT_S = 0.25
_PROMPT = prompt.Prompt(
    parts=(
        prompt.Part(part_id="history", tokens=800),
        prompt.Part(part_id="own", tokens=50),
    ),
    max_answer_tokens=20,
)


def _servers():
    return [
        directory.BackendServer(
            server_id=str(number),
            service="lm",
            address=f"10.0.0.{number}:80",
            data_centre="a",
            slots=16,
            version="v1",
        )
        for number in range(_COUNT)
    ]


@pytest.mark.parametrize(
    ("per_s", "age_s", "silent"),
    [
        pytest.param(100.0, 0.6, False, id="often-recent"),
        pytest.param(100.0, 1.1, True, id="often-old"),
        pytest.param(4.0, 9.0, False, id="seldom"),
        pytest.param(0.0, 9.0, False, id="no-reports-at-all"),
    ],
)
def test_silence_is_measured_by_how_often_servers_report(per_s, age_s, silent):
    """Guards against servers with little traffic that are taken for dead."""
    rate = report_rate.ReportRate()
    for number in range(int(20 * per_s)):
        rate.record(number / per_s)
    assert rate.is_silent(age_s, 8, 20.0) is silent


@pytest.mark.parametrize(
    ("cut_s", "silent", "avoids", "fetched"),
    [
        pytest.param(0.0, "b", True, True, id="connected"),
        pytest.param(1.8, "b", True, False, id="cut-off"),
        pytest.param(1.8, "b", False, True, id="as-before"),
        pytest.param(8.0, "b7", True, True, id="one-server-alone"),
    ],
)
def test_a_data_centre_that_is_cut_off_is_no_source(
    cut_s, silent, avoids, fetched
):
    """Each server reports every second, one data centre every eighth of it."""
    chooser = server_choice.Chooser(data_centre="a", rng=random.Random(1))
    chooser.cached_parts.avoids_silent = lambda: avoids
    servers = [
        dataclasses.replace(
            server, server_id=f"{name}{server.server_id}", data_centre=name
        )
        for name in ("a", "b")
        for server in _servers()
    ]
    holder = servers[-1]
    chooser.record_sent(_PROMPT, holder.server_id, 9.0)
    now = 10.0
    for step in range(int(now * _COUNT) + 1):
        at_s = step / _COUNT
        for server in (servers[step % _COUNT], servers[_COUNT + step % _COUNT]):
            is_cut = server.server_id.startswith(silent)
            if not is_cut or at_s <= now - cut_s:
                chooser.stats.record_load_report(
                    server.server_id, work=1, at_s=at_s
                )
    chosen = chooser.choose(
        [s for s in servers if s.data_centre == "a"],
        _PROMPT,
        avoid=frozenset(),
        now=now,
        sources=servers,
    )
    assert (chosen.source is holder) is fetched


def test_another_holder_is_the_source_if_a_data_centre_is_cut_off():
    """Guards against parts that are read again next to a reachable holder.

    The server that has had the parts for longest is in data centre b, which has
    reported nothing lately; another one in data centre c has them too.
    """
    chooser = server_choice.Chooser(data_centre="a", rng=random.Random(1))
    chooser.cached_parts.avoids_silent = lambda: True
    by_name = {
        name: [
            dataclasses.replace(
                server, server_id=f"{name}{server.server_id}", data_centre=name
            )
            for server in _servers()
        ]
        for name in ("a", "b", "c")
    }
    chooser.record_sent(_PROMPT, "b7", 8.0)
    chooser.record_sent(_PROMPT, "c7", 8.5)
    now = 10.0
    for step in range(int(now * _COUNT) + 1):
        at_s = step / _COUNT
        for name, servers in by_name.items():
            if name != "b" or at_s <= now - 1.8:
                chooser.stats.record_load_report(
                    servers[step % _COUNT].server_id, work=1, at_s=at_s
                )
    chosen = chooser.choose(
        by_name["a"],
        _PROMPT,
        avoid=frozenset(),
        now=now,
        sources=[server for servers in by_name.values() for server in servers],
    )
    assert chosen.source.server_id == "c7"
