"""Decodes what operators and servers write into the platform's store."""

from __future__ import annotations

import msgspec

from irisshelf.catalog import directory
from irisshelf.catalog import model

_MS = 1000.0
_DRAINING = "draining"


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


class _Engine(msgspec.Struct):
    slots: int = 0


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_connections: int = 0
    engine: _Engine | None = None


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    # "ready", or "draining" ahead of a planned end.
    state: str = "ready"
    slots: int = 1


def catalog(data: bytes) -> model.Catalog:
    """Decodes a configuration.

    Raises:
        ValueError: The document is not sound; the text names the field.
    """
    doc = msgspec.json.decode(data, type=_Config)
    return model.Catalog(
        version=doc.version,
        routes=tuple(_route(route) for route in doc.routes),
        services={
            item.name: model.Service(
                name=item.name,
                max_connections=item.max_connections,
                engine_slots=item.engine.slots if item.engine else 0,
            )
            for item in doc.services
        },
        teams=_teams(doc.tenants),
        limits=model.CallerLimits(
            head_bytes=doc.limits.max_header_bytes,
            body_bytes=doc.limits.max_body_bytes,
            head_s=doc.limits.header_timeout_ms / _MS,
            idle_s=doc.limits.idle_timeout_ms / _MS,
        ),
    )


def server(server_id: str, data: bytes) -> directory.BackendServer:
    """Decodes a backend server's entry.

    Raises:
        ValueError: The document is not sound; the text names the field.
    """
    doc = msgspec.json.decode(data, type=_Server)
    leaving = doc.state == _DRAINING
    return directory.BackendServer(
        server_id=server_id,
        service=doc.service,
        address=doc.address,
        data_centre=doc.zone,
        slots=doc.slots,
        state=(
            directory.ServerState.LEAVING
            if leaving
            else directory.ServerState.READY
        ),
    )


def _route(doc: _Route) -> model.Route:
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
        target_s=doc.target_latency_ms / _MS,
        target_gap_s=doc.gap_target_ms / _MS,
        priority=doc.priority,
        split=tuple(split),
        max_attempts=doc.max_attempts,
        public=doc.public,
        resumable=doc.resumable,
    )


def _teams(tenants: list[_Tenant]) -> dict[str, model.Team]:
    found = {}
    for tenant in tenants:
        team = model.Team(name=tenant.name, priority=tenant.priority)
        found.update(dict.fromkeys(tenant.api_keys, team))
    return found
