"""The on-call guide lists what the code defines."""

import ast
import pathlib
import re

import pytest

import irisshelf
from irisshelf.coordination import shared_watch
from irisshelf.observe import request_trace
from irisshelf.routing import outcome

_PACKAGE = pathlib.Path(irisshelf.__file__).parent
_PAGE = (_PACKAGE.parent / "docs" / "OPERATIONS.md").read_text()
_LOG_METHODS = {"instance", "request", "warning"}


def _section(begin, end):
    _, _, rest = _PAGE.partition(begin)
    section, found, _ = rest.partition(end)
    assert found
    return section


def _is_log_call(node):
    return (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr in _LOG_METHODS
        and ast.unparse(node.func.value).endswith("log")
    )


def _names_written():
    """Yields the names of all lines that the entry instance writes."""
    paths = [*(_PACKAGE / "gateway").rglob("*.py")]
    paths += (_PACKAGE / "observe").rglob("*.py")
    for path in paths:
        for node in ast.walk(ast.parse(path.read_text())):
            if _is_log_call(node):
                assert isinstance(node.args[0], ast.Constant), path
                yield node.args[0].value


def _names_in_table():
    table = _section("| line | meaning |\n|---|---|\n", "\n\n")
    for row in table.splitlines():
        yield from re.findall(r"`(\w+)`", row.split("|")[1])


def test_every_log_line_is_explained():
    written = set(_names_written())
    listed = list(_names_in_table())
    assert sorted(listed) == sorted(written | {"lines_dropped"})


def test_events_shown_with_a_request_are_listed():
    section = _section("these lines of its instances:", "| line | meaning |")
    listed = set(re.findall(r"`(\w+)`", section))
    assert listed == request_trace.INSTANCE_EVENTS


@pytest.mark.parametrize("kind", outcome.Outcome)
def test_every_end_of_an_unserved_request_is_listed(kind):
    section = _section("`ended` is one of these", "All lines below")
    assert f"- `{kind.value}_`:" in section


@pytest.mark.parametrize("verdict", shared_watch.Verdict)
def test_every_verdict_on_an_update_is_listed(verdict):
    section = _section("irisshelf_store_updates_total{verdict}", "\n- ")
    assert f"`{verdict.name.lower()}`" in section
