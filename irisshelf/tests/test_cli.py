"""Tests of the command-line tool and of settings validation."""

import json
import random

import pytest
from typer import testing

from irisshelf import boottime
from irisshelf.cli import main
from irisshelf.coordination import clock
from irisshelf.daemon import settings
from irisshelf.observe import timeline
from irisshelf.observe import timeline_page
from irisshelf.store import messages
from irisshelf.testing import harness
from irisshelf.testing import platform as fake_platform
from irisshelf.testing import platform_server
from irisshelf.tests import examples


class _Operator:
    """Working directory of an operator, and a platform served by HTTP."""

    def __init__(self, folder):
        self.folder = folder
        self.platform = fake_platform.FakePlatform(
            clock=boottime.now, rng=random.Random(1)
        )
        self.server = harness.Server(
            app=platform_server.PlatformServer(platform=self.platform)
        )
        (folder / "anna.pem").write_bytes(examples.private_pem("anna"))
        (folder / "eve.pem").write_bytes(examples.private_pem("eve"))

    def run(self, *args):
        return testing.CliRunner().invoke(main.app, [str(a) for a in args])

    def bundle(self, number, *, name="b", **changes):
        path = self.folder / f"{name}{number}.json"
        document = {**examples.bundle_document(number=number), **changes}
        path.write_text(json.dumps(document))
        return path

    def sign(self, path, name="anna"):
        out = path.with_suffix(".signed.json")
        result = self.run(
            "bundle", "sign", path, "--key", self.folder / f"{name}.pem",
            "--name", name, "--out", out,
        )  # fmt: skip
        assert result.exit_code == 0, result.output
        return out

    def submit(self, path, *args):
        return self.run(
            "bundle", "submit", path, "--platform", self.server.address, *args
        )


@pytest.fixture
def operator(tmp_path):
    made = _Operator(tmp_path)
    yield made
    made.server.stop()


def test_submit_moves_the_head(operator):
    result = operator.submit(operator.sign(operator.bundle(1)), "--json")
    assert (result.exit_code, json.loads(result.output)) == (
        0,
        {"submitted": 1},
    )
    status = operator.run(
        "bundle", "status", "--platform", operator.server.address, "--json"
    )
    assert json.loads(status.output) == {"head": 1, "in_force": {}}


@pytest.mark.parametrize(
    ("number", "signer", "code", "expected_text"),
    [
        (2, "anna", 0, "bundle 2 submitted"),
        (1, "anna", 1, "allowed: above 1"),
        (2, "eve", 1, "too_few_valid_signatures"),
        (2, None, 1, "too_few_valid_signatures"),
    ],
)
def test_second_submission(operator, number, signer, code, expected_text):
    operator.submit(operator.sign(operator.bundle(1)))
    path = operator.bundle(number, note="again")
    result = operator.submit(operator.sign(path, signer) if signer else path)
    assert result.exit_code == code
    assert expected_text in result.output


def test_lost_response_to_submission_is_resolved(operator):
    path = operator.sign(operator.bundle(1))
    transact = operator.platform.transact
    calls = []

    def lose_first_answer(writes):
        calls.append(len(writes))
        operator.platform.faults = fake_platform.Faults(
            lose_answer=1.0 if len(calls) == 1 else 0.0
        )
        answer = transact(writes)
        operator.platform.faults = fake_platform.Faults()
        return answer

    operator.platform.transact = lose_first_answer
    result = operator.submit(path)
    assert (result.exit_code, len(calls)) == (0, 1)


def test_unreachable_platform_gives_a_clear_error(operator):
    path = operator.sign(operator.bundle(1))
    operator.server.stop()
    result = operator.submit(path)
    assert result.exit_code == 3
    assert "did not answer" in result.output
    assert "Traceback" not in result.output


def test_rollback_reissues_old_content_under_a_new_number(operator):
    operator.submit(operator.sign(operator.bundle(1, note="one")))
    changed = examples.bundle_document()["services"]
    changed["lm"]["load_bound"] = 2.0
    operator.submit(operator.sign(operator.bundle(2, services=changed)))
    out = operator.folder / "back.json"
    result = operator.run(
        "bundle", "rollback", "1", "--out", out,
        "--platform", operator.server.address,
    )  # fmt: skip
    assert result.exit_code == 0
    document = json.loads(out.read_text())
    assert document["number"] == 3
    assert document["services"]["lm"]["load_bound"] == 1.25
    assert operator.submit(operator.sign(out)).exit_code == 0


@pytest.mark.parametrize(
    ("args", "code", "expected_text"),
    [
        (("bundle", "check", "{bad}"), 2, "did you mean 'number'"),
        (("bundle", "check", "{missing}"), 2, "cannot read"),
        (("bundle", "check", "{good}"), 0, "bundle 1 is valid"),
        (("bundle", "check", "{good}", "--json"), 0, '"valid": true'),
        (("bundle", "diff", "{good}", "{other}"), 0, "note: '' -> 'x'"),
        (("bundle", "diff", "{good}", "{good}"), 0, "no difference"),
        (("settings", "check", "{good}"), 2, "unknown field"),
        (("bundle", "submit", "{good}", "--platform", "x"), 2, "IP:PORT"),
        (("keys", "new", "--out", "{folder}"), 2, "cannot write"),
        (("keys", "team", "--json"), 0, "key_sha256"),
    ],
)
def test_commands_give_clear_messages(operator, args, code, expected_text):
    good = operator.bundle(1)
    bad = operator.folder / "bad.json"
    bad.write_text(good.read_text().replace('"number"', '"numbr"'))
    names = {
        "{good}": good,
        "{bad}": bad,
        "{other}": operator.bundle(1, name="other", note="x"),
        "{missing}": operator.folder / "missing.json",
        "{folder}": operator.folder,
    }
    result = operator.run(*(names.get(arg, arg) for arg in args))
    assert (result.exit_code, expected_text in result.output) == (code, True), (
        result.output
    )
    assert "Traceback" not in result.output


def test_altered_signed_file_is_rejected(operator):
    signed = operator.sign(operator.bundle(1))
    document = json.loads(signed.read_text())
    document["bundle"]["services"]["lm"]["load_bound"] = 3.0
    signed.write_text(json.dumps(document))
    result = operator.submit(signed)
    assert result.exit_code == 1
    assert "altered after it was signed" in result.output


def test_new_key_is_readable_only_by_its_owner(operator):
    out = operator.folder / "new.pem"
    result = operator.run("keys", "new", "--out", out, "--json")
    assert len(json.loads(result.output)["public_key"]) == 44
    assert out.stat().st_mode & 0o077 == 0
    assert operator.run("keys", "new", "--out", out).exit_code == 2


@pytest.mark.parametrize("command", ["instances", "timeline"])
def test_unresponsive_instance_is_listed(operator, command):
    operator.platform.set_node(
        messages.Node(
            name="espoo-a-1",
            role=messages.NodeRole.INSTANCE,
            state=messages.NodeState.LIVE,
            data_centre="espoo-a",
            address="127.0.0.1:1",
            admin_address="127.0.0.1:1",
        )
    )
    result = operator.run(command, "--platform", operator.server.address)
    assert result.exit_code == 0
    assert "espoo-a-1" in result.output
    assert "no answer" in result.output


@pytest.mark.parametrize(
    ("change", "expected_text"),
    [
        ({"instanse": "x"}, "did you mean 'instance'"),
        ({"listen": "localhost:80"}, "pattern"),
        ({"log_level": "loud"}, "'debug'"),
        ({"operators": {"keys": {"anna": {}}}}, "exactly one of"),
        (
            {"operators": {"keys": {"anna": {"file": "/nope"}}}},
            "cannot read file",
        ),
        (
            {"operators": {"keys": {"anna": {"env": "NOT_THERE"}}}},
            "no variable 'NOT_THERE'",
        ),
    ],
)
def test_settings_errors_name_the_field_and_allowed_values(
    tmp_path, change, expected_text
):
    document = {
        "instance": "espoo-a-1",
        "data_centre": "espoo-a",
        "listen": "127.0.0.1:8000",
        "admin_listen": "127.0.0.1:8001",
        "platform": {"address": "127.0.0.1:7000"},
        "operators": {"keys": {"anna": {"value": "k"}}},
        "peers": {
            "link_listen": "127.0.0.1:8002",
            "relay_listen": "127.0.0.1:8003",
            "secret": {"value": "s"},
        },
        **change,
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(document))
    assert expected_text in str(settings.load(path).unwrap_err())


def test_timeline_page_contains_all_events_and_escapes_scripts():
    recorded = timeline.Timeline(
        clock=clock.HybridClock(process="espoo-a-1", wall=lambda: 5.0)
    )
    recorded.add(timeline.Kind.REQUEST, request="r1", detail="</script><b>x")
    recorded.add(timeline.Kind.SEND, request="r1", engine="s/e0")
    page = timeline_page.render(recorded.events())
    assert page.count("</script>") == 1
    data = page.partition("const events = ")[2].partition(";\nconst")[0]
    decoded = [timeline.decode(item) for item in json.loads(data)]
    assert tuple(decoded) == recorded.events()


_LOG = """
front-1 {"message": "catalog_in_force", "time": 9.5, "instance": "e1", \
"version": 4}
  12.1 front-1 {"message": "send", "time": 10.0, "instance": "e1", \
"request": "r1", "server": "s1"}
no log line at all
{"message": "server_rests", "time": 10.1, "instance": "e1", "server": "s1"}
{"message": "server_rests", "time": 10.1, "instance": "e1", "server": "s2"}
{"message": "store_lost", "time": 10.1, "instance": "e2"}
{"message": "send", "time": 10.2, "instance": "e1", "request": "r2"}
{"message": "answered", "time": 10.4, "instance": "e1", "request": "r1", \
"ended": "unknown_may_have_run"}
""".replace("\\\n", "")


@pytest.mark.parametrize(
    ("request_id", "expected", "code"),
    [
        ("r1", ["catalog_in_force", "send", "server_rests", "answered"], 0),
        ("r2", ["catalog_in_force", "send"], 0),
        ("r3", [], 1),
    ],
)
def test_logs_show_a_requests_lines_and_related_events(
    tmp_path, request_id, expected, code
):
    file = tmp_path / "entry.log"
    file.write_text(_LOG)
    result = testing.CliRunner().invoke(
        main.app, ["logs", request_id, str(file), "--json"]
    )
    assert result.exit_code == code
    if code == 0:
        found = [line["message"] for line in json.loads(result.stdout)]
        assert found == expected


def test_unreadable_log_file_is_bad_input(tmp_path):
    result = testing.CliRunner().invoke(
        main.app, ["logs", "r1", "/no/such/file"]
    )
    assert result.exit_code == 2
