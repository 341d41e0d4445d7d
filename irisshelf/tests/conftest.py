"""Fixtures that several test modules share."""

import pathlib

import pytest

from irisshelf.platform.stand_in import world as world_module

_KNOWN_RED = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"


def _known_red() -> dict[str, str]:
    """Returns the line of each test function that is known to fail."""
    if not _KNOWN_RED.exists():
        return {}
    lines = _KNOWN_RED.read_text().splitlines()
    return {line.split(",")[0].strip(): line for line in lines if line.strip()}


def pytest_collection_modifyitems(items):
    """Passes over the failures that are known, and over no others."""
    known = _known_red()
    for item in items:
        name = f"{item.path.name}::{item.originalname}"
        if name in known:
            # One case of several may pass already.
            mark = pytest.mark.xfail(reason=known[name], strict=False)
            item.add_marker(mark)


def pytest_terminal_summary(terminalreporter):
    """Prints what is passed over."""
    for line in _known_red().values():
        terminalreporter.write_line(f"known red: {line}")


@pytest.fixture
def world():
    """One entry instance before a store and two servers of each kind."""
    made = world_module.World()
    yield made
    made.close()


@pytest.fixture
def make_world():
    """Makes such worlds with options of their own."""
    made = []

    def make(**options):
        made.append(world_module.World(**options))
        return made[-1]

    yield make
    for one in made:
        one.close()
