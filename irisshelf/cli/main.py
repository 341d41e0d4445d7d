"""Entry point of the operators' command-line tool, ``irisshelf``."""

from __future__ import annotations

import typer

from irisshelf.cli import bundle
from irisshelf.cli import instances
from irisshelf.cli import keys
from irisshelf.cli import logs
from irisshelf.cli import output
from irisshelf.cli import settings
from irisshelf.cli import timeline

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="Operate a fleet of irisshelf instances.",
    epilog=output.EXIT_CODES,
)
app.add_typer(settings.app, name="settings")
app.add_typer(bundle.app, name="bundle")
app.add_typer(keys.app, name="keys")
app.command(
    "instances",
    epilog="Example: irisshelf instances --platform 127.0.0.1:7000",
)(instances.instances_command)
app.command(
    "timeline",
    epilog=(
        "Example: irisshelf timeline --chat 00ff... --platform 127.0.0.1:7000"
    ),
)(timeline.timeline_command)
app.command(
    "logs", epilog="Example: irisshelf logs 9c41d07be2a35f68 entry-*.log"
)(logs.logs_command)


def main() -> None:
    """Runs the command-line tool."""
    app()


if __name__ == "__main__":
    main()
