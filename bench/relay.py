"""What the router adds to a stream: against the same engine without it.

The engine, the router and the caller are processes of their own. The engine
replays prepared events as fast as they are taken, or at a pace.
"""

from __future__ import annotations

import json
import pathlib
import sys
import tempfile
import time

import geventhttpclient

from irisshelf.testing.demo import fleets
from irisshelf.testing.demo import rig

_FLEET = fleets.small(instances=1, engines=(4,))
_CHUNKS = 400
_STREAMS = 40
_REQUESTS = 300
_WARM_UP = 20


def _ticks_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / 100


def _rss_mb(pid: int) -> float:
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * 4096 / 1e6


def _client(address: str) -> geventhttpclient.HTTPClient:
    host, _, port = address.rpartition(":")
    return geventhttpclient.HTTPClient(host, int(port), network_timeout=30)


def _body(tokens: int, number: int) -> bytes:
    return json.dumps(
        {
            "model": "lm",
            "messages": [{"role": "user", "content": f"q{number} x"}],
            "max_tokens": tokens,
            "stream": True,
        }
    ).encode()


def _ask(client, path: str, headers: dict, tokens: int, number: int) -> float:
    """Returns the seconds until the whole answer is there."""
    began = time.perf_counter()
    response = client.post(path, body=_body(tokens, number), headers=headers)
    data = bytes(response.read())
    if data.count(b"data: ") != tokens + 1:
        raise RuntimeError(f"answer has {data.count(b'data: ')} parts")
    return time.perf_counter() - began


def measure() -> dict[str, float]:
    """Returns the figures of the last line."""
    with tempfile.TemporaryDirectory() as temporary:
        made = rig.Rig(
            fleet=_FLEET, folder=pathlib.Path(temporary), token_s=0.0
        )
        try:
            made.start()
            return _measure(made)
        finally:
            made.stop()


def _measure(made: rig.Rig) -> dict[str, float]:
    instance = made.plan.instances[0]
    key = made.plan.team_keys["team-0"]
    routed = (
        _client(instance.address),
        "/v1/chat/completions",
        lambda i: {"Authorization": f"Bearer {key}"},
    )
    direct = (
        _client(made.plan.servers[0].address),
        "/engines/e0/v1/chat/completions",
        lambda i: {"X-Attempt-Id": f"direct-{i}"},
    )
    pid = made.processes.pid(instance.name)
    with_router, without = [], []
    used = _ticks_s(pid)
    for i in range(_REQUESTS + _WARM_UP):
        # In turn, so that both meet the same noise.
        without.append(_ask(direct[0], direct[1], direct[2](i), 1, i))
        with_router.append(_ask(routed[0], routed[1], routed[2](i), 1, i))
    per_request = (_ticks_s(pid) - used) / (_REQUESTS + _WARM_UP)
    used = _ticks_s(pid)
    for i in range(_STREAMS):
        _ask(routed[0], routed[1], routed[2](i), _CHUNKS, i)
    per_stream = (_ticks_s(pid) - used) / _STREAMS
    chunk = (per_stream - per_request) / _CHUNKS
    middle = _REQUESTS // 2
    direct_s = sorted(without[_WARM_UP:])[middle]
    added = sorted(with_router[_WARM_UP:])[middle] - direct_s
    return {
        "daemon_rss_mb": _rss_mb(pid),
        "relay_direct_ms_p50": direct_s * 1e3,
        "relay_overhead_us_per_chunk": chunk * 1e6,
        "relay_overhead_ms_p50": added * 1e3,
        "relay_requests_per_s_per_core": 1 / per_request,
    }


if __name__ == "__main__":
    print(json.dumps(measure()))
    sys.exit(0)
