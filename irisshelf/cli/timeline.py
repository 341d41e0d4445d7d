"""Command that merges the time lines of all instances."""

from __future__ import annotations

import datetime
import pathlib
from typing import Annotated

import typer

from irisshelf.cli import files
from irisshelf.cli import output
from irisshelf.cli import remote
from irisshelf.observe import timeline
from irisshelf.observe import timeline_page


def timeline_command(
    platform: remote.PlatformOption,
    request: Annotated[str, typer.Option(help="Only this request.")] = "",
    chat: Annotated[str, typer.Option(help="Only this chat.")] = "",
    engine: Annotated[str, typer.Option(help="Only this engine.")] = "",
    bundle: Annotated[int, typer.Option(help="Only this bundle.")] = 0,
    html: Annotated[
        pathlib.Path | None,
        typer.Option("--html", help="Write a page to read in a browser."),
    ] = None,
    as_json: remote.JsonOption = False,
):
    """Shows the events of all instances in causal order."""
    client = remote.connect(platform)
    events = []
    missing = []
    for node in remote.list_instances(client):
        answer = remote.fetch_json(node, "/timeline")
        if answer is None:
            missing.append(node.name)
            continue
        events += [timeline.decode(item) for item in answer["events"]]
    event_filter = timeline.Filter(
        request=request, chat=chat, engine=engine, bundle=bundle
    )
    merged = timeline.merge(events, event_filter=event_filter)
    if html is not None:
        files.write_text(html, timeline_page.render(merged))
        typer.echo(f"{html}: {len(merged)} events", err=as_json)
        if not as_json:
            return
    document = {
        "events": [timeline.encode(event) for event in merged],
        "missing": missing,
    }
    lines = [_line(event) for event in merged]
    if missing:
        lines.append(f"no answer from: {', '.join(missing)}")
    output.show("\n".join(lines), document, as_json=as_json)


def _line(event: timeline.Event) -> str:
    timestamp = datetime.datetime.fromtimestamp(
        event.stamp.wall_s, tz=datetime.UTC
    ).isoformat(timespec="milliseconds")
    fields = [
        f"{name}={value}"
        for name in ("request", "attempt", "chat", "engine", "bundle")
        if (value := getattr(event, name))
    ]
    return " ".join(
        [
            timestamp,
            event.stamp.process,
            event.kind.value,
            *fields,
            event.detail,
        ]
    ).rstrip()
