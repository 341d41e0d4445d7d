"""Tests that are known to fail, as ``KNOWN-RED.txt`` lists them.

A line an entry: the test's file and function, with the case in brackets where
only some cases fail, then ``, cause: ...``. CI passes over exactly these.
"""

from __future__ import annotations

import dataclasses
import pathlib

_PATH = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"
_END_OF_NAME = ", cause:"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """One entry.

    Attributes:
        test: Such as ``test_x.py::test_y[case]``, or without the case.
        line: The whole line.
    """

    test: str
    line: str

    def names(self, test: str) -> bool:
        """Tells whether the entry names a test, given with its case."""
        return test == self.test or test.split("[", 1)[0] == self.test


def parse(text: str) -> list[Entry]:
    """Returns the entries of a list.

    Raises:
        ValueError: A line names no test and cause.

    Example:
        >>> parse("test_x.py::test_y[a, b], cause: not traced")[0].test
        'test_x.py::test_y[a, b]'
    """
    entries = []
    for line in filter(str.strip, text.splitlines()):
        test, end, _ = line.partition(_END_OF_NAME)
        if not end or "::" not in test:
            raise ValueError(
                f"entry is {line!r}, allowed: file::test, cause: ..."
            )
        entries.append(Entry(test=test.strip(), line=line))
    return entries


def read() -> list[Entry]:
    """Returns the entries of this repository."""
    return parse(_PATH.read_text()) if _PATH.exists() else []
