"""Costs of knowing which release began a stream, and how often it is known.

Bytes, datagrams and questions of an instance in a second, at several sizes of
the fleet, with one release and in a rollout; the share of the streams whose
origin is found after the instance that began them is gone, with datagrams lost
and a data centre cut off. Beside it the way without records: asking all others
when a stream is resumed.
"""

from __future__ import annotations

from irisshelf.catalog import releases
from irisshelf.coordination import stream_origins
from irisshelf.testing import origin_network

# Instances and data centres: today's small and larger sites, and the next size.
_FLEETS = ((6, 3), (68, 4), (195, 4), (400, 14))
_SECONDS = 6.0
# Resumable streams that begin at an instance in a second.
_RATE = 10
_TICK_S = 0.25
_LOSSES = (0.0, 0.1, 0.3)
_FOUND_OF = 200
# Bytes of a question and its answer with their headers, as on loopback.
_QUESTION_BYTES = 430


def measure() -> dict[str, float | None]:
    """Returns bytes and datagrams a second, and shares found."""
    figures: dict[str, float | None] = {}
    for count, data_centres in _FLEETS:
        names = _names(count, data_centres)
        for versions, label in ((("v1",), "calm"), (("v1", "v2"), "rollout")):
            sent, datagrams = _traffic(names, versions)
            figures[f"{label}_{count}_bytes_a_second"] = sent
            figures[f"{label}_{count}_datagrams_a_second"] = datagrams
        for loss in _LOSSES:
            found, _ = _found(names, loss=loss)
            figures[f"found_{count}_loss_{loss:.1f}"] = found
        found, asked = _found(names, records=False)
        figures[f"ask_all_{count}_found"] = found
        figures[f"ask_all_{count}_bytes_a_resumption"] = asked
        figures[f"found_{count}_data_centre_cut"] = _found(names, cut=True)[0]
    return figures


def _names(count: int, data_centres: int) -> list[tuple[str, str]]:
    return [(f"i-{n}", f"dc-{n % data_centres}") for n in range(count)]


def _traffic(
    names: list[tuple[str, str]], versions: tuple[str, ...]
) -> tuple[float, float]:
    """Returns what an instance sends in a second, in the mean of all."""
    network = origin_network.Network(names, versions=versions)
    release = releases.release_key(origin_network.server(0))
    steps = int(_SECONDS * _RATE)
    next_flush_s = 0.0
    for step in range(steps):
        network.now = step / _RATE
        if step % (2 * _RATE) == 0:
            network.keep_known()
        for name, one in network.instances.items():
            key = stream_origins.stream_key(name, str(step))
            one.exchange.record(key, [origin_network.SERVICE], release)
        if network.now >= next_flush_s:
            network.flush()
            next_flush_s += _TICK_S
    per_instance = len(names) * _SECONDS
    return (
        round(sum(network.sent.values()) / per_instance, 1),
        round(network.datagrams / per_instance, 2),
    )


def _found(
    names: list[tuple[str, str]],
    *,
    loss: float = 0.0,
    cut: bool = False,
    records: bool = True,
) -> tuple[float, float]:
    """Returns the share of origins found, and the bytes of asking all."""
    versions = ("v1", "v2") if records else ("v1",)
    network = origin_network.Network(names, loss=loss, versions=versions)
    release = releases.release_key(origin_network.server(0))
    first, data_centre = names[0]
    keys = []
    for number in range(_FOUND_OF):
        network.now = number / _RATE
        if number % (2 * _RATE) == 0:
            network.keep_known()
        key = stream_origins.stream_key("blue", str(number))
        keys.append(key)
        exchange = network.instances[first].exchange
        exchange.record(key, [origin_network.SERVICE], release)
        network.flush()
    network.cut = {first}
    if cut:
        network.cut = {name for name, dc in names if dc == data_centre}
    alive = [n for n, _ in names if n not in network.cut]
    found = sum(
        network.instances[alive[number % len(alive)]].knows(key)
        for number, key in enumerate(keys)
    )
    return round(found / len(keys), 3), (len(names) - 1) * _QUESTION_BYTES
