"""Decodes what operators and servers write into the platform's store."""

from __future__ import annotations

import functools
import re
from typing import Annotated
from typing import Any
from typing import TypeVar

import msgspec

from irisshelf.catalog import directory
from irisshelf.catalog import evacuations
from irisshelf.catalog import model

_MS = 1000.0
_STATES = {
    "ready": directory.ServerState.READY,
    "draining": directory.ServerState.LEAVING,
}
# A server's id goes into headers; the store takes keys of 200 bytes.
_ID = re.compile(r"[!-~]{1,200}")
# As IPv4 numbers are written; ``ipaddress`` takes ten times as long.
_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_ADDRESS = re.compile(rf"(?:{_OCTET}\.){{3}}{_OCTET}:([1-9][0-9]{{0,4}})")
_HIGHEST_PORT = 65535
# Far above any engine's; a larger one is somebody's mistake.
_MOST_SLOTS = 1_000_000
# The year 5138: a clock that jumped is still before it.
_LATEST_MS = 10**14
# A day; a server that is cold for longer is a mistake.
_LONGEST_COLD_MS = 86_400_000
_HIGHEST_SEQUENCE = 2**53
# Of a server's software.
_VERSION = re.compile(r"[!-~]{1,64}")
# Two configurations of some thousand routes.
_MAX_KEPT_ROUTES = 8192
# What an error shows of a value: enough to find it in the store.
_SHOWN = 60
_Document = TypeVar("_Document")


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="camel"):
    host: str
    path_prefix: str
    kind: model.RouteKind
    timeout_ms: float
    # The objective for the whole answer, or for a stream's first event.
    target_latency_ms: float = 0.0
    name: str = ""
    priority: int = 5
    service: str | None = None
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0
    # None and an empty list say the same: any region.
    allowed_regions: list[str] | None = None


class _Engine(msgspec.Struct):
    slots: int = 0


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_connections: int = 0
    cold_start_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    cold_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    engine: _Engine | None = None


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    # None and an empty list say the same: no key of the tenant is valid.
    api_keys: list[str] | None = None
    priority: int | None = None
    allowed_regions: list[str] | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Config(msgspec.Struct):
    version: int
    # Decoded one by one, see ``_route``.
    routes: list[msgspec.Raw]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # None if the operators use no tenants; an empty list has lost its last one.
    tenants: list[_Tenant] | None = None


class _CheckedConfig(_Config):
    """Decoded in one step, which tells where in the document an error is."""

    routes: list[_Route]


class _Server(msgspec.Struct):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    # "ready", or "draining" ahead of a planned end.
    state: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MOST_SLOTS)]
    # Counts the entries of this life. An unusable one does not make the entry
    # unusable, so its type is checked later.
    sequence: Any = None
    # Of its software. An unusable one does not make the entry unusable either.
    version: Any = None
    # The start of this life, in Unix milliseconds.
    born: Annotated[int, msgspec.Meta(ge=0, le=_LATEST_MS)] | None = None
    # How much longer it is cold, as of when the entry was written.
    cold_ms: Annotated[float, msgspec.Meta(ge=0, le=_LONGEST_COLD_MS)] = (
        msgspec.field(name="coldRemainingMs", default=0.0)
    )


class _Evacuation(msgspec.Struct):
    """Has no fields: that the row is there says it."""


_CONFIG = msgspec.json.Decoder(_Config)
_CHECKED_CONFIG = msgspec.json.Decoder(_CheckedConfig)
_ROUTE = msgspec.json.Decoder(_Route)
_SERVER = msgspec.json.Decoder(_Server)
_EVACUATION = msgspec.json.Decoder(_Evacuation)


def catalog(data: bytes) -> model.Catalog:
    """Decodes a configuration.

    Raises:
        ValueError: The document is not sound; the text names the field.
    """
    doc = _decode(data, _CONFIG)
    try:
        routes = tuple(_route(bytes(route)) for route in doc.routes)
    except msgspec.ValidationError:
        # Names the route in its error.
        _decode(data, _CHECKED_CONFIG)
        raise
    teams = None
    keys: dict[str, model.Team] = {}
    if doc.tenants is not None:
        teams = tuple(map(_team, doc.tenants))
        for tenant, team in zip(doc.tenants, teams, strict=True):
            keys.update(dict.fromkeys(tenant.api_keys or (), team))
    return model.Catalog(
        version=doc.version,
        routes=routes,
        services={
            item.name: model.Service(
                name=item.name,
                max_connections=item.max_connections,
                engine_slots=item.engine.slots if item.engine else 0,
                cold_start_s=item.cold_start_s,
                cold_per_s=item.cold_per_s,
            )
            for item in doc.services
        },
        teams=teams,
        keys=keys,
        limits=model.CallerLimits(
            head_bytes=doc.limits.max_header_bytes,
            body_bytes=doc.limits.max_body_bytes,
            head_s=doc.limits.header_timeout_ms / _MS,
            idle_s=doc.limits.idle_timeout_ms / _MS,
        ),
    )


def evacuation(data_centre: str, data: bytes) -> evacuations.Evacuation:
    """Decodes the row by which operators evacuate a data centre.

    Raises:
        ValueError: It is no such row.
    """
    if not data_centre:
        raise _not_allowed("key", data_centre, "a data centre's name")
    _decode(data, _EVACUATION)
    return evacuations.Evacuation(data_centre=data_centre, in_force=True)


def server(entry_id: str, data: bytes) -> directory.BackendServer:
    """Decodes a backend server's entry, which any writer may have made.

    Raises:
        ValueError: It names no server to use; the text says which field, its
            value, and what is allowed.
    """
    if not _ID.fullmatch(entry_id):
        raise _not_allowed("key", entry_id, "1 to 200 visible ASCII letters")
    doc = _decode(data, _SERVER)
    state = _STATES.get(doc.state)
    if state is None:
        raise _not_allowed("state", doc.state, ", ".join(_STATES))
    if not _is_address(doc.address):
        raise _not_allowed("address", doc.address, "IP number:port")
    return directory.BackendServer(
        server_id=directory.incarnation_id(entry_id, doc.born),
        entry_id=entry_id,
        born_ms=doc.born,
        service=doc.service,
        address=doc.address,
        data_centre=doc.zone,
        slots=doc.slots,
        state=state,
        cold_s=doc.cold_ms / _MS,
        sequence=_sequence(doc.sequence),
        version=_version(doc.version),
    )


def _version(value: Any) -> str | None:
    """Returns a version; empty if there is none, None if it is unusable."""
    if value is None:
        return ""
    if isinstance(value, str) and _VERSION.fullmatch(value):
        return value
    return None


def _sequence(value: Any) -> int | None:
    """Returns an entry's number in its life; None if it is no number."""
    if type(value) is int and 0 <= value <= _HIGHEST_SEQUENCE:
        return value
    return None


def _decode(data: bytes, decoder: msgspec.json.Decoder[_Document]) -> _Document:
    try:
        return decoder.decode(data)
    except RecursionError as exc:
        raise ValueError("nested too deep, allowed: 1,000 levels") from exc


def _is_address(text: str) -> bool:
    found = _ADDRESS.fullmatch(text)
    return found is not None and int(found[1]) <= _HIGHEST_PORT


def _not_allowed(field: str, value: str, allowed: str) -> ValueError:
    shown = repr(value[:_SHOWN])
    return ValueError(f"{field} is {shown}, allowed: {allowed}")


@functools.lru_cache(maxsize=_MAX_KEPT_ROUTES)
def _route(data: bytes) -> model.Route:
    """Decodes a route.

    Nearly all routes of a configuration are those of the one before it, and
    instances have a fraction of a processor: decoding all of 1,200 routes anew
    takes ten times as long.
    """
    doc = _decode(data, _ROUTE)
    split = [
        model.Split(service=item.service, weight=item.weight)
        for item in doc.traffic_split
        if item.weight > 0
    ]
    if doc.service is not None and not split:
        split = [model.Split(service=doc.service, weight=1.0)]
    return model.Route(
        name=doc.name or f"{doc.host}{doc.path_prefix}",
        host=doc.host.lower(),
        path_prefix=doc.path_prefix,
        kind=doc.kind,
        timeout_s=doc.timeout_ms / _MS,
        latency_target_s=doc.target_latency_ms / _MS,
        event_gap_target_s=doc.gap_target_ms / _MS,
        priority=doc.priority,
        split=tuple(split),
        max_attempts=doc.max_attempts,
        public=doc.public,
        resumable=doc.resumable,
        regions=frozenset(doc.allowed_regions or ()),
    )


def _team(tenant: _Tenant) -> model.Team:
    return model.Team(
        name=tenant.name,
        priority=tenant.priority,
        regions=frozenset(tenant.allowed_regions or ()),
    )
