"""Tells the story of one request from the logs of all instances.

A request's own lines come first in time; between them stand what its
instances and servers went through: what an instance believed (configuration,
store, servers) and servers that were left alone.
"""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Iterable
from typing import Any

# What an instance went through so long before a request's first line may be
# its cause.
LOOKBACK_S = 10.0
_INSTANCE_LINES = frozenset(
    {
        "start",
        "stopping",
        "stop",
        "reload",
        "catalog_in_force",
        "catalog_unreadable",
        "store_lost",
        "store_regained",
        "store_history_lost",
        "servers_changed",
        "lapsed_servers_gone",
        "server_rests",
        "lines_dropped",
        "connection_failed",
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogLine:
    """One log line.

    Attributes:
        time_s: Wall-clock seconds, by its instance's clock.
        instance: Who wrote it.
        name: What was decided or happened.
        request: The request it is about; empty for none.
        fields: All else.
    """

    time_s: float
    instance: str
    name: str
    request: str
    fields: dict[str, Any]


def parse(texts: Iterable[str]) -> list[LogLine]:
    """Reads log lines; text before a line's first brace is skipped.

    Lines that are no decisions are left out, since other programs may write
    to the same place.
    """
    lines = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            line = LogLine(
                time_s=float(fields.pop("time")),
                instance=str(fields.pop("instance")),
                name=str(fields.pop("message")),
                request=str(fields.pop("request", "")),
                fields=fields,
            )
        except (ValueError, KeyError, TypeError, AttributeError):
            continue
        lines.append(line)
    return lines


def trace(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Returns a request's lines and what may explain them, in time order."""
    every = sorted(lines, key=lambda line: line.time_s)
    own = [line for line in every if line.request == request]
    if not own:
        return []
    instances = {line.instance for line in own}
    begin_s = own[0].time_s - LOOKBACK_S
    end_s = own[-1].time_s
    servers = _servers(own)
    return [
        line
        for line in every
        if line in own
        or (
            line.instance in instances
            and line.name in _INSTANCE_LINES
            and begin_s <= line.time_s <= end_s
            and _concerns(line, servers)
        )
    ]


def render(line: LogLine) -> str:
    """Returns a line for people."""
    fields = " ".join(
        f"{name}={value!r}"
        for name, value in line.fields.items()
        if name != "level" and value not in (None, "")
    )
    return f"{line.time_s:.4f} {line.instance} {line.name} {fields}"


def _servers(own: Iterable[LogLine]) -> set[str]:
    return {
        str(line.fields["server"]) for line in own if line.fields.get("server")
    }


def _concerns(line: LogLine, servers: set[str]) -> bool:
    """Leaves out what happened to servers that the request never met."""
    if line.name == "server_rests":
        return line.fields.get("server") in servers
    if line.name == "servers_changed":
        changes = line.fields.get("changes", [])
        return any(str(c).partition(" ")[0] in servers for c in changes)
    return True
