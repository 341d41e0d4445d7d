"""Collects the log lines that explain one request, from all instances' logs.

The result has the request's own lines, interleaved by time with lines about
the instances that handled it (changes of configuration, store or server list)
and about its servers that were ejected, in backoff or draining, or whose
entries lapsed or contradicted what was known of them.
"""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Iterable
from typing import Any

# Instance events up to this long before a request's first line are included,
# since they may have caused what happened to it.
LOOKBACK_S = 10.0
# Names of the instance events that are shown with a request.
INSTANCE_EVENTS = frozenset(
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
        "store_answer_outdated",
        "store_answer_current",
        "store_outage_assessed",
        "servers_changed",
        "server_entries_contradicting",
        "server_entries_lapsed",
        "server_entries_outdated",
        "lapsed_servers_gone",
        "server_rests",
        "server_accepts_nothing",
        "server_entry_in_doubt",
        "service_out_of_reach",
        "service_in_reach",
        "server_relayed",
        "relay_pauses",
        "relayed_connection_broke",
        "lines_dropped",
        "connection_failed",
    }
)

# Their ``server`` is the one that they are about.
_SERVER_EVENTS = frozenset(
    {
        "server_rests",
        "server_accepts_nothing",
        "server_entry_in_doubt",
        "server_relayed",
        "relayed_connection_broke",
    }
)
# Their ``changes`` begin with the ids of the servers that they are about.
_ENTRY_EVENTS = frozenset(
    {
        "servers_changed",
        "server_entries_contradicting",
        "server_entries_lapsed",
        "server_entries_outdated",
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogLine:
    """One log line.

    Attributes:
        time_s: Wall-clock time in seconds, by the instance's clock.
        instance: Instance that wrote it.
        name: Name of the decision or event, the line's ``message``.
        request: Id of the request it is about; empty for none.
        fields: All other fields.
    """

    time_s: float
    instance: str
    name: str
    request: str
    fields: dict[str, Any]


def parse(texts: Iterable[str]) -> list[LogLine]:
    """Parses log lines, ignoring text before a line's first brace.

    Lines that are not from the decision log are skipped, since other programs
    may write to the same file.
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
    """Returns a request's lines and related instance events, in time order.

    The lines of a stream's other attempts are among them: of the one that began
    it, and of all that resume it.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    attempts = _attempts(ordered, request)
    own = [line for line in ordered if line.request in attempts]
    if not own:
        return []
    instances = {line.instance for line in own}
    # Instances through which the request was sent; empty for direct sends.
    instances |= {str(line.fields.get("relay", "")) for line in own}
    begin_s = own[0].time_s - LOOKBACK_S
    end_s = own[-1].time_s
    servers = _servers_of(own)
    return [
        line
        for line in ordered
        if line in own
        or (
            line.instance in instances
            and line.name in INSTANCE_EVENTS
            and begin_s <= line.time_s <= end_s
            and _is_related(line, servers)
        )
    ]


def render(line: LogLine, request: str = "") -> str:
    """Formats a line as text.

    Args:
        line: The line.
        request: The request that is asked about; ids of others are shown.
    """
    fields = " ".join(
        f"{name}={value!r}"
        for name, value in line.fields.items()
        if name != "level" and value not in (None, "")
    )
    if line.request not in ("", request):
        fields = f"request={line.request!r} {fields}"
    return f"{line.time_s:.4f} {line.instance} {line.name} {fields}"


def _attempts(lines: list[LogLine], request: str) -> set[str]:
    """Returns the ids of a request and of its stream's other attempts."""
    resumed = {
        line.request: str(line.fields["resumes"])
        for line in lines
        if line.request and line.fields.get("resumes")
    }
    first = resumed.get(request, request)
    return {request, first} | {
        attempt for attempt, begun in resumed.items() if begun == first
    }


def _servers_of(own: Iterable[LogLine]) -> set[str]:
    return {
        str(line.fields["server"]) for line in own if line.fields.get("server")
    }


def _is_related(line: LogLine, servers: set[str]) -> bool:
    """Returns False for events of servers that the request was not sent to."""
    if line.name in _SERVER_EVENTS:
        return line.fields.get("server") in servers
    if line.name in _ENTRY_EVENTS:
        changes = line.fields.get("changes", [])
        return any(str(c).partition(" ")[0] in servers for c in changes)
    return True
