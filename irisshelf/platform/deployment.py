"""Settings of an instance on the users' platform.

The template of the settings passes on the list of rules that are in force and
the memory of the machine, which the product's settings do not contain.
"""

from __future__ import annotations

import dataclasses

import msgspec
import result

from irisshelf.gateway import settings

# Rule that callers may ask for more than the servers can process.
_PRESSURE = "pressure"
# Rule that requests carry the keys of teams.
_TENANTS = "tenants"
# Share of the memory for responses that callers have not read yet. An instance
# without load takes a tenth of the smallest machine, so that a quarter leaves
# room for connections and requests in progress.
_RESPONSE_BUFFER_SHARE = 0.25
# Shares for responses that are not complete yet and for the bodies of requests.
_RESPONSES_SHARE = 0.2
_REQUESTS_SHARE = 0.2
# All instances that restart at once are ready after 0.5 to 0.9 s.
_START_WAIT_S = 1.0


class _Deployment(msgspec.Struct):
    contracts: list[str] | None = None
    memory_mb: float | None = None


def decode(data: bytes) -> result.Result[settings.Settings, str]:
    """Validates settings that the platform has filled in.

    Returns:
        The settings, or a message with the field, its value and the allowed
        values.
    """
    decoded = settings.decode(data)
    if isinstance(decoded, result.Err):
        return decoded
    try:
        deployment = msgspec.json.decode(data, type=_Deployment)
    except msgspec.ValidationError as exc:
        return result.Err(f"settings of the platform: {exc}")
    cfg = decoded.ok_value
    overload = dataclasses.replace(
        cfg.overload,
        response_buffer_mb=(deployment.memory_mb or 0.0)
        * _RESPONSE_BUFFER_SHARE,
    )
    if _PRESSURE in (deployment.contracts or ()):
        overload = dataclasses.replace(
            overload,
            fleet_admission=settings.FleetAdmission.ON,
            start_wait_s=_START_WAIT_S,
        )
    if deployment.memory_mb:
        limits = dataclasses.replace(
            cfg.read_limits,
            responses_mb=deployment.memory_mb * _RESPONSES_SHARE,
            requests_mb=deployment.memory_mb * _REQUESTS_SHARE,
        )
        cfg = dataclasses.replace(cfg, read_limits=limits)
    if deployment.contracts is not None:
        uses_keys = _TENANTS in deployment.contracts
        cfg = dataclasses.replace(cfg, keys_required=uses_keys)
    return result.Ok(dataclasses.replace(cfg, overload=overload))
