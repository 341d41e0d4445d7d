"""Errors of the clients for backend servers."""

from __future__ import annotations

import dataclasses

from irisshelf.routing import outcome


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallError:
    """The failure of a call.

    Attributes:
        outcome: Whether the call may have run.
        cause: The kind of failure.
        unreachable: Whether no connection to the server could be made.
        draining: Whether the server reported that it accepts no new work.
        redirect_target: The engine to whose owner the call should be sent
            instead; empty if there is none.
        detail: A description for logs and error messages.
    """

    outcome: outcome.Outcome
    cause: outcome.Cause
    unreachable: bool = False
    draining: bool = False
    redirect_target: str = ""
    detail: str = ""


class StreamError(Exception):
    """A stream failed after its start; ``error`` describes the failure."""

    def __init__(self, *, error: CallError):
        super().__init__(error.detail)
        self.error = error
