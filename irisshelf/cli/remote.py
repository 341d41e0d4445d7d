"""Access to the platform and to instances, for commands."""

from __future__ import annotations

import json
from typing import Annotated
from typing import Any

import result
import typer

from irisshelf.backends import dispatch
from irisshelf.backends import pool
from irisshelf.cli import output
from irisshelf.coordination import head
from irisshelf.store import errors
from irisshelf.store import http_client
from irisshelf.store import interface
from irisshelf.store import messages

TIMEOUT_S = 5.0

PlatformOption = Annotated[
    str,
    typer.Option(
        "--platform",
        envvar="IRISSHELF_PLATFORM",
        help="IP number and port of the platform.",
    ),
]
JsonOption = Annotated[
    bool, typer.Option("--json", help="Print JSON for programs.")
]


def connect(address: str) -> interface.Platform:
    """Returns a platform client; ends the command on an invalid address."""
    host, colon, port = address.rpartition(":")
    if not colon or not port.isdigit():
        output.fail(
            f"--platform is {address!r}, allowed: IP:PORT",
            code=output.EXIT_BAD_INPUT,
        )
    return http_client.HttpPlatform(
        host=host, port=int(port), timeout_s=TIMEOUT_S
    )


def read_row(platform: interface.Platform, key: str) -> messages.Row | None:
    """Returns a row, if any; ends the command if the platform fails."""
    row = platform.read(key)
    if isinstance(row, result.Ok):
        return row.ok_value
    if isinstance(row.err_value, errors.NotFound):
        return None
    output.fail(
        f"the platform did not answer: {row.err_value.detail}",
        code=output.EXIT_UNAVAILABLE,
    )


def read_head(
    platform: interface.Platform,
) -> tuple[messages.Row | None, head.Head | None]:
    """Returns the head's row and the decoded head; None for a missing one."""
    row = read_row(platform, head.ROW)
    return row, head.decode(row.value) if row else None


def list_instances(platform: interface.Platform) -> tuple[messages.Node, ...]:
    """Returns all instances; ends the command if the platform fails."""
    listed = platform.nodes(since=0)
    if isinstance(listed, result.Err):
        output.fail(
            f"the platform did not answer: {listed.err_value.detail}",
            code=output.EXIT_UNAVAILABLE,
        )
    return tuple(
        node
        for node in listed.ok_value.changed
        if node.role is messages.NodeRole.INSTANCE
    )


def fetch_json(node: messages.Node, path: str) -> Any | None:
    """Fetches JSON from an instance's admin port; None if that fails."""
    try:
        client = pool.new_client(
            node.admin_address, connect_s=TIMEOUT_S, idle_s=TIMEOUT_S
        )
    except ValueError:
        return None
    response = dispatch.request("GET", path, client)
    body = response.and_then(dispatch.read_all)
    if isinstance(body, result.Err):
        return None
    try:
        return json.loads(body.ok_value)
    except ValueError:
        return None
