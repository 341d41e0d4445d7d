"""Commands for settings files."""

from __future__ import annotations

import pathlib
from typing import Annotated

import result
import typer

from irisshelf.cli import output
from irisshelf.cli import remote
from irisshelf.daemon import settings

app = typer.Typer(no_args_is_help=True, help="Check settings.")


@app.command("check", epilog="Example: irisshelf settings check espoo-a-1.json")
def check_command(
    file: Annotated[pathlib.Path, typer.Argument(help="A settings file.")],
    as_json: remote.JsonOption = False,
):
    """Checks a daemon's settings and shows every error at once."""
    loaded = settings.load(file)
    if isinstance(loaded, result.Err):
        output.fail(
            f"{file} is not valid:\n{loaded.err_value}",
            code=output.EXIT_BAD_INPUT,
        )
    output.show(
        f"{file}: settings of {loaded.ok_value.instance} are valid",
        {"valid": True, "instance": loaded.ok_value.instance},
        as_json=as_json,
    )
