"""One attempt at a model call: what was sent where, and how it stands."""

from __future__ import annotations

from irisshelf.backends import engine_stream
from irisshelf.backends import messages
from irisshelf.charts import chart
from irisshelf.routing.owned import service


class Attempt:
    """One attempt: what was sent where, and the state of its chart.

    Args:
        target: The engine that it is for.
        call: The call to the engine, or to the engine's owner.
        send: The placement, if it was made here.
    """

    def __init__(
        self,
        *,
        target: service.Target,
        call: messages.EngineCall | messages.RelayCall,
        send: service.Send | None,
    ):
        self.target = target
        self.call = call
        self.send = send
        self.left = send.placement.work if send else 0.0
        self.stream: engine_stream.EngineStream | None = None
        self._chart = chart.load("attempt")
        self._state = self._chart.initial

    def move(self, event: str) -> None:
        """Takes an event of the attempt's life."""
        self._state = self._chart.step(self._state, event).unwrap()

    @property
    def over(self) -> bool:
        """Whether nothing more happens to it."""
        return self._chart.has_tag(self._state, "final")

    @property
    def attempt_id(self) -> str:
        """The id that the engine knows it by; empty until it is known."""
        if isinstance(self.call, messages.EngineCall):
            return self.call.attempt_id
        return self.stream.head.attempt_id if self.stream else ""
