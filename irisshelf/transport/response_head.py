"""Checks of response heads that the HTTP parser does not make.

h11 joins a line that begins with a blank to the header before it (an obsolete
line folding), and accepts any version number and control characters in values.
A faulty server sends such lines: a header that frames the body is then lost, or
bytes reach the caller that are not HTTP to other parsers.
"""

from __future__ import annotations

import re

import h11

from irisshelf.transport import errors

_BLANK_LINE = re.compile(rb"\n\r?\n")
_FOLDED_LINE = re.compile(rb"\n[ \t]")
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_MAJOR_VERSION = b"1."


class HeadChecker:
    """Checks the heads of a response, interim ones included."""

    def __init__(self):
        self._input = bytearray()

    def feed(self, data: bytes) -> None:
        """Takes what has arrived before the end of the last head."""
        self._input += data

    def check(self, head: h11.Response | h11.InformationalResponse) -> None:
        """Checks a head whose bytes have been fed.

        Raises:
            errors.BrokenConnectionError: It is not valid HTTP.
        """
        blank = _BLANK_LINE.search(self._input)
        end = blank.end() if blank else len(self._input)
        folded = _FOLDED_LINE.search(self._input, 0, end)
        del self._input[:end]
        if folded is not None:
            raise errors.BrokenConnectionError(
                "invalid HTTP: header line begins with a blank"
            )
        if not head.http_version.startswith(_MAJOR_VERSION):
            raise errors.BrokenConnectionError(
                f"invalid HTTP: version {head.http_version!r}, allowed: 1.x"
            )
        for name, value in head.headers:
            if _CONTROL.search(value) is not None:
                raise errors.BrokenConnectionError(
                    f"invalid HTTP: control character in the value of {name!r}"
                )
