"""Settings of an entry instance: a JSON file, checked by a schema."""

from __future__ import annotations

import dataclasses
import ipaddress
import pathlib
from typing import Annotated

import msgspec
import result

from irisshelf.routing.direct import policy

_Positive = Annotated[float, msgspec.Meta(gt=0)]
_NotNegative = Annotated[float, msgspec.Meta(ge=0)]
_Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
_Count = Annotated[int, msgspec.Meta(ge=0)]
_PORTS = 65536


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listen:
    """Addresses that an instance listens on.

    Attributes:
        front: For callers.
        ready: For the balancer's question.
        metrics: For metrics.
        peers: For other instances.
    """

    front: str
    ready: str
    metrics: str
    peers: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """What the operators' rules allow, in milliseconds unless named.

    Attributes:
        catalog_in_force_ms: From the store's acceptance of a configuration
            until it is in force.
        key_withdrawn_ms: From the acceptance of a key's withdrawal until no
            request may run under it.
        keys_strict: Whether that binds an instance that has lost the store
            too: it then refuses requests with keys rather than run one under
            a key that may have been withdrawn.
        keys_unconfirmed_s: Where it does not, how long keys hold without the
            store's answers. Outages of the store last seconds; five minutes
            outlast them, and still end what a withdrawn key can do at an
            instance that is cut off for good.
        server_leaving_ms: From the acceptance of a server's leaving until no
            request may reach it.
        evacuated_ms: From the acceptance of a data centre's evacuation until
            no request may reach its servers; None where there are none.
        stop_s: From the signal to stop until the process is killed.
        cold_overage: What a cold server may get in any second, of all
            instances, as a multiple of what it bears.
        cold_slack: Requests beside those.
        retry_share: Retries a service may get for each request.
        retry_slack: Retries beside those, of all instances, in a window.
        retry_window_s: Window that retries are counted in.
    """

    catalog_in_force_ms: _Positive = 2000.0
    key_withdrawn_ms: _Positive = 5000.0
    keys_strict: bool = True
    keys_unconfirmed_s: _Positive = 300.0
    server_leaving_ms: _Positive = 2000.0
    evacuated_ms: _Positive | None = None
    stop_s: _Positive = 8.0
    cold_overage: _Positive | None = None
    cold_slack: _NotNegative | None = None
    retry_share: _Share = 0.2
    retry_slack: _Positive = 50.0
    retry_window_s: _Positive = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """All settings.

    Attributes:
        instance: This instance's name.
        data_centre: Where it stands.
        data_centres: Names of all data centres.
        regions: The region of each data centre; one that is not named here is
            in none.
        listen: Addresses to listen on.
        store: The shared store's address.
        seeds: Addresses of other instances, some of which may be there; without
            any, the instance is the only one until it hears of another.
        bounds: What the operators' rules allow.
        log_lines_per_s: Most log lines about requests in a second.
        max_requests: Most requests in flight; more are refused.
        link_mbps: What the instance's link bears, in Mbit/s; 0 if not known.
        descriptors: Files and sockets that the process may open.
        policy: Mechanisms that are switched on.
    """

    instance: str
    data_centre: str
    listen: Listen
    store: str
    data_centres: tuple[str, ...] = ()
    regions: dict[str, str] = dataclasses.field(default_factory=dict)
    seeds: tuple[str, ...] = ()
    bounds: Bounds = Bounds()
    log_lines_per_s: _Positive = 200.0
    max_requests: _Count = 1000
    descriptors: _Count = 4096
    link_mbps: _NotNegative = 0.0
    policy: policy.Policy = policy.DEFAULT


def load(path: pathlib.Path) -> result.Result[Settings, str]:
    """Reads and checks a settings file.

    Returns:
        The settings, or a text that names field, value and what is allowed.
    """
    try:
        data = path.read_bytes()
    except OSError as exc:
        return result.Err(f"cannot read settings {str(path)!r}: {exc}")
    return decode(data)


def decode(data: bytes) -> result.Result[Settings, str]:
    """Checks settings; see ``load``."""
    try:
        document = msgspec.json.decode(data)
    except msgspec.DecodeError as exc:
        return result.Err(f"settings are no JSON: {exc}")
    try:
        cfg = msgspec.convert(document, Settings)
    except msgspec.ValidationError as exc:
        return result.Err(_explain(document, str(exc)))
    for name, address in _addresses(cfg):
        problem = _check_address(address)
        if problem:
            return result.Err(
                f"field {name!r} is {address!r}, allowed: {problem}"
            )
    return result.Ok(cfg)


def _explain(document: object, text: str) -> str:
    """Adds the value found to msgspec's text, which names field and rule."""
    allowed, _, path = text.partition(" - at `$")
    value = document
    for name in path.rstrip("`").strip(".").split("."):
        if isinstance(value, dict) and name in value:
            value = value[name]
    field = path.rstrip("`").strip(".") or "(whole file)"
    shown = repr(value) if not isinstance(value, dict) else "an object"
    return f"field {field!r} is {shown}: {allowed}"


def _addresses(cfg: Settings) -> list[tuple[str, str]]:
    return [
        ("listen.front", cfg.listen.front),
        ("listen.ready", cfg.listen.ready),
        ("listen.metrics", cfg.listen.metrics),
        ("listen.peers", cfg.listen.peers),
        ("store", cfg.store),
        *(("seeds", seed) for seed in cfg.seeds),
    ]


def _check_address(address: str) -> str:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return "an IP number, a colon and a port"
    # To Python a superscript is a digit, and thousands of digits no number.
    short = len(port) <= len(str(_PORTS))
    decimal = short and port.isascii() and port.isdigit()
    if not decimal or not 0 <= int(port) < _PORTS:
        return f"a port from 0 to {_PORTS - 1}"
    return ""
