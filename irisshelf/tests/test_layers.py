"""Decisions stay free of input and output; modules are imported, not names."""

import ast
import pathlib

import pytest

import irisshelf

_ROOT = pathlib.Path(irisshelf.__file__).parent
_FORBIDDEN = {
    "gevent",
    "geventhttpclient",
    "logging",
    "os",
    "pathlib",
    "random",
    "requests",
    "socket",
    "subprocess",
    "threading",
    "time",
}
# The generator itself is injected; only its type is named.
_ALLOWED = {
    ("routing", "random"),
    ("coordination", "random"),
    ("charts", "pathlib"),
}


def _pure_files():
    for folder in ("routing", "coordination", "charts", "bundle", "overload"):
        for path in sorted((_ROOT / folder).rglob("*.py")):
            name = path.relative_to(_ROOT)
            yield pytest.param(path, id=str(name))


def _imports(path: pathlib.Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name.split(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module.split(".")[0])
    return found


@pytest.mark.parametrize("path", list(_pure_files()))
def test_decisions_import_no_input_or_output(path):
    folder = path.relative_to(_ROOT).parts[0]
    allowed = {name for place, name in _ALLOWED if place == folder}
    assert not (_imports(path) & _FORBIDDEN) - allowed


@pytest.mark.parametrize("path", list(_pure_files()))
def test_decisions_do_not_draw_from_global_random(path):
    calls = [
        ast.unparse(node.func)
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Call)
    ]
    assert not [c for c in calls if c.startswith("random.")]


@pytest.mark.parametrize(
    ("folder", "other"), [("direct", "owned"), ("owned", "direct")]
)
def test_the_two_ways_to_decide_do_not_use_each_other(folder, other):
    paths = sorted((_ROOT / "routing" / folder).glob("*.py"))
    assert paths
    for path in paths:
        assert f"routing.{other} " not in path.read_text()


# From the bottom up; see ``irisshelf.gateway``.
_GATEWAY = (
    ("settings", "messages", "dialect", "metrics", "listener", "shutdown"),
    ("servers",),
    ("instance",),
    ("knowledge",),
    ("requests",),
    ("drain", "daemon"),
)
_LAYER = {name: n for n, names in enumerate(_GATEWAY) for name in names}


def _gateway_parts(path: pathlib.Path) -> set[str]:
    """Returns the parts of the gateway that a module imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or not node.module:
            continue
        names = [*node.module.split("."), *(a.name for a in node.names)]
        if names[:2] == ["irisshelf", "gateway"]:
            found.add(names[2])
    return found


@pytest.mark.parametrize(
    "path",
    [
        pytest.param(path, id=str(path.relative_to(_ROOT)))
        for path in sorted((_ROOT / "gateway").rglob("*.py"))
        if path != _ROOT / "gateway" / "__init__.py"
    ],
)
def test_the_gateway_imports_downward_only(path):
    own = path.relative_to(_ROOT / "gateway").parts[0].removesuffix(".py")
    parts = _gateway_parts(path)
    assert parts <= _LAYER.keys()
    assert all(_LAYER[part] <= _LAYER[own] for part in parts)
