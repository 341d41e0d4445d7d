"""The command-line tool and settings, as operators use them."""

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


class _Desk:
    """An operator's folder and a platform."""

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
        done = self.run(
            "bundle", "sign", path, "--key", self.folder / f"{name}.pem",
            "--name", name, "--out", out,
        )  # fmt: skip
        assert done.exit_code == 0, done.output
        return out

    def submit(self, path, *args):
        return self.run(
            "bundle", "submit", path, "--platform", self.server.address, *args
        )


@pytest.fixture
def desk(tmp_path):
    made = _Desk(tmp_path)
    yield made
    made.server.stop()


def test_a_bundle_goes_in_and_the_head_moves(desk):
    done = desk.submit(desk.sign(desk.bundle(1)), "--json")
    assert (done.exit_code, json.loads(done.output)) == (0, {"submitted": 1})
    status = desk.run(
        "bundle", "status", "--platform", desk.server.address, "--json"
    )
    assert json.loads(status.output) == {"head": 1, "in_force": {}}


@pytest.mark.parametrize(
    ("number", "signer", "code", "part"),
    [
        (2, "anna", 0, "bundle 2 submitted"),
        (1, "anna", 1, "allowed: above 1"),
        (2, "eve", 1, "too_few_valid_signatures"),
        (2, None, 1, "too_few_valid_signatures"),
    ],
)
def test_a_second_submission(desk, number, signer, code, part):
    desk.submit(desk.sign(desk.bundle(1)))
    path = desk.bundle(number, note="again")
    done = desk.submit(desk.sign(path, signer) if signer else path)
    assert done.exit_code == code
    assert part in done.output


def test_a_lost_answer_is_settled(desk):
    path = desk.sign(desk.bundle(1))
    transact = desk.platform.transact
    calls = []

    def lossy(writes):
        calls.append(len(writes))
        desk.platform.faults = fake_platform.Faults(
            lose_answer=1.0 if len(calls) == 1 else 0.0
        )
        answer = transact(writes)
        desk.platform.faults = fake_platform.Faults()
        return answer

    desk.platform.transact = lossy
    done = desk.submit(path)
    assert (done.exit_code, len(calls)) == (0, 1)


def test_a_dead_platform_is_a_clear_error(desk):
    path = desk.sign(desk.bundle(1))
    desk.server.stop()
    done = desk.submit(path)
    assert done.exit_code == 3
    assert "did not answer" in done.output
    assert "Traceback" not in done.output


def test_a_rollback_is_a_new_number_with_old_content(desk):
    desk.submit(desk.sign(desk.bundle(1, note="one")))
    changed = examples.bundle_document()["services"]
    changed["lm"]["load_bound"] = 2.0
    desk.submit(desk.sign(desk.bundle(2, services=changed)))
    out = desk.folder / "back.json"
    done = desk.run(
        "bundle", "rollback", "1", "--out", out,
        "--platform", desk.server.address,
    )  # fmt: skip
    assert done.exit_code == 0
    document = json.loads(out.read_text())
    assert document["number"] == 3
    assert document["services"]["lm"]["load_bound"] == 1.25
    assert desk.submit(desk.sign(out)).exit_code == 0


@pytest.mark.parametrize(
    ("args", "code", "part"),
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
def test_commands_tell_clearly(desk, args, code, part):
    good = desk.bundle(1)
    bad = desk.folder / "bad.json"
    bad.write_text(good.read_text().replace('"number"', '"numbr"'))
    names = {
        "{good}": good,
        "{bad}": bad,
        "{other}": desk.bundle(1, name="other", note="x"),
        "{missing}": desk.folder / "missing.json",
        "{folder}": desk.folder,
    }
    done = desk.run(*(names.get(arg, arg) for arg in args))
    assert (done.exit_code, part in done.output) == (code, True), done.output
    assert "Traceback" not in done.output


def test_an_altered_signed_file_is_refused(desk):
    signed = desk.sign(desk.bundle(1))
    document = json.loads(signed.read_text())
    document["bundle"]["services"]["lm"]["load_bound"] = 3.0
    signed.write_text(json.dumps(document))
    done = desk.submit(signed)
    assert done.exit_code == 1
    assert "altered after it was signed" in done.output


def test_a_new_key_is_readable_by_its_owner_alone(desk):
    out = desk.folder / "new.pem"
    done = desk.run("keys", "new", "--out", out, "--json")
    assert len(json.loads(done.output)["public_key"]) == 44
    assert out.stat().st_mode & 0o077 == 0
    assert desk.run("keys", "new", "--out", out).exit_code == 2


@pytest.mark.parametrize("command", ["instances", "timeline"])
def test_an_instance_that_does_not_answer_is_named(desk, command):
    desk.platform.set_node(
        messages.Node(
            name="espoo-a-1",
            role=messages.NodeRole.INSTANCE,
            state=messages.NodeState.LIVE,
            data_centre="espoo-a",
            address="127.0.0.1:1",
            admin_address="127.0.0.1:1",
        )
    )
    done = desk.run(command, "--platform", desk.server.address)
    assert done.exit_code == 0
    assert "espoo-a-1" in done.output
    assert "no answer" in done.output


@pytest.mark.parametrize(
    ("change", "part"),
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
def test_settings_errors_name_field_and_what_is_allowed(tmp_path, change, part):
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
    assert part in str(settings.load(path).unwrap_err())


def test_the_page_of_the_time_line_holds_every_event_and_no_script_of_theirs():
    made = timeline.Timeline(
        clock=clock.HybridClock(process="espoo-a-1", wall=lambda: 5.0)
    )
    made.add(timeline.Kind.REQUEST, request="r1", detail="</script><b>x")
    made.add(timeline.Kind.SEND, request="r1", engine="s/e0")
    page = timeline_page.render(made.events())
    assert page.count("</script>") == 1
    data = page.partition("const events = ")[2].partition(";\nconst")[0]
    decoded = [timeline.decode(item) for item in json.loads(data)]
    assert tuple(decoded) == made.events()


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
def test_logs_tell_a_requests_story(tmp_path, request_id, expected, code):
    file = tmp_path / "entry.log"
    file.write_text(_LOG)
    ran = testing.CliRunner().invoke(
        main.app, ["logs", request_id, str(file), "--json"]
    )
    assert ran.exit_code == code
    if code == 0:
        found = [line["message"] for line in json.loads(ran.stdout)]
        assert found == expected


def test_logs_that_cannot_be_read_are_named(tmp_path):
    ran = testing.CliRunner().invoke(main.app, ["logs", "r1", "/no/such/file"])
    assert ran.exit_code == 2
