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
    def ask(self, inbound: messages.Inbound) -> result.Result:
        """Reads a request's head.

        Returns:
            A ``messages.Ask``, or a text that says what is wrong with it.
        """

    @abc.abstractmethod
    def request_headers(
        self, inbound: messages.Inbound, send: messages.Send
    ) -> list[tuple[bytes, bytes]]:
        """Builds a backend server's headers, without framing."""

    @abc.abstractmethod
    def answer_head(
        self, status: int, headers: messages.Headers
    ) -> messages.AnswerHead:
        """Reads the head of a backend server's answer."""

    @abc.abstractmethod
    def own_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Builds headers of an answer that the instance itself gives."""
