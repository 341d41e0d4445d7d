"""The examples in the doc comments give the results that they show."""

import doctest
import importlib
import pathlib

import pytest

import irisshelf

_ROOT = pathlib.Path(irisshelf.__file__).parent


def _modules_with_examples():
    for path in sorted(_ROOT.rglob("*.py")):
        inner = path.relative_to(_ROOT.parent).with_suffix("")
        if "tests" not in inner.parts and ">>> " in path.read_text():
            yield ".".join(inner.parts).removesuffix(".__init__")


@pytest.mark.parametrize("name", list(_modules_with_examples()))
def test_examples_hold(name):
    found = doctest.testmod(importlib.import_module(name))
    assert found.attempted > 0
    assert found.failed == 0
