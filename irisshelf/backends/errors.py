"""Errors of the layer that talks to backend servers."""

from __future__ import annotations

import dataclasses

from irisshelf.routing import outcome


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallError:
    """A call that did not end well.

    Attributes:
        outcome: Whether the call may have run.
        cause: What went wrong.
        unreachable: Whether the server could not even be connected to.
        draining: Whether the server said that it takes no new work.
        redirect_target: The engine whose owner should be asked instead.
        detail: For people.
    """

    outcome: outcome.Outcome
    cause: outcome.Cause
    unreachable: bool = False
    draining: bool = False
    redirect_target: str = ""
    detail: str = ""


class StreamError(Exception):
    """A stream that broke after it had begun; ``error`` says how."""

    def __init__(self, *, error: CallError):
        super().__init__(error.detail)
        self.error = error
