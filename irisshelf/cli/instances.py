"""Command that shows the fleet's instances."""

from __future__ import annotations

from irisshelf.cli import output
from irisshelf.cli import remote


def instances_command(
    platform: remote.PlatformOption, as_json: remote.JsonOption = False
):
    """Shows each instance: state, bundle, open requests, what it sees."""
    client = remote.connect(platform)
    instances = []
    for node in remote.list_instances(client):
        status = remote.fetch_json(node, "/status") or {"state": "no answer"}
        instances.append(
            {"name": node.name, "listed": node.state.value, **status}
        )
    lines = [_line(item) for item in instances]
    document = {"instances": instances}
    output.show("\n".join(lines) or "none", document, as_json=as_json)


def _line(item: dict) -> str:
    unhealthy = [
        f"{name} {state}"
        for name, state in item.get("backend_servers", {}).items()
        if state != "healthy"
    ]
    return (
        f"{item['name']}: {item['state']} (listed {item['listed']}),"
        f" bundle {item.get('bundle', '?')},"
        f" {item.get('open_requests', '?')} open requests,"
        f" unfit: {', '.join(unhealthy) or 'none'}"
    )
