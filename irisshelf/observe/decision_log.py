"""Bounded, non-blocking log of decisions: JSON lines on standard output.

Logging never blocks: lines are put into a queue of at most ``MAX_QUEUED`` and
a greenlet writes them at the speed at which the reader consumes them. Lines
about requests are limited to ``lines_per_s``. Dropped lines are counted, and
the count is logged as ``lines_dropped``. Lines about the instance itself are
exempt from the rate limit but not from the bound of the queue.
"""

from __future__ import annotations

import collections
import logging
import os
import time
from typing import Any

import gevent
from gevent import event
from gevent import socket
from pythonjsonlogger import json as json_logger

from irisshelf import boottime

MAX_QUEUED = 5000
_STDOUT = 1
_WRITE_BATCH_BYTES = 65536
_DROPPED_REPORT_INTERVAL_S = 1.0


class _Bucket:
    """Token bucket that limits the rate of log lines."""

    def __init__(self, *, per_s: float):
        self._per_s = per_s
        self._tokens = per_s
        self._refilled_s = boottime.now()

    def take(self, now: float) -> bool:
        """Takes a token; returns whether one was available."""
        self._tokens = min(
            self._per_s, self._tokens + (now - self._refilled_s) * self._per_s
        )
        self._refilled_s = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class DecisionLog:
    """Queues log lines and writes them in a greenlet, which executes ``run``.

    Args:
        instance: Name of the instance, a field of every line.
        lines_per_s: Rate limit of lines about requests.
        fd: File descriptor to write to; it is made non-blocking.
    """

    def __init__(
        self, *, instance: str, lines_per_s: float = 200.0, fd: int = _STDOUT
    ):
        self._instance = instance
        self._fd = fd
        self._bucket = _Bucket(per_s=lines_per_s)
        self._queue: collections.deque[bytes] = collections.deque()
        self._lines_queued = event.Event()
        self._formatter = json_logger.JsonFormatter("%(message)s")
        self._dropped_reported_s = boottime.now()
        self.dropped = 0
        self._dropped_unreported = 0
        os.set_blocking(fd, False)

    def request(self, name: str, request: str, **fields: Any) -> None:
        """Logs a decision about a request, subject to the rate limit.

        Args:
            name: Name of the decision, the line's ``message``.
            request: The request's id.
            **fields: Inputs, their age or version, and the outcome.
        """
        now = boottime.now()
        if not self._bucket.take(now):
            self._drop()
            return
        self._log(name, {"request": request, **fields}, "INFO")

    def instance(self, name: str, **fields: Any) -> None:
        """Logs an action or a change of state of the instance."""
        self._log(name, fields, "INFO")

    def warning(self, name: str, **fields: Any) -> None:
        """Logs an abnormal condition and how it is handled."""
        self._log(name, fields, "WARNING")

    def run(self) -> None:
        """Writes queued lines until the process exits."""
        while True:
            self._lines_queued.wait()
            self._lines_queued.clear()
            self.flush(wait=True)

    def flush(self, *, wait: bool = False) -> None:
        """Writes the queued lines.

        Args:
            wait: Whether to wait while the descriptor is not writable; if not,
                writing stops there and the rest of the batch is lost.
        """
        while self._queue:
            lines = []
            size = 0
            while self._queue and size < _WRITE_BATCH_BYTES:
                lines.append(self._queue.popleft())
                size += len(lines[-1])
            if not self._write(b"".join(lines), wait):
                return

    def _write(self, data: bytes, wait: bool) -> bool:
        while data:
            try:
                data = data[os.write(self._fd, data) :]
            except BlockingIOError:
                if not wait:
                    return False
                socket.wait_write(self._fd)
            except OSError:
                # The reader has closed its end; the error cannot be logged.
                return False
        return True

    def _drop(self) -> None:
        self.dropped += 1
        self._dropped_unreported += 1

    def _log(self, name: str, fields: dict[str, Any], level: str) -> None:
        now = boottime.now()
        if (
            self._dropped_unreported
            and now - self._dropped_reported_s > _DROPPED_REPORT_INTERVAL_S
        ):
            unreported, self._dropped_unreported = self._dropped_unreported, 0
            self._dropped_reported_s = now
            self._enqueue("lines_dropped", {"count": unreported}, "WARNING")
        self._enqueue(name, fields, level)

    def _enqueue(self, name: str, fields: dict[str, Any], level: str) -> None:
        if len(self._queue) >= MAX_QUEUED:
            self._drop()
            return
        record = logging.LogRecord(
            "irisshelf", logging.INFO, "", 0, name, (), None
        )
        record.__dict__.update(
            time=round(time.time(), 4),
            level=level,
            instance=self._instance,
            **fields,
        )
        self._queue.append(self._formatter.format(record).encode() + b"\n")
        self._lines_queued.set()


def start(log: DecisionLog) -> gevent.Greenlet:
    """Starts the greenlet that writes a log's lines."""
    return gevent.spawn(log.run)
