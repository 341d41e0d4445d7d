"""Fixtures that several test modules share."""

import pytest

from irisshelf.platform.stand_in import world as world_module


@pytest.fixture
def world():
    """One entry instance before a store and two servers of each kind."""
    made = world_module.World()
    yield made
    made.close()
