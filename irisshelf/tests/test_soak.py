"""The soak: its checker finds what is planted; two runs of real processes."""

import dataclasses
import hashlib
import json
import math
import pathlib
import random
import socket
import types

import gevent
import pytest

from irisshelf.testing import ports
from soak import checker
from soak import crash_checks
from soak import crashing
from soak import faults
from soak import main
from soak import observations
from soak import plan
from soak import run as run_module
from soak import server_faults
from soak import stream_checks

_KIND = observations.RequestKind
_PROMISE = checker.Promise
# All kinds of faults but those of hard load and of extremes.
_KINDS = tuple(
    k for k in plan.Kind if k not in (*plan.HARD_KINDS, *plan.EXTREME_KINDS)
)
_BOUNDS = checker.Bounds(key_s=5.0, left_s=2.5)
_STREAM = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"


def _extremes_keys(seed):
    """Returns the lists of keys that an injector writes, one after another."""
    written = []
    served = types.SimpleNamespace(
        put=lambda *row: written.append(row[2]),
        forget_history=lambda: None,
    )
    injector = faults.Injector(seed=seed, served=served, servers=[], links=[])
    for variant in ("no_keys", "null", "no_teams"):
        fault = plan.Fault(
            at_s=0.0,
            kind=plan.Kind.LAST_KEY,
            target=0,
            for_s=0.01,
            variant=variant,
        )
        injector.inject(fault)
        gevent.sleep(0.05)
    return injector, [document["tenants"] for document in written]


def _asked(**changes):
    asked = observations.Asked(
        request_id="r1",
        kind=_KIND.UNSAFE,
        key="k",
        instance=0,
        sent_s=100.0,
        deadline_s=2.0,
        ended_s=100.1,
        status=200,
        whole=True,
        body=b"answer to r1",
        signature="s",
    )
    return dataclasses.replace(asked, **changes)


_POISON = _asked(kind=_KIND.STREAM, status=502, body=b"", crashing=True)


def _ran(server="s1", request="r1", *, number=0, at_s=0.0, far=False):
    return observations.Ran(
        request_id=request, server_id=server, at_s=at_s, server=number, far=far
    )


def _several(count, within_s):
    """Runs of one safe request at server 3, from second 100 on."""
    return [
        _ran(at_s=100.0 + n * within_s / count, number=3) for n in range(count)
    ]


def _lagged(from_s, to_s):
    return (observations.Span(target=0, from_s=from_s, to_s=to_s),)


def _check(asked, ran, **more):
    record = observations.Record(
        **{
            "asked": (asked,),
            "ran": tuple(ran),
            "withdrawn": {},
            "left": {},
            "disturbed": (),
            "stopped": (),
            "events": 2,
            **more,
        }
    )
    return {v.promise for v in checker.check(record, _BOUNDS)}


_SPAN = (observations.Span(target=0, from_s=99.0, to_s=101.0),)
_SAFE = _asked(kind=_KIND.SAFE)


def _since(from_s, target=0):
    return (observations.Span(target=target, from_s=from_s, to_s=120.0),)


@pytest.mark.parametrize(
    ("asked", "ran", "more", "broken"),
    [
        pytest.param(_asked(), [_ran()], {}, None, id="well"),
        pytest.param(
            _asked(body=b"answer to r2"), [_ran()], {}, _PROMISE.WHOLE, id="mix"
        ),
        pytest.param(
            _asked(signature=""), [_ran()], {}, _PROMISE.WHOLE, id="unsigned"
        ),
        pytest.param(_asked(), [], {}, _PROMISE.WHOLE, id="from-nowhere"),
        pytest.param(
            _asked(kind=_KIND.STREAM, body=_STREAM[:21]),
            [_ran()],
            {},
            _PROMISE.WHOLE,
            id="cut-looks-whole",
        ),
        pytest.param(
            _asked(kind=_KIND.RESUMABLE, body=_STREAM[21:], whole=False),
            [_ran()],
            {},
            _PROMISE.WHOLE,
            id="gap",
        ),
        pytest.param(
            _asked(), [_ran(), _ran("s2")], {}, _PROMISE.ONCE, id="twice"
        ),
        pytest.param(
            _asked(kind=_KIND.SAFE), [_ran(), _ran("s2")], {}, None, id="safe"
        ),
        pytest.param(
            _asked(status=503, body=b""),
            [_ran()],
            {},
            _PROMISE.NOT_RUN,
            id="refused-yet-ran",
        ),
        pytest.param(
            _asked(status=502, body=b""), [_ran()], {}, None, id="unknown"
        ),
        pytest.param(
            _asked(),
            [_ran()],
            {"withdrawn": {"k": 94.0}},
            _PROMISE.KEY,
            id="late-key",
        ),
        pytest.param(
            _asked(), [_ran()], {"withdrawn": {"k": 96.0}}, None, id="key"
        ),
        pytest.param(
            _asked(), [_ran()], {"left": {"s1": 97.0}}, _PROMISE.LEFT, id="left"
        ),
        pytest.param(
            _asked(), [_ran()], {"left": {"s1": 98.0}}, None, id="leaving"
        ),
        pytest.param(
            _asked(),
            [_ran()],
            {"left": {"s1": 90.0}, "lagged": _lagged(95.0, 105.0)},
            _PROMISE.LEFT,
            id="left-before-the-list-lagged",
        ),
        pytest.param(
            _asked(),
            [_ran()],
            {"left": {"s1": 96.0}, "lagged": _lagged(95.0, 105.0)},
            None,
            id="left-while-the-list-lagged",
        ),
        pytest.param(
            _asked(),
            [_ran()],
            {"left": {"s1": 94.0}, "lagged": _lagged(95.0, 105.0)},
            None,
            id="left-just-before-the-list-lagged",
        ),
        pytest.param(
            _asked(),
            [_ran()],
            {"left": {"s1": 93.0}, "lagged": _lagged(92.0, 99.0)},
            _PROMISE.LEFT,
            id="used-after-the-list-lagged",
        ),
        pytest.param(
            _asked(),
            [_ran()],
            {"left": {"s1": 97.0}, "lagged": _lagged(90.0, 95.0)},
            _PROMISE.LEFT,
            id="left-after-the-list-lagged",
        ),
        pytest.param(
            _asked(),
            [_ran()],
            {"left": {"s1": 97.0}, "disturbed": _SPAN},
            None,
            id="left-out-of-touch",
        ),
        pytest.param(
            _asked(ended_s=103.0), [_ran()], {}, _PROMISE.TIME, id="too-late"
        ),
        pytest.param(
            dataclasses.replace(_POISON, kind=_KIND.RESUMABLE),
            [_ran(s) for s in "1234"],
            {"ends_s": (90.0, 95.0, 96.0)},
            _PROMISE.CRASHES,
            id="sent-on-after-three-ends",
        ),
        pytest.param(
            dataclasses.replace(_POISON, kind=_KIND.RESUMABLE),
            [_ran(s) for s in "123"],
            {"ends_s": (90.0, 95.0, 96.0)},
            None,
            id="sent-on-three-times",
        ),
        pytest.param(
            dataclasses.replace(_POISON, kind=_KIND.RESUMABLE),
            [_ran(s) for s in "1234"],
            {"ends_s": (90.0, 95.0, 97.1)},
            None,
            id="not-known-for-long",
        ),
        pytest.param(
            dataclasses.replace(_POISON, kind=_KIND.RESUMABLE),
            [_ran(s) for s in "1234"],
            {"ends_s": (90.0, 95.0, 96.0), "disturbed": _SPAN},
            None,
            id="sent-on-out-of-touch",
        ),
        pytest.param(
            _asked(status=503, calm=True),
            [],
            {},
            _PROMISE.SERVED,
            id="refused-in-calm",
        ),
        pytest.param(
            _asked(status=0, whole=False, body=b""),
            [_ran()],
            {"stopped": _SPAN},
            _PROMISE.STOP,
            id="cut-by-a-stop",
        ),
        pytest.param(
            _asked(), [_ran(), _ran(request="x")], {}, _PROMISE.UNASKED, id="x"
        ),
        pytest.param(
            _asked(),
            [_ran(far=True)],
            {"evacuated": _since(97.0)},
            _PROMISE.EVACUATED,
            id="sent-into-an-evacuated-data-centre",
        ),
        pytest.param(
            _asked(),
            [_ran(far=True)],
            {"evacuated": _since(98.0)},
            None,
            id="evacuated-just-now",
        ),
        pytest.param(
            _asked(),
            [_ran()],
            {"evacuated": _since(97.0)},
            None,
            id="sent-elsewhere",
        ),
        pytest.param(
            _asked(),
            [_ran(far=True)],
            {"evacuated": _since(97.0), "disturbed": _SPAN},
            None,
            id="evacuated-out-of-touch",
        ),
        pytest.param(
            _SAFE,
            _several(9, within_s=1.0),
            {"cold": _since(99.0, 3)},
            _PROMISE.COLD,
            id="nine-in-a-second-at-a-cold-server",
        ),
        pytest.param(
            _SAFE,
            _several(8, within_s=1.0),
            {"cold": _since(99.0, 3)},
            None,
            id="eight-in-a-second-at-a-cold-server",
        ),
        pytest.param(
            _SAFE,
            _several(16, within_s=2.0),
            {"cold": _since(99.0, 3)},
            None,
            id="eight-in-every-second-at-a-cold-server",
        ),
        pytest.param(
            _SAFE,
            _several(9, within_s=1.0),
            {"cold": _since(99.0, 4)},
            None,
            id="nine-at-a-warm-server",
        ),
        pytest.param(
            _SAFE,
            _several(9, within_s=1.0),
            {"cold": _since(99.0, 3), "unlisted": _SPAN},
            None,
            id="the-store-had-lost-that-it-is-cold",
        ),
        pytest.param(
            _SAFE,
            _several(9, within_s=1.0),
            {"cold": _since(99.0, 3), "disturbed": _SPAN},
            _PROMISE.COLD,
            id="cold-counts-out-of-touch-too",
        ),
        pytest.param(
            _asked(key="x"),
            [_ran()],
            {"keys": frozenset({"k"})},
            _PROMISE.HELD,
            id="key-never-valid",
        ),
        pytest.param(
            _asked(key=""),
            [_ran()],
            {"keys": frozenset({"k"})},
            _PROMISE.HELD,
            id="no-key",
        ),
        pytest.param(
            _asked(key="", public=True),
            [_ran()],
            {"keys": frozenset({"k"})},
            None,
            id="public-route",
        ),
        pytest.param(
            _asked(),
            [_ran()],
            {"keys": frozenset({"k"}), "peaks_bytes": (1, 10**9)},
            _PROMISE.MEMORY,
            id="memory",
        ),
    ],
)
def test_the_checker_finds_what_is_planted(asked, ran, more, broken):
    assert _check(asked, ran, **more) == ({broken} if broken else set())


def test_keys_are_withdrawn_to_the_last_one_and_others_issued():
    """Guards against a soak in which some key is always left."""
    injector, tenants = _extremes_keys(plan.EXTREMES_FROM)
    assert tenants[::2] == [
        [{"name": "blue", "apiKeys": []}],
        [{"name": "blue", "apiKeys": None}],
        [],
    ]
    for issued in tenants[1::2]:
        assert set(issued[0]["apiKeys"]) <= injector.issued
    assert not set(injector.keys) & injector.withdrawn.keys()
    assert set(injector.keys) | injector.withdrawn.keys() == injector.issued


def test_a_seed_always_draws_the_same_faults():
    assert plan.draw(7) == plan.draw(7)
    assert plan.draw(7) != plan.draw(8)


@pytest.mark.parametrize(
    "seed",
    [
        *range(0, 40, 4),
        *range(plan.EXTREMES_FROM, plan.EXTREMES_FROM + 40, 4),
    ],
)
def test_planned_seeds_have_planned_work_alone(seed):
    trouble = {
        plan.Kind.KILL,
        plan.Kind.PAUSE,
        plan.Kind.STORE,
        plan.Kind.ENDLESS_SERVER,
        plan.Kind.ENDLESS_CALLER,
    }
    assert not trouble & {fault.kind for fault in plan.draw(seed)}


@pytest.mark.parametrize(
    ("first", "instances", "kinds"),
    [
        (0, plan.INSTANCES, plan.SMALL_KINDS),
        (0, 10, (*plan.SMALL_KINDS, *plan.WIDE_KINDS)),
        (
            plan.FURTHER_FROM,
            10,
            tuple(
                k
                for k in _KINDS
                if k
                not in (
                    *plan.REPORT_KINDS,
                    *plan.OUTDATED_KINDS,
                    *plan.PARTITION_KINDS,
                    plan.Kind.VERSION,
                    plan.Kind.HERD,
                )
            ),
        ),
        (
            plan.REPORTS_FROM,
            10,
            tuple(
                k
                for k in _KINDS
                if k
                not in (
                    *plan.OUTDATED_KINDS,
                    *plan.PARTITION_KINDS,
                    plan.Kind.VERSION,
                    plan.Kind.HERD,
                )
            ),
        ),
        (
            plan.OUTDATED_FROM,
            10,
            tuple(
                k
                for k in _KINDS
                if k
                not in (
                    *plan.PARTITION_KINDS,
                    plan.Kind.VERSION,
                    plan.Kind.HERD,
                )
            ),
        ),
        (
            plan.PARTITIONS_FROM,
            10,
            tuple(
                k
                for k in _KINDS
                if k not in (plan.Kind.VERSION, plan.Kind.HERD)
            ),
        ),
        (
            plan.VERSIONS_FROM,
            10,
            tuple(k for k in _KINDS if k is not plan.Kind.HERD),
        ),
        (
            plan.SIZE_FROM,
            24,
            _KINDS,
        ),
        (
            plan.HARD_FROM,
            3,
            (*plan.HARD_KINDS, plan.Kind.KILL, plan.Kind.TERM, plan.Kind.HUP),
        ),
        (
            plan.EXTREMES_FROM,
            3,
            (
                *plan.EXTREME_KINDS,
                plan.Kind.KILL,
                plan.Kind.TERM,
                plan.Kind.HUP,
                plan.Kind.SERVER_LEAVES,
                plan.Kind.CONFIGURATION,
                plan.Kind.WITHDRAW_KEY,
                plan.Kind.STORE_LINK,
            ),
        ),
        (
            plan.ENDINGS_FROM,
            3,
            (
                plan.Kind.SERVER_CRASH,
                plan.Kind.SERVER_LEAVES,
                plan.Kind.VERSION,
                plan.Kind.HERD,
                plan.Kind.KILL,
                plan.Kind.TERM,
                plan.Kind.HUP,
                # Of planned seeds.
                plan.Kind.CONFIGURATION,
                plan.Kind.WITHDRAW_KEY,
            ),
        ),
    ],
)
def test_every_kind_of_fault_is_drawn(first, instances, kinds):
    # Kinds with a small weight are rare in later seeds.
    seeds = range(first, first + 60)
    drawn = {f.kind for seed in seeds for f in plan.draw(seed, instances)}
    assert drawn == set(kinds)


@pytest.mark.parametrize(
    ("first", "small", "large"),
    [
        (0, "6165110a23a471ac", "a82c217940ec8791"),
        (1000, "e9903f4274c25b97", "926bc1d59666d304"),
        (2000, "0ee3ecf71702fd80", "0c1bbb82df4bcd79"),
        (4000, "e1b58769f7f7bd1f", "9926ef1a9948730e"),
        (5000, "f3693bbcddf929eb", "8d7824698b13188d"),
        (6000, "f5a9232105d242ab", "4f1e3090ce8128c0"),
        (7000, "a50180e48916b756", "dfe6fe946c140311"),
        (7960, "352b6966727eb616", "21f2d73eabbecde8"),
        (8000, "2a890bfce6f3c35f", "4b5cced435a7c4d3"),
        (10**9 - 40, "bfa07c178a08398f", "8f41f2dfe37417d8"),
    ],
)
def test_seeds_without_hard_load_draw_as_before(first, small, large):
    """Guards against new kinds of faults that change known seeds."""
    for instances, expected in ((plan.INSTANCES, small), (24, large)):
        seeds = range(first, first + 40)
        drawn = repr([plan.draw(seed, instances) for seed in seeds])
        digest = hashlib.sha256(drawn.encode()).hexdigest()
        assert digest[: len(expected)] == expected


def test_each_run_with_herds_has_one_unless_its_work_is_planned():
    """Guards against runs at many instances without what they are for."""
    for seed in range(plan.SIZE_FROM, plan.SIZE_FROM + 40):
        kinds = [fault.kind for fault in plan.draw(seed, 24)]
        assert (plan.Kind.HERD in kinds) is not plan.is_planned(seed)
        if plan.has_one_version(seed):
            assert plan.Kind.VERSION not in kinds


@pytest.mark.parametrize(
    ("seed", "instances", "expected"),
    [
        (plan.SIZE_FROM, 12, ("a", "b", "c")),
        (plan.SIZE_FROM, 11, ("a",)),
        (plan.SIZE_FROM - 1, 24, ("a",)),
    ],
)
def test_many_instances_stand_in_three_data_centres(seed, instances, expected):
    """Guards against fleets that have one data centre at every size."""
    assert plan.data_centres(seed, instances) == expected


def test_listed_seeds_at_size_have_herds_in_three_data_centres():
    """Guards against a list that is played at a size that shows nothing."""
    path = pathlib.Path(main.__file__).with_name("at_size.json")
    instances = json.loads(path.read_text())["instances"]
    seeds = main.numbers("at-size")
    assert seeds
    assert len(set(seeds)) == len(seeds)
    assert all(plan.has_herds(seed) for seed in seeds)
    assert all(len(plan.data_centres(s, instances)) == 3 for s in seeds)


@pytest.mark.parametrize(
    ("instances", "places", "told"),
    [(3, ["a"] * 3, []), (12, [*"abc"] * 4, ["a", "b", "c"])],
)
def test_settings_tell_all_data_centres_if_there_are_several(
    tmp_path, instances, places, told
):
    """Guards against settings that know of no server's data centre.

    With a single one in them, an evacuation of the servers' other one would
    not be accepted. Seeds are of each data centre.
    """
    run = run_module.Run(
        seed=plan.SIZE_FROM + 1, folder=tmp_path, instances=instances
    )
    documents = [
        json.loads((tmp_path / f"entry-{number}.json").read_text())
        for number in range(instances)
    ]
    run.close()
    assert [one["data_centre"] for one in documents] == places
    assert all(one["data_centres"] == told for one in documents)
    by_address = {one["listen"]["peers"]: one for one in documents}
    seeds = [by_address[seed]["data_centre"] for seed in documents[0]["seeds"]]
    assert seeds == places[:3]


def test_a_herd_is_killed_at_once_and_out_of_touch(monkeypatch):
    """Guards against herds of another size, and spans that are too long."""
    monkeypatch.setattr(faults, "_SERIES_PAUSE_S", (0.01, 0.01))
    killed = []
    injector = faults.Injector(
        seed=plan.SIZE_FROM + 1,
        served=types.SimpleNamespace(forget_history=None),
        servers=[],
        links=[],
    )
    injector.entries = [
        types.SimpleNamespace(number=n, kill=lambda n=n: killed.append(n))
        for n in range(20)
    ]
    fault = plan.Fault(
        at_s=1.0,
        kind=plan.Kind.HERD,
        target=0,
        for_s=6.0,
        variant="series",
        share=0.6,
    )
    injector.inject(fault)
    gevent.sleep(0.2)
    assert len(killed) == 3 * 12
    assert len(set(killed[:12])) == 12
    assert [span.target for span in injector.disturbed] == killed
    lengths_s = {round(s.to_s - s.from_s, 3) for s in injector.disturbed}
    assert lengths_s == {4.0}


@pytest.mark.parametrize(
    ("variant", "most_at_once", "ends_with"),
    [("version_comes", 2, 2), ("version_goes", 3, 2)],
)
def test_a_rollout_changes_many_engines(
    variant, most_at_once, ends_with, monkeypatch
):
    """Guards against rollouts in which no version comes or goes."""
    for name in ("_ROLLED_OUT_S", "_BETWEEN_S", "_LISTED_BEFORE_S", "_ALONE_S"):
        monkeypatch.setattr(server_faults, name, 0.01)
    seed = plan.SIZE_FROM + 1
    servers = [_server(number) for number in range(11)]
    link = types.SimpleNamespace(address="x:1", set_mode=lambda mode: None)
    of_servers = server_faults.ServerFaults(
        seed=seed,
        rng=random.Random(seed),
        served=_Listed(),
        servers=servers,
        links=[link] * len(servers),
    )
    of_servers.begin_versions()
    fault = plan.Fault(
        at_s=1.0, kind=plan.Kind.HERD, target=0, for_s=6.0, variant=variant
    )
    rolling = gevent.spawn(of_servers.roll_out, fault)
    rolling.join()
    gevent.sleep(0.1)
    serving = [s.version for s in of_servers.versions if s.to_s == math.inf]
    assert len(serving) == 8
    assert 1 < len(set(serving)) <= most_at_once
    assert len({s.version for s in of_servers.versions}) >= ends_with


_UNKNOWN_BODY = b'{"error": "stream_version_unknown", "outcome": "not_run"}'


@pytest.mark.parametrize(
    ("body", "resumes", "second_from_s", "broken"),
    [
        pytest.param(_UNKNOWN_BODY, "t1", None, True, id="one-version"),
        pytest.param(_UNKNOWN_BODY, "t1", 100.2, True, id="before-the-second"),
        pytest.param(_UNKNOWN_BODY, "t1", 100.0, False, id="two-versions"),
        pytest.param(_UNKNOWN_BODY, "", None, False, id="not-resumed"),
        pytest.param(
            b'{"error": "no_server"}', "t1", None, False, id="other-reason"
        ),
    ],
)
def test_streams_refused_as_unknown_at_one_version_are_found(
    body, resumes, second_from_s, broken
):
    """Guards against a check that sees no refusal, or any as one."""
    versions = _versions("v1", "v1")
    if second_from_s is not None:
        versions += _versions("v1.1", from_s=second_from_s)
    asked = _asked(kind=_KIND.RESUMABLE, status=503, body=body, resumes=resumes)
    record = _record([asked], versions=versions)
    found = {v.promise for v in checker.check(record, _BOUNDS)}
    assert (_PROMISE.ONE_VERSION in found) is broken


def test_many_faults_of_a_wide_run_hit_the_first_instance():
    faults = [f for seed in range(30) for f in plan.draw(seed, 10)]
    hits = sum(fault.hits_first for fault in faults)
    assert 0.1 * len(faults) < hits < 0.6 * len(faults)
    small = [f for seed in range(30) for f in plan.draw(seed)]
    assert not any(fault.hits_first for fault in small)


def test_blocks_of_ports_do_not_overlap():
    blocks = [ports.Block() for _ in range(3)]
    taken = [block.take() for block in blocks for _ in range(5)]
    assert len(set(taken)) == len(taken)
    for block in blocks:
        block.close()


def test_a_run_of_many_instances_gets_more_blocks():
    block = ports.Block()
    taken = {block.take() for _ in range(3 * ports.SIZE)}
    assert len(taken) == 3 * ports.SIZE
    block.close()


def test_ports_lie_below_those_of_outgoing_connections():
    """Else a port that was free is soon somebody's local end."""
    path = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
    first = int(path.read_text().split()[0])
    assert first >= ports.LAST
    block = ports.Block()
    assert ports.FIRST < block.take() < ports.LAST
    block.close()


def test_a_port_in_use_is_not_handed_out():
    block = ports.Block()
    port = block.take()
    other = socket.socket()
    other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    other.bind(("127.0.0.1", port + 1))
    assert block.take() > port + 1
    other.close()
    block.close()


# Each starts several processes, so that one runs at a time.
@pytest.mark.xdist_group("processes")
@pytest.mark.parametrize(
    ("seed", "instances"),
    [
        (1, plan.INSTANCES),
        (4, plan.INSTANCES),
        (plan.FURTHER_FROM + 5, plan.INSTANCES),
        (plan.OUTDATED_FROM + 3, plan.INSTANCES),
        (plan.PARTITIONS_FROM + 1, plan.INSTANCES),
        (plan.VERSIONS_FROM + 3, plan.INSTANCES),
        # One version, killed instances, and one that follows the store for the
        # others.
        (plan.SIZE_FROM + 2, 9),
        (plan.HARD_FROM + 1, plan.INSTANCES),
        # A stop under long requests, and one with peers that send without end.
        (plan.EXTREMES_FROM, plan.INSTANCES),
        (plan.EXTREMES_FROM + 5, plan.INSTANCES),
        # Responses that end with their connection, crashes, all killed at once.
        (plan.ENDINGS_FROM + 1, plan.INSTANCES),
    ],
)
def test_real_processes_keep_the_promises(tmp_path, seed, instances):
    run = run_module.Run(seed=seed, folder=tmp_path, instances=instances)
    verdict = run.play()
    assert (verdict.violations, verdict.own_exits) == ((), 0)
    assert bool(verdict.ends) is crashing.is_asked(seed)
    assert verdict.served > 0


def _arrived(at_s, request, *, life=1, **says):
    return observations.Arrived(
        request_id=request, server=3, life=life, at_s=at_s, **says
    )


def _at(*sent_s, **changes):
    """Requests that are answered 0.1 s after they are sent."""
    return tuple(
        _asked(
            request_id=f"r{number}",
            status=502,
            body=b"",
            sent_s=at_s,
            ended_s=at_s + 0.1,
            **changes,
        )
        for number, at_s in enumerate(sent_s)
    )


def _rests(*at_s):
    """Arrivals of which the first is answered with a rest of two seconds."""
    return tuple(
        _arrived(t, f"r{number}", rest_s=0.0 if number else 2.0)
        for number, t in enumerate(at_s)
    )


@pytest.mark.parametrize(
    ("asked", "arrived", "more", "broken"),
    [
        pytest.param(
            _at(100.0, 102.7),
            (_arrived(100.0, "r0", leaving=True), _arrived(102.7, "r1")),
            {},
            _PROMISE.LEAVING,
            id="sent-after-it-said-so",
        ),
        pytest.param(
            _at(100.0, 102.5),
            (_arrived(100.0, "r0", leaving=True), _arrived(102.5, "r1")),
            {},
            None,
            id="sent-within-the-bound",
        ),
        pytest.param(
            _at(100.0, 103.0),
            (_arrived(100.0, "r0", leaving=True), _arrived(103, "r1", life=2)),
            {},
            None,
            id="another-life",
        ),
        pytest.param(
            _at(100.0, 103.0),
            (_arrived(100.0, "r0", leaving=True), _arrived(103.0, "r1")),
            {"disturbed": _SPAN},
            None,
            id="restarted-meanwhile",
        ),
        pytest.param(
            (
                *_at(100.0),
                _asked(
                    request_id="r1",
                    instance=1,
                    sent_s=103.0,
                    status=502,
                    body=b"",
                ),
            ),
            (_arrived(100.0, "r0", leaving=True), _arrived(103.0, "r1")),
            {},
            None,
            id="another-instance",
        ),
        pytest.param(
            _at(100.0, 100.6, 101.0, 101.9),
            _rests(100.0, 100.6, 101.0, 101.9),
            {},
            _PROMISE.REST,
            id="three-in-a-rest",
        ),
        pytest.param(
            _at(100.0, 100.4, 101.0, 101.9),
            _rests(100.0, 100.4, 101.0, 101.9),
            {},
            None,
            id="two-in-a-rest",
        ),
        pytest.param(
            _at(100.0, 100.6, 101.0, 102.1),
            _rests(100.0, 100.6, 101.0, 102.1),
            {},
            None,
            id="after-a-rest",
        ),
        pytest.param(
            _at(100.0, 100.6, 101.0, 101.9),
            _rests(100.0, 100.6, 101.0, 101.9),
            {"disturbed": _SPAN},
            None,
            id="cut-off-in-a-rest",
        ),
    ],
)
def test_what_servers_say_is_checked(asked, arrived, more, broken):
    record = observations.Record(
        **{
            "asked": asked,
            "ran": (),
            "withdrawn": {},
            "left": {},
            "disturbed": (),
            "stopped": (),
            "events": 2,
            "arrived": arrived,
            **more,
        }
    )
    found = {v.promise for v in checker.check(record, _BOUNDS)}
    assert found == ({broken} if broken else set())


class _Listed:
    """A store that keeps the state of each entry."""

    def __init__(self):
        self.states = {}

    def put(self, table, key, entry):
        assert table == "servers"
        self.states[key] = entry["state"]


def _server(number):
    return types.SimpleNamespace(
        server_id=f"crew-{number}",
        service="crew",
        born_ms=1000,
        sequence=1,
        cold_ms=0,
        entry=lambda state: {"state": state},
    )


@pytest.mark.parametrize("leaves", [True, False])
def test_a_server_that_left_does_not_come_back_cold(leaves, monkeypatch):
    """Guards against requests to a new incarnation that count as late ones."""
    monkeypatch.setattr(server_faults, "_COLD_DOWN_S", 0.05)
    monkeypatch.setattr(server_faults, "COLD_KNOWN_S", 0.0)
    servers = [_server(number) for number in range(4)]
    modes = []
    link = types.SimpleNamespace(address="127.0.0.1:1", set_mode=modes.append)
    listed = _Listed()
    faults = server_faults.ServerFaults(
        seed=1,
        rng=random.Random(1),
        served=listed,
        servers=servers,
        links=[link] * len(servers),
    )
    faults.list_all()
    fault = plan.Fault(
        at_s=0.0, kind=plan.Kind.SERVER_COLD, target=1, for_s=1.0
    )
    cooling = gevent.spawn(faults.cool, fault)
    gevent.sleep(0)
    if leaves:
        faults.leave(fault)
    cooling.get()
    state = "draining" if leaves else "ready"
    assert listed.states["crew-1"] == state
    assert modes == ["reset", "pass"]
    assert len(faults.cold) == (0 if leaves else 1)


@pytest.mark.parametrize(
    ("served", "failed", "others_failed", "changes", "broken"),
    [
        pytest.param(0, 30, 0, {}, True, id="refused"),
        pytest.param(30, 0, 0, {}, False, id="served"),
        pytest.param(20, 10, 0, {}, False, id="few-refused"),
        pytest.param(15, 15, 30, {}, False, id="others-alike"),
        pytest.param(0, 30, 0, {"from_s": 97.5}, False, id="not-known-yet"),
        pytest.param(0, 30, 0, {"to_s": 99.0}, False, id="over"),
    ],
)
def test_partitioned_instances_are_compared_with_the_others(
    served, failed, others_failed, changes, broken
):
    """Guards against a check that cannot fail."""

    def answers(instance, count, status):
        return tuple(
            _asked(
                request_id=f"{instance}-{status}-{number}",
                instance=instance,
                status=status,
                sent_s=100.0,
                ended_s=100.1,
            )
            for number in range(count)
        )

    record = observations.Record(
        asked=(
            *answers(3, served, 200),
            *answers(3, failed, 503),
            *answers(4, 30 - others_failed, 200),
            *answers(4, others_failed, 503),
        ),
        ran=(),
        withdrawn={},
        left={},
        disturbed=(),
        stopped=(),
        events=2,
        partitioned=(
            observations.Span(
                target=3, **({"from_s": 90.0, "to_s": 110.0} | changes)
            ),
        ),
    )
    found = {one.promise for one in checker.check(record, _BOUNDS)}
    assert (_PROMISE.PARTITION in found) is broken


def _stream(number, versions, *, resumes="", status=200, **changes):
    """A caller's attempt whose events name versions."""
    events = enumerate(versions, start=1)
    body = b"".join(_event(n, version) for n, version in events)
    return _asked(
        request_id=f"t{number}",
        kind=_KIND.RESUMABLE,
        body=body,
        whole=False,
        status=status,
        resumes=resumes,
        **changes,
    )


def _event(number, version):
    suffix = "" if version == "v1" else f" of {version}"
    return f"id: {number}\ndata: piece {number}{suffix}\n\n".encode()


@pytest.mark.parametrize(
    ("streams", "broken"),
    [
        pytest.param([("v1", "v1")] * 5, False, id="one-version"),
        pytest.param([("v1", "v1.1")] * 2, False, id="two-allowed"),
        pytest.param([("v1", "v1.1")] * 3, True, id="three"),
        pytest.param([("v1.1", "v1.2")] * 3, True, id="later-versions"),
    ],
)
@pytest.mark.parametrize("attempts", [1, 2], ids=["in-one", "over-two"])
def test_streams_of_two_versions_are_found(streams, broken, attempts):
    asked = []
    for number, versions in enumerate(streams):
        if attempts == 1:
            asked.append(_stream(number, versions))
            continue
        first, second = versions
        asked.append(_stream(number, (first,)))
        more = _stream(100 + number, (second,), resumes=f"t{number}")
        asked.append(more)
    found = stream_checks.mixed(_record(asked))
    assert bool(found) is broken


def _record(asked, **more):
    return observations.Record(
        asked=tuple(asked),
        ran=(),
        withdrawn={},
        left={},
        disturbed=(),
        stopped=(),
        events=12,
        **more,
    )


def _versions(*versions, from_s=0.0, to_s=1000.0):
    return tuple(
        observations.VersionSpan(
            server=number, version=version, from_s=from_s, to_s=to_s
        )
        for number, version in enumerate(versions)
    )


@pytest.mark.parametrize(
    ("resumed", "went_on", "versions", "broken"),
    [
        pytest.param(12, 12, _versions("v1", "v1.1"), False, id="all"),
        pytest.param(12, 6, _versions("v1", "v1.1"), False, id="half"),
        pytest.param(12, 5, _versions("v1", "v1.1"), True, id="fewer"),
        pytest.param(11, 0, _versions("v1", "v1.1"), False, id="too-few"),
        pytest.param(12, 0, _versions("v1"), False, id="one-version"),
        pytest.param(12, 0, _versions("v1.1", "v1.2"), False, id="gone"),
    ],
)
def test_refused_resumptions_are_found(resumed, went_on, versions, broken):
    asked = [_stream(n, ("v1",)) for n in range(resumed)]
    asked += [
        _stream(
            100 + n,
            (),
            resumes=f"t{n}",
            status=200 if n < went_on else 503,
        )
        for n in range(resumed)
    ]
    record = _record(asked, versions=versions)
    assert bool(stream_checks.refused_resumptions(record, asked)) is broken


def _beside(served, of, sent_s, **changes):
    return [
        _asked(
            request_id=f"{sent_s} {number}",
            kind=_KIND.STREAM,
            sent_s=sent_s,
            ended_s=sent_s + 0.1,
            status=200 if number < served else 503,
            **changes,
        )
        for number in range(of)
    ]


@pytest.mark.parametrize(
    ("before", "beside", "until_s", "found"),
    [
        pytest.param(30, 30, 120.0, False, id="as-before"),
        pytest.param(30, 15, 120.0, False, id="half"),
        pytest.param(30, 14, 120.0, True, id="fewer-than-half"),
        pytest.param(14, 7, 120.0, False, id="half-of-few"),
        pytest.param(30, 0, 100.5, False, id="none-come-beside"),
    ],
)
def test_refused_sound_requests_are_found(before, beside, until_s, found):
    """Guards against a check that does not see sound requests refused."""
    crashing_s = [91.0, 92.0, 93.0, until_s]
    record = observations.Record(
        asked=(
            *_beside(before, 30, 80.0),
            *_beside(beside, 30, 110.0),
            *(_asked(sent_s=at_s, crashing=True) for at_s in crashing_s),
        ),
        ran=(),
        withdrawn={},
        left={},
        disturbed=(),
        stopped=(),
        events=2,
        ends_s=(91.1, 92.1, 93.1),
    )
    detail = crash_checks.refused_beside(record, record.asked)
    assert bool(detail) is found


@pytest.mark.parametrize(
    ("prefix", "ends"),
    [("a:1,ends-whoever-runs-it:9,b:1", True), ("a:1", False)],
)
def test_a_part_ends_servers_in_seeds_with_parts(prefix, ends):
    servers = [
        types.SimpleNamespace(ends_under=None, ends_at=None) for _ in range(2)
    ]
    crashing.CrashingRequest(
        seed=plan.PARTS_FROM + 1,
        servers=servers,
        links=[None, None],
        list_again=lambda number: None,
    )
    run = types.SimpleNamespace(headers={"prefix-hash": prefix}, body=b"")
    assert servers[1].ends_under(run) is ends


def test_all_instances_are_killed_at_once_in_some_seeds():
    """Guards against knowledge that is always kept by some instance."""
    seeds = range(plan.ENDINGS_FROM, plan.ENDINGS_FROM + 20)
    herds = [
        fault
        for seed in seeds
        for fault in plan.draw(seed)
        if fault.kind is plan.Kind.HERD
    ]
    assert any(fault.share == 1.0 for fault in herds)
    assert any(fault.share < 1.0 for fault in herds)
