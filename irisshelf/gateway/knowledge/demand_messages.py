"""Messages about demand, and their encoding.

Rates are half-precision floats, with an error of 0.05 percent: a message that
has 32 teams takes less than 300 bytes. It carries the teams with the largest
demand; that of the others is what is left of their priorities.
"""

from __future__ import annotations

import collections
import enum
import math
import struct
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Annotated

import msgspec

from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.overload import demand

# Teams listed by key in a message, of all services together.
MAX_TEAMS = 32
_MAX_NAME = 128
_MAX_SERVICES = 100
_MAX_PRIORITY = 255
# Half-precision floats go to 65,504; rates are divided by this.
_UNIT = 16.0
_MAX_RATE = 65504 * _UNIT
# A priority and its rates; a priority, a team key and its offered load.
_RATES = struct.Struct(">B5e")
_TEAM = struct.Struct(f">B{demand.TEAM_KEY_BYTES}se")
# Rounding leaves less than this share of a priority's load unassigned.
_ROUNDING_SHARE = 0.005
# Room for what surrounds the services in a datagram, besides its names, and for
# the encoding of a service besides its name and rates.
_FRAME_BYTES = 16
_SERVICE_BYTES = 8

_Name = Annotated[str, msgspec.Meta(max_length=_MAX_NAME)]


class Stage(enum.IntEnum):
    """What a message contains.

    Attributes:
        INSTANCE: The demand of one instance, for the leader of its data centre.
        DATA_CENTRE: The demand of a data centre, for another one's leader.
        FLEET: The demand of the fleet, from a leader to its data centre.
    """

    INSTANCE = 0
    DATA_CENTRE = 1
    FLEET = 2


class Message(msgspec.Struct, array_like=True):
    """A message as sent.

    Attributes:
        stage: What it contains.
        forwarded: Whether it has already been forwarded to the leader once.
        data_centre: Data centre of the sender.
        sender: Name of the instance that has computed the content.
        services: Encoded demand by the name of the service.
    """

    stage: Stage
    forwarded: bool
    data_centre: _Name
    sender: _Name
    services: Annotated[
        dict[_Name, bytes], msgspec.Meta(max_length=_MAX_SERVICES)
    ]

    def encode(self) -> bytes:
        """Returns the message as a datagram."""
        content = msgspec.to_builtins(self, builtin_types=(bytes,))
        return datagrams_module.encode(datagrams_module.Kind.DEMAND, content)


def encode_services(
    reported: demand.InstanceDemand, *, reserved_bytes: int
) -> tuple[dict[str, bytes], list[str]]:
    """Encodes demand for a datagram.

    Args:
        reported: The demand.
        reserved_bytes: Bytes of the names that are sent besides.

    Returns:
        The encoded services, and the names of those for which there was no
        room; the ones with the largest demand come first.
    """
    merged = {name: _merge(of) for name, of in reported.items()}
    listed = _largest_teams(merged)
    remaining = datagrams_module.MAX_DATAGRAM_BYTES - _FRAME_BYTES
    remaining -= reserved_bytes
    encoded: dict[str, bytes] = {}
    omitted = []
    for name in sorted(merged, key=lambda n: -merged[n].offered_slots):
        data = _encode_service(merged[name], listed.get(name, ()))
        size = len(data) + len(name.encode()) + _SERVICE_BYTES
        if size > remaining or len(name) > _MAX_NAME:
            omitted.append(name)
            continue
        remaining -= size
        encoded[name] = data
    return encoded, omitted


def decode_services(encoded: Mapping[str, bytes]) -> demand.InstanceDemand:
    """Decodes demand.

    Raises:
        ValueError: It is malformed, or a figure is out of range.
    """
    return {name: _decode_service(name, data) for name, data in encoded.items()}


def _merge(of_service: demand.ServiceDemand) -> demand.ServiceDemand:
    """Merges the priorities that a message cannot tell apart."""
    by_priority: dict[int, demand.GroupRates] = {}
    for priority, rates in of_service.by_priority.items():
        key = _clamp_priority(priority)
        by_priority[key] = by_priority.get(key, demand.GroupRates()) + rates
    by_team: dict[tuple[int, bytes], float] = collections.defaultdict(float)
    for (priority, team), offered in of_service.by_team.items():
        by_team[_clamp_priority(priority), team] += offered
    return demand.ServiceDemand(by_priority=by_priority, by_team=by_team)


def _clamp_priority(priority: int) -> int:
    return min(max(0, priority), _MAX_PRIORITY)


def _largest_teams(
    merged: demand.InstanceDemand,
) -> dict[str, list[tuple[int, bytes]]]:
    groups = [
        (offered, name, group)
        for name, of_service in merged.items()
        for group, offered in of_service.by_team.items()
        if len(group[1]) == demand.TEAM_KEY_BYTES and _scaled(offered)
    ]
    groups.sort(reverse=True)
    largest: dict[str, list[tuple[int, bytes]]] = {}
    for _, name, group in groups[:MAX_TEAMS]:
        largest.setdefault(name, []).append(group)
    return largest


def _encode_service(
    of_service: demand.ServiceDemand, teams: Iterable[tuple[int, bytes]]
) -> bytes:
    parts = [bytes([len(of_service.by_priority)])]
    for priority, rates in of_service.by_priority.items():
        figures = (
            rates.offered_slots,
            rates.admitted_slots,
            rates.rejected_per_s,
            rates.begun_per_s,
            rates.in_time_per_s,
        )
        parts.append(_RATES.pack(priority, *map(_scaled, figures)))
    for priority, team in teams:
        offered = _scaled(of_service.by_team[priority, team])
        parts.append(_TEAM.pack(priority, team, offered))
    return b"".join(parts)


def _decode_service(name: str, data: bytes) -> demand.ServiceDemand:
    count = data[0] if data else 0
    teams_at = 1 + count * _RATES.size
    if not data or (len(data) - teams_at) % _TEAM.size or teams_at > len(data):
        raise ValueError(
            f"demand for {name!r} has {len(data)} bytes, allowed: 1, plus"
            f" {_RATES.size} for each priority and {_TEAM.size} for each team"
        )
    by_priority = {}
    for priority, *figures in _RATES.iter_unpack(data[1:teams_at]):
        rates = [_checked(name, figure) for figure in figures]
        by_priority[priority] = demand.GroupRates(
            offered_slots=rates[0],
            admitted_slots=rates[1],
            rejected_per_s=rates[2],
            begun_per_s=rates[3],
            in_time_per_s=rates[4],
        )
    by_team = {}
    for priority, team, offered in _TEAM.iter_unpack(data[teams_at:]):
        by_team[priority, team] = _checked(name, offered)
    _add_other_teams(name, by_priority, by_team)
    return demand.ServiceDemand(by_priority=by_priority, by_team=by_team)


def _add_other_teams(
    name: str,
    by_priority: Mapping[int, demand.GroupRates],
    by_team: dict[tuple[int, bytes], float],
) -> None:
    """Adds what is left of the load of each priority for its other teams."""
    listed: dict[int, float] = collections.defaultdict(float)
    for (priority, _), offered in by_team.items():
        listed[priority] += offered
    unknown = listed.keys() - by_priority.keys()
    if unknown:
        raise ValueError(
            f"teams of {name!r} have the priorities {sorted(unknown)},"
            f" allowed: {sorted(by_priority)}"
        )
    for priority, rates in by_priority.items():
        rest = rates.offered_slots - listed[priority]
        if rest > _ROUNDING_SHARE * rates.offered_slots:
            by_team[priority, demand.OTHER_TEAMS] = rest


def _scaled(rate: float) -> float:
    """Returns a rate as half-precision floats can represent it, or 0."""
    return min(max(0.0, rate), _MAX_RATE) / _UNIT


def _checked(name: str, figure: float) -> float:
    if not math.isfinite(figure) or figure < 0:
        raise ValueError(
            f"a rate of {name!r} is {figure!r}, allowed: 0 to {_MAX_RATE:.0f}"
        )
    return figure * _UNIT
