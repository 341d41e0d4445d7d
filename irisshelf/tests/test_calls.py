"""Calls through an instance's front to stand-ins, with faults between."""

import json
import random

import gevent
import pytest
import result

from irisshelf import boottime
from irisshelf.bundle import schema
from irisshelf.coordination import claim
from irisshelf.overload import service_time
from irisshelf.store import messages
from irisshelf.testing import engine
from irisshelf.testing import faulty
from irisshelf.testing import harness
from irisshelf.testing import platform as fake_platform
from irisshelf.testing import service
from irisshelf.tests import examples

_KEY = examples.TEAM_KEY
_FAULT = faulty.Fault


class _Fleet:
    """Two instances, two engine servers, two plain servers."""

    def __init__(self, *, token_s=0.0005, **service_cfg):
        self.engines = [
            engine.FakeEngineServer(
                engines=("e0",), cfg=engine.EngineConfig(token_s=token_s)
            )
            for _ in range(2)
        ]
        self.plain = [service.FakeService(delay_s=0.001) for _ in range(2)]
        self.faulty = [
            faulty.Faulty(
                app=app, plan=faulty.Plan(share=0.0), rng=random.Random(1)
            )
            for app in (*self.engines, *self.plain)
        ]
        self.servers = [harness.Server(app=app) for app in self.faulty]
        self.platform = fake_platform.FakePlatform(
            clock=boottime.now, rng=random.Random(2), sleep=gevent.sleep
        )
        bundle = self._bundle(service_cfg)
        self.instances = [
            harness.Instance(
                name=f"i{i}", platform=self.platform, bundle=bundle, seed=i
            )
            for i in range(2)
        ]

    def _bundle(self, service_cfg) -> schema.Bundle:
        document = examples.bundle_document()
        document["services"]["lm"]["timeouts"] = {"idle_s": 0.5}
        document["services"]["crew"]["timeouts"] = {"idle_s": 0.5}
        document["services"]["crew"].update(service_cfg)
        document["backend_servers"] = {
            f"s{i}": {
                "service": "lm" if i < 2 else "crew",
                "data_centre": "espoo-a",
                "address": server.address,
                "engines": ["e0"] if i < 2 else [],
            }
            for i, server in enumerate(self.servers)
        }
        return schema.Bundle.model_validate(document)

    def break_all(self, *faults: faulty.Fault) -> None:
        for app in self.faulty:
            app.plan = faulty.Plan(share=1.0, faults=faults)

    def chat(self, marker="m", *, stream=True, headers=None, **kwargs):
        body = {
            "model": "lm",
            "messages": [{"role": "user", "content": f"{marker} please"}],
            "max_tokens": 5,
            "stream": stream,
        }
        return self.instances[0].call(
            "POST",
            "/v1/chat/completions",
            key=_KEY,
            body=json.dumps(body).encode(),
            headers=headers,
            **kwargs,
        )

    def alarm(self, key, *, instance=0):
        return self.instances[instance].call(
            "POST",
            f"/services/crew/alarms/{key}",
            key=_KEY,
            body=b"burst",
            headers={"Idempotency-Key": key},
        )

    def runs_of(self, key) -> int:
        runs = [run for app in self.plain for run in app.runs]
        return sum(run.key == key for run in runs)

    def model_runs(self) -> int:
        return sum(
            len(e.runs) for s in self.engines for e in s.engines.values()
        )

    def stop(self):
        for instance in self.instances:
            instance.stop()
        for server in self.servers:
            server.stop()


@pytest.fixture
def fleet():
    made = []

    def make(**kwargs):
        made.append(_Fleet(**kwargs))
        return made[-1]

    yield make
    for item in made:
        item.stop()


@pytest.mark.parametrize(
    ("method", "path", "key", "body", "status", "part"),
    [
        ("POST", "/v1/chat/completions", "", b"{}", 401, "bearer"),
        ("POST", "/v1/chat/completions", "wrong", b"{}", 401, "bearer"),
        ("GET", "/services/crew/x", "wrong", b"", 401, "bearer"),
        ("GET", "/v1/chat/completions", _KEY, b"", 405, "allowed: POST"),
        ("GET", "/nope", _KEY, b"", 404, "'/nope'"),
        ("GET", "/services/nope/x", _KEY, b"", 404, "allowed: ['crew']"),
        ("GET", "/services/lm/x", _KEY, b"", 404, "allowed: ['crew']"),
        ("POST", "/v1/chat/completions", _KEY, b"{", 400, "no JSON"),
        ("POST", "/v1/chat/completions", _KEY, b"[]", 400, "an object"),
        (
            "POST", "/v1/chat/completions", _KEY, b'{"model":"gpt"}', 400,
            "allowed: ['lm']",
        ),
        (
            "POST", "/v1/chat/completions", _KEY, b'{"model":"lm"}', 400,
            "messages is a NoneType",
        ),
        (
            "POST", "/v1/chat/completions", _KEY,
            b'{"model":"lm","messages":[1]}', 400, "messages.0 is a int",
        ),
        (
            "POST", "/v1/chat/completions", _KEY,
            b'{"model":"lm","messages":[{"role":1}]}', 400, "messages.0.role",
        ),
        (
            "POST", "/v1/chat/completions", _KEY, b"x" * 4_194_305, 413,
            "allowed: 4194304",
        ),
    ],
)  # fmt: skip
def test_bad_requests_are_refused_and_reach_no_back_end(
    fleet, method, path, key, body, status, part
):
    made = fleet()
    got = made.instances[0].call(method, path, key=key, body=body)
    assert got.status == status
    assert part in got.json()["error"]["message"]
    assert got.outcome == "not_run"
    assert made.model_runs() == 0
    assert not any(app.runs for app in made.plain)


@pytest.mark.parametrize("stream", [True, False])
def test_a_model_call_gets_its_whole_answer(fleet, stream):
    got = fleet().chat(stream=stream)
    assert got.status == 200
    if stream:
        assert got.body.count(b'"content":"m "') == 5
        assert got.body.endswith(b"data: [DONE]\n\n")
    else:
        message = got.json()["choices"][0]["message"]["content"]
        assert message == "m " * 5
        assert got.json()["usage"]["completion_tokens"] == 5


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize(
    "fault",
    [_FAULT.CUT_MIDWAY, _FAULT.CROSSED, _FAULT.GAP, _FAULT.GARBLED],
)
def test_a_spoilt_answer_is_made_whole_or_told_honestly(fleet, fault, stream):
    made = fleet()
    made.break_all(fault)
    got = made.chat(stream=stream)
    if got.status == 200 and not stream:
        message = got.json()["choices"][0]["message"]["content"]
        assert message == "m " * 5
    elif got.status == 200:
        whole = got.body.endswith(b"data: [DONE]\n\n")
        assert whole == (got.body.count(b'"content":"m "') == 5)
        assert whole or b"event: error" in got.body
    else:
        assert got.outcome == "unknown"


@pytest.mark.parametrize("stream", [True, False])
def test_doubled_parts_of_an_answer_are_dropped(fleet, stream):
    made = fleet()
    made.break_all(_FAULT.DOUBLED)
    got = made.chat(stream=stream)
    assert got.status == 200
    assert got.body.count(b"m ") == 5


def test_a_stream_that_is_cut_is_resumed_at_its_offset(fleet):
    made = fleet(token_s=0.01)
    cut_once = made.faulty[:2]
    for app in cut_once:
        app.plan = faulty.Plan(share=1.0, faults=(_FAULT.CUT_MIDWAY,))

    def heal():
        gevent.sleep(0.005)
        for app in cut_once:
            app.plan = faulty.Plan(share=0.0)

    gevent.spawn(heal)
    got = made.chat()
    assert got.body.endswith(b"data: [DONE]\n\n")
    assert got.body.count(b'"content":"m "') == 5
    assert made.model_runs() == 1


def test_a_caller_that_goes_away_cancels_its_stream(fleet):
    made = fleet(token_s=0.05)
    made.chat(read_parts=1)
    engines = [e for s in made.engines for e in s.engines.values()]
    assert harness.wait_for(lambda: sum(e.cancelled for e in engines) == 1)
    assert made.instances[0].node.open_requests == 0
    assert harness.wait_for(
        lambda: made.instances[0].node.services["lm"].totals().work == 0
    )


@pytest.mark.parametrize("stream", [True, False])
def test_a_draining_server_gets_no_work_and_another_serves(fleet, stream):
    made = fleet()
    made.engines[0].draining = True
    for number in range(6):
        got = made.chat(f"m{number}", stream=stream)
        assert got.status == 200
    first = made.engines[0].engines["e0"]
    assert not first.runs
    assert made.instances[0].node.health.state("s0") == "leaving"


def test_when_no_server_is_there_the_refusal_is_true(fleet):
    made = fleet()
    for server in made.servers:
        server.stop()
    got = made.chat()
    assert (got.status, got.outcome) == (503, "not_run")
    assert int(got.headers["retry-after"]) >= 1
    assert made.alarm("k").outcome == "not_run"


def test_a_key_runs_once_and_its_repeat_gets_the_first_answer(fleet):
    made = fleet()
    first = made.alarm("k")
    assert first.status == 200
    assert harness.wait_for(lambda: made.alarm("k", instance=1).status == 200)
    again = made.alarm("k", instance=1)
    assert again.body == first.body
    assert again.headers["idempotency-replayed"] == "true"
    assert made.runs_of("k") == 1


def test_one_key_asked_many_times_at_once_runs_once(fleet):
    made = fleet()
    asked = [gevent.spawn(made.alarm, "k", instance=i % 2) for i in range(10)]
    gevent.joinall(asked)
    assert made.runs_of("k") == 1
    statuses = sorted(item.value.status for item in asked)
    assert statuses[0] == 200
    assert set(statuses) <= {200, 409}


@pytest.mark.parametrize(
    ("faults", "outcomes"),
    [
        (fake_platform.Faults(down=True), {"not_run"}),
        (fake_platform.Faults(lose_request=1.0), {"not_run"}),
        (fake_platform.Faults(max_writes_per_s=0.001), {"not_run"}),
        (fake_platform.Faults(lose_answer=0.5), {"", "not_run"}),
    ],
)
def test_without_a_claim_nothing_runs_and_with_one_it_runs_once(
    fleet, faults, outcomes
):
    made = fleet()
    made.platform.faults = faults
    for number in range(8):
        key = f"k{number}"
        got = made.alarm(key)
        assert got.outcome in outcomes
        assert made.runs_of(key) == (got.status == 200)


def test_a_bundle_may_let_calls_run_without_a_claim(fleet):
    made = fleet(without_platform="run_unclaimed")
    made.platform.faults = fake_platform.Faults(down=True)
    assert made.alarm("k").status == 200
    assert made.runs_of("k") == 1


def test_a_claim_whose_call_did_not_run_is_released(fleet):
    made = fleet()
    for app in made.plain:
        app.draining = True
    assert made.alarm("k").outcome == "not_run"
    for app in made.plain:
        app.draining = False
    for instance in made.instances:
        for name in ("s2", "s3"):
            instance.node.health._servers.pop(name, None)
            instance.node.services["crew"].refresh(name)
    assert harness.wait_for(lambda: made.alarm("k").status == 200)
    assert made.runs_of("k") == 1


@pytest.mark.parametrize("fault", [_FAULT.CUT_AFTER, _FAULT.CROSSED])
def test_a_call_that_may_have_run_is_not_sent_again(fleet, fault):
    made = fleet()
    made.break_all(fault)
    got = made.alarm("k")
    assert (got.status, got.outcome) == (502, "unknown")
    assert made.runs_of("k") == 1
    made.break_all()
    for app in made.faulty:
        app.plan = faulty.Plan(share=0.0)
    again = made.alarm("k", instance=1)
    assert (again.status, again.outcome) == (409, "unknown")
    assert made.runs_of("k") == 1


def test_claims_made_at_once_share_writes(fleet):
    made = fleet()
    made.platform.faults = fake_platform.Faults(delay_s=0.02)
    asked = [gevent.spawn(made.alarm, f"k{i}") for i in range(50)]
    gevent.joinall(asked)
    assert all(item.value.status == 200 for item in asked)
    assert made.instances[0].node.claims.writes < 20


def test_a_surging_team_is_refused_early_and_told_when_to_come_back(fleet):
    made = fleet(token_s=0.2)
    router = made.instances[0].node.services["lm"]
    router.admission.configure(limit=1, shares={"team-a": 1.0})
    router.admission._service_time = service_time.ServiceTime(
        initial_s=60.0, weight=0.1
    )
    running = gevent.spawn(made.chat)
    gevent.sleep(0.02)
    got = made.chat("n")
    assert (got.status, got.outcome) == (429, "not_run")
    assert int(got.headers["retry-after"]) >= 1
    running.kill()


@pytest.mark.parametrize("length", [256, 1000])
def test_a_key_that_is_too_long_is_refused(fleet, length):
    got = fleet().alarm("k" * length)
    assert got.status == 400
    assert (
        f"{length} characters, allowed: 255" in got.json()["error"]["message"]
    )


def test_a_repeat_is_never_given_a_part_of_a_long_answer():
    step = claim.after_read(
        claim.Claim(row="r", claim_id="b"),
        _ok_row({"id": "a", "state": "claimed"}),
    )
    assert step == claim.Duplicate(
        claim=claim.Claim(row="r", claim_id="b"), recorded=None
    )


def _ok_row(value):
    return result.Ok(messages.Row(key="r", value=value, version=1))
