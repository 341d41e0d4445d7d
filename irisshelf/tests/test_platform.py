"""The fake platform, its HTTP form, and the follower before it."""

import random

import pytest
import result

from irisshelf.bundle import canonical
from irisshelf.bundle import envelope
from irisshelf.bundle import signing
from irisshelf.coordination import clock
from irisshelf.coordination import head
from irisshelf.daemon import follower
from irisshelf.observe import timeline
from irisshelf.store import errors
from irisshelf.store import http_client
from irisshelf.store import messages
from irisshelf.testing import clock as fake_clock
from irisshelf.testing import harness
from irisshelf.testing import platform as fake_platform
from irisshelf.testing import platform_server
from irisshelf.tests import examples


@pytest.fixture(params=["direct", "http"])
def rig(request):
    """The fake platform, and a client that is itself or goes over HTTP."""
    now = fake_clock.FakeClock()
    fake = fake_platform.FakePlatform(clock=now, rng=random.Random(1))
    if request.param == "direct":
        yield fake, fake, now
        return
    server = harness.Server(app=platform_server.PlatformServer(platform=fake))
    host, _, port = server.address.rpartition(":")
    yield fake, http_client.HttpPlatform(host=host, port=int(port)), now
    server.stop()


def _write(key, value, **kwargs):
    return messages.Write(key=key, value=value, **kwargs)


def test_transactions_are_all_or_nothing(rig):
    _, client, _ = rig
    assert client.transact([_write("a", 1, if_version=0)]).is_ok()
    answer = client.transact(
        [_write("b", 2), _write("a", 3, if_version=0), _write("c", 4)]
    )
    conflict = answer.unwrap_err()
    assert isinstance(conflict, errors.Conflict)
    assert [(f.index, f.value) for f in conflict.failed] == [(1, 1)]
    assert isinstance(client.read("b").unwrap_err(), errors.NotFound)
    assert client.read("a").unwrap().value == 1


def test_rows_expire_and_versions_never_come_back(rig):
    _, client, now = rig
    (first,) = client.transact([_write("a", 1, ttl_s=10)]).unwrap()
    now.advance(11)
    assert isinstance(client.read("a").unwrap_err(), errors.NotFound)
    (second,) = client.transact([_write("a", 1, if_version=0)]).unwrap()
    assert second > first


def test_objects_come_back_as_they_went_in(rig):
    _, client, _ = rig
    data = bytes(range(256)) * 10
    assert client.put_object("bundles/x y/1", data).is_ok()
    assert client.get_object("bundles/x y/1").unwrap() == data
    missing = client.get_object("nope").unwrap_err()
    assert isinstance(missing, errors.NotFound)


@pytest.mark.parametrize(
    ("faults", "effect", "took"),
    [
        (fake_platform.Faults(down=True), errors.Effect.UNKNOWN, False),
        (fake_platform.Faults(lose_request=1), errors.Effect.UNKNOWN, False),
        (fake_platform.Faults(lose_answer=1), errors.Effect.UNKNOWN, True),
        (
            fake_platform.Faults(max_writes_per_s=0.5),
            errors.Effect.NONE,
            False,
        ),
    ],
)
def test_faults_tell_no_more_than_is_known(rig, faults, effect, took):
    fake, client, _ = rig
    fake.faults = faults
    problem = client.transact([_write("a", 1)]).unwrap_err()
    assert problem.effect is effect
    fake.faults = fake_platform.Faults()
    assert client.read("a").is_ok() == took


def test_the_list_lags_and_is_read_by_changes(rig):
    fake, client, now = rig
    node = messages.Node(
        name="i0",
        role=messages.NodeRole.INSTANCE,
        state=messages.NodeState.LIVE,
        data_centre="a",
        address="127.0.0.1:1",
    )
    fake.set_node(node)
    first = client.nodes(since=0).unwrap()
    assert (first.whole, first.changed) == (True, (node,))
    fake.faults = fake_platform.Faults(list_lag_s=60)
    now.advance(100)
    fake.remove_node("i0")
    assert client.nodes(since=first.version).unwrap().removed == ()
    now.advance(61)
    later = client.nodes(since=first.version).unwrap()
    assert (later.whole, later.changed, later.removed) == (False, (), ("i0",))
    assert client.nodes(since=later.version).unwrap().changed == ()


LOST = result.Err(
    errors.Unavailable(effect=errors.Effect.UNKNOWN, detail="lost")
)


class _Rig:
    """A follower before a fake platform."""

    def __init__(self, *, required=1, signers=("anna", "bo")):
        now = fake_clock.FakeClock()
        self.platform = fake_platform.FakePlatform(
            clock=now, rng=random.Random(1)
        )
        self.adopted = []
        self.events = timeline.Timeline(
            clock=clock.HybridClock(process="p", wall=now)
        )
        self.follower = follower.Follower(
            platform=self.platform,
            keys={name: examples.public_key(name) for name in signers},
            required=required,
            poll_s=1.0,
            rng=random.Random(1),
            events=self.events,
            adopt=lambda bundle: self.adopted.append(bundle.number),
        )

    def put(self, number, *, signers=("anna",), spoil="", say=None):
        sealed, sections = envelope.create(examples.bundle(number=number))
        for name in signers:
            sealed = signing.sign(
                sealed, name=name, private_pem=examples.private_pem(name)
            )
        for name, data in sections.items():
            stored = b"{}" if spoil == name else data
            digest = sealed.manifest.sections[name]
            self.platform.put_object(
                envelope.section_key(digest), canonical.compress(stored)
            )
        key = envelope.object_key(sealed)
        body = canonical.compress(envelope.encode(sealed))
        self.platform.put_object(
            key, body[:-9] if spoil == "envelope" else body
        )
        made = head.Head(
            number=say or number, object_key=key, submission_id=str(number)
        )
        value = {
            "number": made.number,
            "object_key": key,
            "submission_id": str(number),
        }
        self.platform.transact([messages.Write(key=head.ROW, value=value)])


def test_bundles_come_into_force_in_turn():
    rig = _Rig()
    rig.follower.look()
    assert rig.adopted == []
    for number in (1, 2, 7):
        rig.put(number)
        rig.follower.look()
        rig.follower.look()
    assert rig.adopted == [1, 2, 7]
    assert rig.follower.head_in_force.number == 7


@pytest.mark.parametrize(
    "kwargs",
    [
        {"number": 3, "signers": ()},
        {"number": 3, "signers": ("mallory",)},
        {"number": 3, "signers": ("bo",)},  # Not a signer of bundle 2.
        {"number": 3, "spoil": "envelope"},
        {"number": 1, "say": 3},
        {"number": 1},
    ],
)
def test_what_is_not_a_valid_newer_bundle_never_comes_into_force(kwargs):
    rig = _Rig()
    rig.put(2)
    rig.follower.look()
    rig.put(**kwargs)
    rig.follower.look()
    assert rig.adopted == [2]
    rig.put(5)
    rig.follower.look()
    assert rig.adopted == [2, 5]


@pytest.mark.parametrize("spoil", ["root", "envelope"])
def test_a_damaged_first_bundle_never_comes_into_force(spoil):
    rig = _Rig()
    rig.put(1, spoil=spoil)
    rig.follower.look()
    assert rig.adopted == []


def test_two_people_must_sign_where_the_settings_say_so():
    rig = _Rig(required=2)
    rig.put(1, signers=("anna",))
    rig.follower.look()
    assert rig.adopted == []
    rig.put(2, signers=("anna", "bo"))
    rig.follower.look()
    assert rig.adopted == [2]


def test_an_outage_reverts_nothing_and_the_newest_wins_after_it():
    rig = _Rig()
    rig.put(1)
    rig.follower.look()
    rig.platform.faults = fake_platform.Faults(down=True)
    rig.follower.look()
    assert not rig.follower.platform_up
    assert rig.follower.in_force == 1
    rig.platform.faults = fake_platform.Faults()
    rig.put(2)
    rig.put(3)
    rig.follower.look()
    assert rig.adopted == [1, 3]


def test_without_the_platform_a_peer_gives_the_bundle_and_is_not_trusted():
    source = _Rig()
    source.put(4)
    source.follower.look()
    cut_off = _Rig()
    cut_off.platform.faults = fake_platform.Faults(down=True)
    cut_off.follower.set_from_peers(lambda key: b"{}")
    cut_off.follower.see(source.follower.head_in_force)
    assert cut_off.adopted == []
    honest = _Rig()
    honest.platform.faults = fake_platform.Faults(down=True)
    honest.follower.set_from_peers(source.follower.held)
    honest.follower.see(source.follower.head_in_force)
    assert honest.adopted == [4]


def test_only_changed_sections_are_fetched():
    rig = _Rig()
    rig.put(1)
    rig.follower.look()
    reads = rig.platform.reads
    rig.put(2)  # Only the number differs, and that is in the manifest.
    rig.follower.look()
    assert rig.platform.reads - reads == 2  # The head row and the envelope.
    assert isinstance(rig.platform.read(head.ROW), result.Ok)
