"""What callers and backend servers speak, behind one abstract entry.

A dialect translates and decides nothing. The gateway knows no header's name
but those of HTTP itself.
"""

from __future__ import annotations

import abc

import result

from irisshelf.gateway import messages


class Dialect(abc.ABC):
    """Translates heads of requests and answers."""

    @abc.abstractmethod
    def parse_request(self, inbound: messages.InboundRequest) -> result.Result:
        """Reads a request's head.

        Returns:
            A ``messages.RequestHead``, or a text that names the fault.
        """

    @abc.abstractmethod
    def backend_request_headers(
        self, inbound: messages.InboundRequest, send: messages.ForwardedContext
    ) -> list[tuple[bytes, bytes]]:
        """Builds a backend server's headers, without framing."""

    @abc.abstractmethod
    def parse_answer(
        self, status: int, headers: messages.Headers
    ) -> messages.AnswerHead:
        """Reads the head of a backend server's answer."""

    @abc.abstractmethod
    def local_answer_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Builds headers of an answer that the instance itself gives."""
