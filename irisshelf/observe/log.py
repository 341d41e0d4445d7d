"""Set-up of standard logging with JSON output."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger import json as json_logger

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure(*, level: str, instance: str) -> None:
    """Sends all logs to standard error, one JSON object per line."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        json_logger.JsonFormatter(
            _FIELDS,
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"instance": instance},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # The library logs every connection, which the peers layer already does.
    logging.getLogger("websockets").setLevel(logging.WARNING)


def get(name: str) -> logging.Logger:
    """Returns the logger of a component, below ``irisshelf``."""
    return logging.getLogger(f"irisshelf.{name}")
