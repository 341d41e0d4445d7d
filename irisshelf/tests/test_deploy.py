"""The settings that the users' platform fills from our template."""

import json
import pathlib
import re
import tomllib

import pytest

import irisshelf
from irisshelf.gateway import settings
from irisshelf.platform import deployment

_DEPLOY = pathlib.Path(irisshelf.__file__).parent.parent / "deploy"
_FIELDS = {
    "nodeName": "front-espoo-a-1",
    "ip": "10.1.0.40",
    "zone": "espoo-a",
    "zones": {"espoo-a": "fi-south", "vantaa-c": "fi-south"},
    "listenAddrs": {
        "front": "10.1.0.40:8227",
        "ready": "10.1.0.40:8220",
        "control": "10.1.0.40:8229",
    },
    "internalPorts": [7340, 7355],
    "limits": {"maxFds": 4100, "linkMbps": 10.0, "memoryMb": 200},
    "contracts": ["base", "platform"],
    "seeds": ["10.1.0.40:8229", "10.2.0.29:8229"],
    "bounds": {
        "configMs": 2000,
        "revokeMs": 5000,
        "drainTimeoutMs": 3000,
        "gracePeriodS": 8,
        "retryBudgetRatio": 0.2,
        "budgetSlack": 54,
        "budgetWindowS": 10,
        "evacuationMs": 5000,
        "coldOverage": 1.5,
        "coldSlack": 5,
    },
    "platform": {"address": "10.200.1.7:8223"},
}


def _value(fields, path):
    for name in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(name)]
        else:
            fields = fields.get(name)
    return fields


def _render(text, fields):
    """Fills a template as the platform does: values, JSON, and entries."""

    def block(match):
        kind, name, inner = match.groups()
        value = _value(fields, name)
        if kind == "^":
            return "" if value else inner
        if not isinstance(value, dict | list):
            return inner if value else ""
        keys = list(value)
        parts = []
        for number, key in enumerate(keys):
            comma = "," if number < len(keys) - 1 else ""
            entry = inner.replace("{{@}}", key).replace("{{,}}", comma)
            if isinstance(value, dict):
                entry = entry.replace("{{.|json}}", json.dumps(value[key]))
            parts.append(entry)
        return "".join(parts)

    def gap(match):
        path, _, form = match.group(1).partition("|")
        value = _value(fields, path)
        return json.dumps(value) if form == "json" else str(value)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", block, text)
    return re.sub(r"\{\{([\w.|]+)\}\}", gap, text)


def test_the_template_gives_sound_settings():
    text = (_DEPLOY / "settings.json.tmpl").read_text()
    cfg = settings.decode(_render(text, _FIELDS).encode()).unwrap()
    assert cfg.instance == "front-espoo-a-1"
    assert cfg.data_centres == ("espoo-a", "vantaa-c")
    assert cfg.regions == {"espoo-a": "fi-south", "vantaa-c": "fi-south"}
    assert cfg.seeds == ("10.1.0.40:8229", "10.2.0.29:8229")
    assert cfg.listen.metrics == "10.1.0.40:7340"
    assert (cfg.descriptors, cfg.link_mbps) == (4100, 10.0)
    assert (cfg.bounds.stop_s, cfg.bounds.retry_slack) == (8.0, 54.0)
    assert cfg.bounds.server_leaving_ms == 3000.0
    assert cfg.bounds.evacuated_ms == 5000.0
    assert (cfg.bounds.cold_overage, cfg.bounds.cold_slack) == (1.5, 5.0)


@pytest.mark.parametrize(("name", "own"), [("evacuationMs", "evacuated_ms")])
def test_a_bound_that_a_deployment_does_not_have_is_none(name, own):
    """The platform fills in null."""
    text = (_DEPLOY / "settings.json.tmpl").read_text()
    bounds = _FIELDS["bounds"] | {name: None}
    filled = _render(text, _FIELDS | {"bounds": bounds})
    bounds = settings.decode(filled.encode()).unwrap().bounds
    assert getattr(bounds, own) is None


@pytest.mark.parametrize(
    ("revoke_strict", "strict"), [(True, True), (False, False), (None, False)]
)
def test_the_operators_say_whether_withdrawn_keys_are_strict(
    revoke_strict, strict
):
    text = (_DEPLOY / "settings.json.tmpl").read_text()
    bounds = _FIELDS["bounds"] | {"revokeStrict": revoke_strict}
    filled = _render(text, _FIELDS | {"bounds": bounds})
    assert (
        settings.decode(filled.encode()).unwrap().bounds.keys_strict is strict
    )


@pytest.mark.parametrize(
    ("contracts", "mode"),
    [
        (["base", "pressure"], settings.FleetAdmission.ON),
        (["base"], settings.FleetAdmission.REPORTED),
        (None, settings.FleetAdmission.REPORTED),
    ],
)
def test_the_rules_in_force_say_whether_the_fleet_admits(contracts, mode):
    """Guards against overload control that a deployment never asked for."""
    text = (_DEPLOY / "settings.json.tmpl").read_text()
    filled = _render(text, _FIELDS | {"contracts": contracts})
    overload = deployment.decode(filled.encode()).unwrap().overload
    assert overload.fleet_admission is mode
    assert overload.response_buffer_mb == 50.0


def test_the_template_knows_no_key_of_an_entry_as_json():
    """The platform gives null for it; only the bare key is filled in."""
    assert "{{@|" not in (_DEPLOY / "settings.json.tmpl").read_text()


_PINS = (_DEPLOY / "requirements.lock").read_text().splitlines()


@pytest.mark.parametrize("line", _PINS)
def test_what_the_platform_installs_is_pinned_as_in_our_lock(line):
    lock = (_DEPLOY.parent / "requirements.lock").read_text().splitlines()
    assert line.strip() in lock


def test_the_table_of_days_lists_all_of_them():
    """Guards against a page that lists fewer days than there are."""
    page = (_DEPLOY.parent / "docs" / "OPERATIONS.md").read_text()
    section = page.partition("## Days of our own")[2].partition("## ")[0]
    listed = re.findall(r"^\| `([a-z-]+)` \|", section, re.MULTILINE)
    names = {path.stem for path in (_DEPLOY / "days").glob("*.toml")}
    assert sorted(listed) == sorted(names)


@pytest.mark.parametrize(
    "path", sorted((_DEPLOY / "days").glob("*.toml")), ids=lambda p: p.stem
)
def test_a_day_has_the_name_of_its_file(path):
    (day,) = tomllib.loads(path.read_text())["day"]
    assert day["name"] == path.stem
