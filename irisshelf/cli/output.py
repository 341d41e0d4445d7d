"""Output and exit codes of commands."""

from __future__ import annotations

import json
from typing import Any
from typing import NoReturn

import typer

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_UNAVAILABLE = 3
EXIT_CODES = (
    "Exit codes: 0 done, 1 refused (conflict or signatures), 2 bad input,"
    " 3 the platform or an instance did not answer."
)


def show(text: str, document: Any, *, as_json: bool) -> None:
    """Prints a result as text or, if ``as_json``, the document as JSON."""
    if as_json:
        typer.echo(json.dumps(document, sort_keys=True))
    elif text:
        typer.echo(text)


def fail(message: str, *, code: int) -> NoReturn:
    """Prints an error message and ends the command with an exit code.

    Raises:
        typer.Exit: Always.
    """
    typer.echo(f"irisshelf: {message}", err=True)
    raise typer.Exit(code)
