"""What becomes of requests that are about to be rejected."""

import json
import types

import pytest

from irisshelf.catalog import model
from irisshelf.gateway import messages
from irisshelf.gateway.requests import admission as admission_module
from irisshelf.gateway.requests import returning
from irisshelf.gateway.servers import request_fingerprints
from irisshelf.overload import admission
from irisshelf.platform.stand_in import world as world_module
from irisshelf.testing import return_network

_SERVICE = "plain"
_RATE_PER_S = 10.0
_REFUSAL = admission.Refusal(retry_after_s=9.0, wait_s=0.1, max_wait_s=0.3)


def _job(network, *, request_id="r1", body=b"{}", timeout_s=3.0, team="blue"):
    return messages.Job(
        inbound=messages.InboundRequest(
            method="POST",
            target="/valve/1",
            headers=(),
            body=body,
            has_body=True,
            arrived_s=network.now,
        ),
        head=messages.RequestHead(
            request_id=request_id, host="h", path="/valve/1"
        ),
        route=model.Route(
            name="valve",
            host="h",
            path_prefix="/valve/",
            kind=model.RouteKind.SAFE,
            timeout_s=timeout_s,
            latency_target_s=0.6,
            event_gap_target_s=0.1,
            priority=1,
            split=(model.Split(service=_SERVICE, weight=1.0),),
            max_attempts=2,
        ),
        service=_SERVICE,
        team=team,
        priority=1,
        version=1,
        deadline_s=network.now + timeout_s,
    )


class _Fleet:
    """Instances that reject every request, on simulated time."""

    def __init__(self, count=5, rate_per_s=_RATE_PER_S, data_centres="a"):
        self.network = return_network.Network(
            [f"{name}-{n}" for name in data_centres for n in range(count)]
        )
        self.lines = []
        self.insts = [self._inst(i) for i in self.network.instances.values()]
        for inst in self.insts:
            inst.returns.rate_per_s = lambda service, priority: rate_per_s

    def _inst(self, one):
        return types.SimpleNamespace(
            now=lambda: self.network.now,
            metrics=one.metrics,
            returns=one.exchange,
            log=types.SimpleNamespace(request=self._log),
        )

    def _log(self, name, request, **fields):
        self.lines.append((name, fields))

    def reject(self, number, refusal=_REFUSAL, **options):
        job = _job(self.network, **options)
        return returning.resolve(self.insts[number], job, refusal)


def _counts(inst):
    return {
        sample.labels["result"]: sample.value
        for metric in inst.metrics.returns.collect()
        for sample in metric.samples
        if sample.name.endswith("_total")
    }


@pytest.mark.parametrize("other", [0, 1, 4])
def test_a_caller_that_returns_when_it_was_told_is_admitted(other):
    fleet = _Fleet()
    refusal = fleet.reject(0)
    assert refusal.why == _REFUSAL.why
    fleet.network.now += refusal.retry_after_s
    assert fleet.reject(other, request_id="r2") is None
    assert [name for name, _ in fleet.lines] == ["place_given", "place_used"]
    assert _counts(fleet.insts[0])["place_given"] == 1.0
    assert _counts(fleet.insts[other])["place_used"] == 1.0


@pytest.mark.parametrize("remote_s", [0.0, 0.03, 0.06])
def test_a_caller_that_returns_in_another_data_centre_is_admitted(remote_s):
    fleet = _Fleet(count=3, data_centres="ab")
    fleet.network.remote_s = (remote_s, remote_s)
    told_s = fleet.reject(0, timeout_s=30.0).retry_after_s
    # The last instance is in the other data centre.
    fleet.network.advance(remote_s)
    early = fleet.reject(-1, request_id="r2")
    assert early.retry_after_s == pytest.approx(told_s - remote_s, abs=0.05)
    fleet.network.advance(told_s - remote_s)
    assert fleet.reject(-1, request_id="r3") is None
    names = [name for name, _ in fleet.lines]
    assert names == ["place_given", "returned_early", "place_used"]


def test_a_caller_that_returns_in_a_data_centre_cut_off_is_treated_as_new():
    fleet = _Fleet(count=3, data_centres="ab")
    fleet.network.partitioned = {"b"}
    told_s = fleet.reject(0).retry_after_s
    fleet.network.advance(told_s)
    assert fleet.reject(-1, request_id="r2").retry_after_s > 0
    name, fields = fleet.lines[-1]
    assert name == "place_given"
    # No instance has been waited for in vain.
    assert (fields["before"], fields["silent"]) == ("unknown", 0)


def test_a_caller_that_returns_early_again_and_again_gains_nothing():
    fleet = _Fleet(rate_per_s=2.0)
    fleet.reject(0, body=b"other")
    told_s = fleet.reject(0).retry_after_s
    due_s = fleet.network.now + told_s
    for number in range(1, 5):
        fleet.network.now += 0.02
        again = fleet.reject(number)
        assert fleet.network.now + again.retry_after_s == pytest.approx(
            due_s, abs=0.002
        )
        # It has used no reservation: another caller gets the next one.
        assert "place_given" not in _counts(fleet.insts[number])
    assert [name for name, _ in fleet.lines[2:]] == ["returned_early"] * 4
    fleet.network.now = due_s
    assert fleet.reject(3) is None


def test_a_reservation_is_used_once():
    fleet = _Fleet()
    fleet.network.now += fleet.reject(0).retry_after_s
    assert fleet.reject(1) is None
    again = fleet.reject(2)
    assert again.retry_after_s > 0
    name, fields = fleet.lines[-1]
    assert (name, fields["before"]) == ("place_given", "used")


@pytest.mark.parametrize(
    "options",
    [
        pytest.param({"body": b"[]"}, id="other-content"),
        pytest.param({"team": "red"}, id="other-team"),
    ],
)
def test_another_caller_does_not_use_the_reservation(options):
    fleet = _Fleet()
    fleet.network.now += fleet.reject(0).retry_after_s
    assert fleet.reject(1, **options) is not None
    assert fleet.reject(2) is None


@pytest.mark.parametrize(
    ("ahead", "timeout_s", "expected"),
    [
        pytest.param(0, 3.0, "overloaded", id="in-time"),
        pytest.param(0, 0.2, returning.NO_PLACE, id="too-late"),
        # At ten a second, the twelfth caller would wait for more than 1.1 s.
        pytest.param(11, 3.0, returning.NO_PLACE, id="beyond-a-third"),
        pytest.param(11, 9.0, "overloaded", id="patient"),
    ],
)
def test_a_caller_is_told_at_once_that_there_is_no_reservation_in_time(
    ahead, timeout_s, expected
):
    fleet = _Fleet()
    for number in range(ahead):
        fleet.reject(0, body=str(number).encode(), timeout_s=90.0)
    refusal = fleet.reject(0, timeout_s=timeout_s)
    assert refusal.why == expected
    # The next reservation, whether it is the caller's or not.
    assert 0.1 * (1 + ahead) - 0.01 < refusal.retry_after_s
    assert refusal.retry_after_s < 0.1 * (2 + ahead) + 0.01
    kept = sum(inst.returns.kept_count for inst in fleet.insts)
    is_new = expected == "overloaded"
    assert (kept > 0) is (is_new or ahead > 0)
    name = "place_given" if is_new else "no_place_before_deadline"
    assert fleet.lines[-1][0] == name


def test_a_caller_returns_no_sooner_than_the_queue_admits_it():
    # Guards against reservations at which servers are still full.
    fleet = _Fleet()
    refusal = admission.Refusal(retry_after_s=9.0, wait_s=1.2, max_wait_s=0.3)
    told = fleet.reject(0, refusal, timeout_s=30.0)
    assert told.retry_after_s == pytest.approx(0.9)


def test_a_caller_whose_holders_are_gone_loses_only_its_reservation():
    fleet = _Fleet()
    job = _job(fleet.network)
    fingerprint = request_fingerprints.content(job)
    ranked = fleet.network.ranked(fingerprint)
    by_name = dict(zip(fleet.network.instances, fleet.insts, strict=True))
    first = returning.resolve(by_name[ranked[2]], job, _REFUSAL)
    fleet.network.now += first.retry_after_s
    fleet.network.cut = set(ranked[:2])
    again = returning.resolve(by_name[ranked[3]], job, _REFUSAL)
    assert again.retry_after_s > 0
    name, fields = fleet.lines[-1]
    assert name == "place_given"
    assert (fields["before"], fields["silent"]) == ("unknown", 2)


@pytest.mark.parametrize("admitted_per_s", [0, 20, 100])
def test_without_the_fleet_s_rate_it_is_half_of_what_is_admitted(
    admitted_per_s,
):
    network = return_network.Network(["a-1"])
    returns = network.instances["a-1"].exchange
    for number in range(admitted_per_s * 20):
        network.now = 100.0 + number / admitted_per_s
        returns.record_admitted(_SERVICE, 1)
    assert returns.rate_per_s(_SERVICE, 1) == pytest.approx(
        admitted_per_s / 2, rel=0.1
    )


def _resolve_all(inst, job, choice, *, resumes=False):
    """Takes the place of admission control that admits no new request."""
    return returning.resolve(inst, job, _REFUSAL)


def test_the_response_says_that_there_is_no_reservation(world, monkeypatch):
    monkeypatch.setattr(admission_module, "check", _resolve_all)
    world.inst.returns.rate_per_s = lambda service, priority: 0.01
    # The first reservation is within 100 s, of which nobody would wait a third.
    world.inst.returns.assign("lm", 1, remaining_s=300.0)
    answer = world.ask("/query/1", Request_Id="late")
    assert (answer.status, world.runs("late")) == (503, 0)
    assert json.loads(answer.body) == {
        "error": "no_place_before_deadline",
        "outcome": "not_run",
    }
    assert float(answer.headers["retry-after"]) > 1.0


def test_a_caller_that_returns_in_time_is_served(world, monkeypatch):
    monkeypatch.setattr(admission_module, "check", _resolve_all)
    world.inst.returns.rate_per_s = lambda service, priority: 1000.0
    answer = world.ask("/query/1", Request_Id="first")
    assert (answer.status, world.runs("first")) == (503, 0)
    assert float(answer.headers["retry-after"]) == pytest.approx(0.1, abs=0.02)
    # As if its time had come.
    inst = world.inst
    for fingerprint in list(inst.returns._kept._found):
        inst.returns._kept._found[fingerprint].due_s = inst.now()
    assert world.ask("/query/1", Request_Id="second").status == 200
    assert world.runs("second") == 1


@pytest.mark.parametrize("data_centres", [("a", "a"), ("a", "b")])
def test_nothing_is_sent_or_kept_while_nothing_is_rejected(data_centres):
    world = world_module.World(data_centres=data_centres)
    try:
        for number in range(5):
            assert world.ask(f"/query/{number}").status == 200
        for entry in world.entries:
            assert entry.inst.returns.kept_count == 0
            assert entry.inst.metrics.return_bytes._value.get() == 0
        assert world.inst.returns.rate_per_s("lm", 1) > 0
    finally:
        world.close()


@pytest.mark.parametrize(
    ("after_s", "expected"),
    [
        pytest.param(0.0, "EARLY", id="early"),
        pytest.param(0.9, "DUE", id="due"),
        pytest.param(1.05, None, id="none-rejected-since"),
    ],
)
def test_reservations_are_looked_for_only_while_requests_are_rejected(
    after_s, expected
):
    fleet = _Fleet(count=1)
    inst, job = fleet.insts[0], _job(fleet.network)
    assert returning.recognise(inst, job) is None
    due_s = fleet.network.now + fleet.reject(0).retry_after_s
    assert due_s < fleet.network.now + 0.25
    fleet.network.now += after_s
    claim = returning.recognise(inst, job)
    assert (claim.state.name if claim else None) == expected


@pytest.mark.parametrize(
    ("after_s", "name"), [(0.0, "returned_early"), (0.9, "place_used")]
)
def test_what_was_recognised_is_not_looked_for_again(after_s, name):
    # Guards against a reservation that is due and is then taken for used.
    fleet = _Fleet(count=1)
    inst, job = fleet.insts[0], _job(fleet.network)
    fleet.reject(0)
    fleet.network.now += after_s
    claim = returning.recognise(inst, job)
    refusal = returning.resolve(inst, job, _REFUSAL, claim=claim)
    assert (refusal is None) is (name == "place_used")
    assert fleet.lines[-1][0] == name
