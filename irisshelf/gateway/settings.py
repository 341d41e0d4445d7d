"""Settings of an entry instance: a JSON file, validated by a schema."""

from __future__ import annotations

import dataclasses
import enum
import ipaddress
import pathlib
from collections.abc import Callable
from typing import Annotated

import msgspec
import result

from irisshelf.routing.direct import policy

_Positive = Annotated[float, msgspec.Meta(gt=0)]
_NotNegative = Annotated[float, msgspec.Meta(ge=0)]
_Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
_Count = Annotated[int, msgspec.Meta(ge=0)]
# Weights of teams, and memory in MB. Larger figures are mistakes: the sum of
# the weights, or the figure in bytes, could leave the range of floats, so that
# shares would be wrong or each response would fail.
_Weight = Annotated[float, msgspec.Meta(gt=0, le=1e6)]
_Megabytes = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
_PositiveMegabytes = Annotated[float, msgspec.Meta(gt=0, le=1e6)]
_Bytes = Annotated[int, msgspec.Meta(ge=1024, le=2**40)]
_PORT_COUNT = 65536


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listen:
    """Addresses that an instance listens on.

    Attributes:
        front: For callers.
        ready: For the readiness checks of the load balancer.
        metrics: For the metrics endpoint.
        peers: For other instances.
    """

    front: str
    ready: str
    metrics: str
    peers: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """Limits required by the operators; names end in the unit.

    Attributes:
        catalog_in_force_ms: Time from the store's acceptance of a configuration
            until it must be in force.
        key_withdrawn_ms: Time from the acceptance of a key's withdrawal until
            no request may run with this key.
        keys_strict: Whether ``key_withdrawn_ms`` also applies to an instance
            that cannot reach the store. Such an instance then refuses requests
            with keys, since their keys may have been withdrawn.
        keys_unconfirmed_s: If ``keys_strict`` is off, how long keys stay valid
            without a response of the store. Store outages last seconds, so
            that the default of five minutes outlasts them. It still limits how
            long a withdrawn key works on an instance that has permanently lost
            the store.
        server_leaving_ms: Time from the acceptance of a server's leaving until
            no request may reach it.
        evacuated_ms: Time from the acceptance of a data centre's evacuation
            until no request may reach its servers; None if evacuations are not
            used.
        stop_s: Time from the stop signal until the process is killed.
        cold_overage: Requests that all instances together may send to a cold
            server in any second, as a multiple of its capacity.
        cold_slack: Additional requests for a cold server.
        retry_share: Retries of a service allowed per request.
        retry_slack: Additional retries in a window, of all instances together.
        retry_window_s: Length of the window for counting retries.
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


class FleetAdmission(enum.StrEnum):
    """Where requests are admitted by the demand and capacity of the fleet.

    Attributes:
        OFF: Nowhere; each instance decides by what it observes itself.
        REPORTED: For services whose servers report their slowdown, that is,
            whose capacity changes within fractions of a second.
        ON: For all services.
    """

    OFF = "off"
    REPORTED = "reported"
    ON = "on"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Overload:
    """Behaviour while callers ask for more than the servers can process.

    Attributes:
        fleet_admission: For which services requests are admitted by the demand
            and the capacity of the whole fleet.
        team_weights: Weight of a team when capacity is shared among teams; 1
            for teams that are not listed.
        response_buffer_mb: Memory for responses that callers have not read yet,
            of all callers together; more than the largest response. With 0 a
            response is read from its server only as fast as its caller reads
            it.
        slow_caller_s: A caller that has read nothing of its response for this
            time is disconnected.
        start_wait_s: For how long a request that arrives before an instance
            has started up waits, rather than being rejected at once. Callers
            that are rejected while all instances restart have no other one to
            turn to.
    """

    fleet_admission: FleetAdmission = FleetAdmission.REPORTED
    team_weights: dict[str, _Weight] = dataclasses.field(default_factory=dict)
    response_buffer_mb: _Megabytes = 0.0
    slow_caller_s: _Positive = 10.0
    start_wait_s: _NotNegative = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadLimits:
    """Limits on what is read until it ends, and on the memory that it takes.

    A server whose response exceeds a limit counts as broken, so that the limits
    lie well above what servers send.

    Attributes:
        response_head_bytes: Maximum size of a response's head, with the interim
            responses before it; also of its trailers.
        response_body_bytes: Maximum size of a response that is relayed once it
            is complete. Streams have no such limit.
        event_bytes: Maximum size of one event of a stream.
        responses_mb: Memory for the responses of servers, or the parts of them,
            that are kept until they are complete, of all requests together.
        requests_mb: Memory for the bodies of callers' requests, of all requests
            together.
    """

    response_head_bytes: _Bytes = 65_536
    response_body_bytes: _Bytes = 16_777_216
    event_bytes: _Bytes = 1_048_576
    responses_mb: _PositiveMegabytes = 128.0
    requests_mb: _PositiveMegabytes = 128.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """All settings.

    Attributes:
        instance: Name of this instance.
        data_centre: Data centre of this instance.
        data_centres: Names of all data centres.
        regions: Region of each data centre; data centres that are not listed
            belong to no region.
        listen: Addresses to listen on.
        store: Address of the shared store.
        seeds: Addresses of other instances, for discovery; not all of them need
            to be running. Without seeds, the instance assumes that it is the
            only one until another instance contacts it.
        bounds: Limits required by the operators.
        overload: Behaviour under overload.
        read_limits: Limits on what is read from servers and callers.
        keys_required: Whether callers have keys. A configuration whose list of
            teams is empty then opens no route that is not public, and a key
            that no team has is rejected under any configuration.
        log_lines_per_s: Maximum rate of log lines about requests.
        max_requests: Maximum number of requests in flight; further requests are
            refused.
        link_mbps: Bandwidth of the instance's network link in Mbit/s; 0 if it
            is not known.
        descriptors: Maximum number of open file descriptors of the process.
        policy: Enabled mechanisms.
    """

    instance: str
    data_centre: str
    listen: Listen
    store: str
    data_centres: tuple[str, ...] = ()
    regions: dict[str, str] = dataclasses.field(default_factory=dict)
    seeds: tuple[str, ...] = ()
    bounds: Bounds = Bounds()
    overload: Overload = Overload()
    read_limits: ReadLimits = ReadLimits()
    keys_required: bool = True
    log_lines_per_s: _Positive = 200.0
    max_requests: _Count = 1000
    descriptors: _Count = 4096
    link_mbps: _NotNegative = 0.0
    policy: policy.Policy = policy.DEFAULT


def load(
    path: pathlib.Path,
    decode_data: Callable[[bytes], result.Result[Settings, str]] | None = None,
) -> result.Result[Settings, str]:
    """Reads and validates a settings file.

    Args:
        path: The file.
        decode_data: Validates its content; ``decode`` by default.

    Returns:
        The settings, or a message with the field, its value and the allowed
        values.
    """
    try:
        data = path.read_bytes()
    except OSError as exc:
        return result.Err(f"cannot read settings file {str(path)!r}: {exc}")
    return (decode_data or decode)(data)


def decode(data: bytes) -> result.Result[Settings, str]:
    """Validates settings; see ``load``."""
    try:
        document = msgspec.json.decode(data)
    except msgspec.DecodeError as exc:
        return result.Err(f"settings are not valid JSON: {exc}")
    try:
        cfg = msgspec.convert(document, Settings)
    except msgspec.ValidationError as exc:
        return result.Err(_describe_error(document, str(exc)))
    for name, address in _addresses(cfg):
        problem = _check_address(address)
        if problem:
            return result.Err(
                f"field {name!r} is {address!r}, allowed: {problem}"
            )
    return result.Ok(cfg)


def _describe_error(document: object, text: str) -> str:
    """Adds the invalid value to msgspec's message about field and rule."""
    allowed, _, path = text.partition(" - at `$")
    value = document
    # An entry of an object or array is named as ``field[...]``.
    path = path.rstrip("`").strip(".")
    for name in path.replace("[...]", "").split("."):
        if isinstance(value, dict) and name in value:
            value = value[name]
    field = path or "(whole file)"
    is_object = isinstance(value, dict) and not path.endswith("[...]")
    shown = "an object" if is_object else repr(value)
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
        return "an IP address, a colon and a port"
    # ``str.isdigit`` accepts superscripts, and ``int`` rejects strings of
    # thousands of digits, so that characters and length are checked first.
    is_short = len(port) <= len(str(_PORT_COUNT))
    is_decimal = is_short and port.isascii() and port.isdigit()
    if not is_decimal or not 0 <= int(port) < _PORT_COUNT:
        return f"a port from 0 to {_PORT_COUNT - 1}"
    return ""
