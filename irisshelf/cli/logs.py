"""Command that shows what the instances' logs say about one request."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from irisshelf.cli import output
from irisshelf.cli import remote
from irisshelf.observe import request_trace


def logs_command(
    request: Annotated[str, typer.Argument(help="The request's id.")],
    files: Annotated[
        list[pathlib.Path],
        typer.Argument(help="Logs of the instances; any number."),
    ],
    as_json: remote.JsonOption = False,
):
    """Shows what was decided about a request, and what led to it."""
    lines = []
    for file in files:
        try:
            with file.open(encoding="utf-8", errors="replace") as log_file:
                lines += request_trace.parse(log_file)
        except OSError as exc:
            output.fail(
                f"cannot read {file}: {exc}", code=output.EXIT_BAD_INPUT
            )
    trace = request_trace.trace(lines, request)
    if not trace:
        output.fail(
            f"request is {request!r}: none of {len(lines)} lines is about it",
            code=output.EXIT_REFUSED,
        )
    document = [
        {
            "time": line.time_s,
            "instance": line.instance,
            "message": line.name,
            "request": line.request,
            **line.fields,
        }
        for line in trace
    ]
    text = "\n".join(request_trace.render(line, request) for line in trace)
    output.show(text, document, as_json=as_json)
