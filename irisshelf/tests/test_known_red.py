"""The list of known failures names cases, and nothing that it does not name."""

import pytest

from irisshelf.tests import known_red


@pytest.mark.parametrize(
    ("entry", "test", "named"),
    [
        ("test_x.py::test_y", "test_x.py::test_y", True),
        ("test_x.py::test_y", "test_x.py::test_y[1]", True),
        ("test_x.py::test_y[1]", "test_x.py::test_y[1]", True),
        ("test_x.py::test_y[1]", "test_x.py::test_y[2]", False),
        ("test_x.py::test_y[1]", "test_x.py::test_y", False),
        ("test_x.py::test_y", "test_x.py::test_yes", False),
        ("test_x.py::test_y[a, b]", "test_x.py::test_y[a, b]", True),
    ],
)
def test_an_entry_names_its_cases(entry, test, named):
    (found,) = known_red.parse(f"{entry}, cause: not traced\n\n")
    assert found.names(test) is named


@pytest.mark.parametrize("line", ["test_y, cause: x", "test_x.py::test_y"])
def test_a_line_without_test_or_cause_is_an_error(line):
    with pytest.raises(ValueError, match="allowed"):
        known_red.parse(line)
