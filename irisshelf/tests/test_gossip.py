"""Gossip between instances, and the links that carry it."""

import dataclasses
import random

import pytest
from gevent import server
from gevent import socket

from irisshelf.coordination import gossip
from irisshelf.coordination import gossip_messages as messages
from irisshelf.coordination import token_bucket
from irisshelf.peers import errors
from irisshelf.peers import link
from irisshelf.testing import harness

_LOAD = messages.Load(service="lm", work=10.0, engines=2, full_engines=(1,))


def _node(
    name, data_centre="a", *, incarnation=1, bytes_per_s=1e9, first_heartbeat=0
):
    node = gossip.Gossip(
        name=name,
        data_centre=data_centre,
        incarnation=incarnation,
        rng=random.Random(name),
        budget=token_bucket.TokenBucket(bytes_per_s=bytes_per_s),
        first_heartbeat=first_heartbeat,
    )
    node.set_local_state(
        now=0.0,
        loads=[_LOAD],
        leaving=False,
        head=messages.HeadHint(number=0, object_key=""),
    )
    return node


class _Network:
    """Instances in virtual time, connected by lossy links."""

    def __init__(self, data_centres, *, loss=0.0, seed=1):
        self.now = 0.0
        self.nodes = {n: _node(n, p) for n, p in data_centres.items()}
        self.data_centres = data_centres
        self.silent = set()
        self.loss = loss
        self.blocked = set()
        self._rng = random.Random(seed)
        for name, node in self.nodes.items():
            node.set_peers(
                [
                    gossip.Peer(name=n, data_centre=p)
                    for n, p in data_centres.items()
                    if n != name
                ]
            )

    def run(self, seconds):
        for _ in range(round(seconds / gossip.TICK_S)):
            self.now += gossip.TICK_S
            for name in self.nodes:
                if name not in self.silent:
                    for out in self.nodes[name].tick(self.now):
                        self._deliver(name, out.to, out.message)

    def _deliver(self, sender, to, message):
        lost = self._rng.random() < self.loss
        if to in self.silent or lost or (sender, to) in self.blocked:
            return
        decoded = messages.decode(messages.encode(message)).unwrap()
        reply = self.nodes[to].receive(decoded, self.now)
        if reply is not None:
            self._deliver(to, sender, reply)

    def statuses(self, name):
        return {
            self.nodes[other].status(name, self.now)
            for other in self.nodes
            if other != name
            and other not in self.silent
            and self.data_centres[other] == self.data_centres[name]
        }


_INSTANCES = {f"i{i}": "a" for i in range(5)}
_ALIVE, _DEAD = messages.Status.ALIVE, messages.Status.DEAD


def test_membership_and_total_load_converge():
    net = _Network({**_INSTANCES, "j0": "b", "j1": "b"})
    net.run(10)
    for name in _INSTANCES:
        assert net.statuses(name) == {_ALIVE}
        found = net.nodes[name].load_of_others("lm", net.now)
        assert (found.work, found.engines) == (60.0, 12)
        assert net.nodes[name].live_local_instances(net.now) == sorted(
            _INSTANCES
        )


def test_dead_instance_is_detected_within_3_s():
    net = _Network(_INSTANCES)
    net.run(5)
    net.silent.add("i2")
    net.run(3)
    assert net.statuses("i2") == {_DEAD}
    assert "i2" not in net.nodes["i0"].live_local_instances(net.now)


def test_paused_instance_that_resumes_is_alive_again():
    net = _Network(_INSTANCES)
    net.run(5)
    net.silent.add("i2")
    net.run(8)
    net.silent.clear()
    net.run(2)
    assert net.statuses("i2") == {_ALIVE}


def test_isolated_observer_does_not_evict_instances_for_others():
    net = _Network(_INSTANCES)
    net.run(5)
    net.blocked = {(n, "i0") for n in _INSTANCES if n != "i0"}
    net.run(6)
    others = {net.nodes[o].status("i1", net.now) for o in ("i2", "i3", "i4")}
    assert others == {_ALIVE}
    assert net.nodes["i0"].status("i1", net.now) is _DEAD


def test_packet_loss_and_short_pauses_cause_no_false_deaths():
    net = _Network({f"i{i}": "a" for i in range(12)}, loss=0.05)
    net.run(5)
    for number in range(12):
        net.silent = {f"i{number}"}
        net.run(1.5)
        net.silent = set()
        for name in net.nodes:
            assert _DEAD not in net.statuses(name)
        net.run(1.5)


def test_restart_under_the_same_name_is_recognised():
    net = _Network(_INSTANCES)
    net.run(5)
    old = net.nodes["i2"]
    first_heartbeat = round(net.now / gossip.TICK_S)
    net.nodes["i2"] = _node(
        "i2", incarnation=2, first_heartbeat=first_heartbeat
    )
    net.nodes["i2"].set_peers(
        [gossip.Peer(name=n, data_centre="a") for n in _INSTANCES if n != "i2"]
    )
    (out, *_) = old.tick(net.now)
    relayed = dataclasses.replace(out.message, sender="i0")
    assert [record.name for record in relayed.records][:1] == ["i2"]
    net.nodes["i2"].receive(relayed, net.now)
    net.run(4)
    assert net.statuses("i2") == {_ALIVE}
    assert {node.name_conflicts for node in net.nodes.values()} == {0}


def test_name_conflict_is_counted():
    one = _node("i", incarnation=1)
    two = _node("i", incarnation=5)
    other = _node("o")
    other.set_peers([gossip.Peer(name="i", data_centre="a")])
    two.set_peers([gossip.Peer(name="o", data_centre="a")])
    one.set_peers([gossip.Peer(name="o", data_centre="a")])
    for now in (1.0, 1.5, 2.0):
        for out in two.tick(now):
            other.receive(out.message, now)
        for out in other.tick(now):
            one.receive(out.message, now)
    assert one.name_conflicts >= 1


def test_head_reaches_all_instances_after_a_partition():
    data_centres = {**_INSTANCES, "j0": "b", "j1": "b", "k0": "c"}
    net = _Network(data_centres)
    net.run(5)
    partition = {
        (a, b)
        for a in data_centres
        for b in data_centres
        if data_centres[a] != data_centres[b]
    }
    net.blocked = partition
    net.nodes["i0"].set_local_state(
        now=net.now,
        loads=[],
        leaving=False,
        head=messages.HeadHint(number=9, object_key="o9"),
    )
    net.run(11)
    assert {net.nodes[n].head.number for n in _INSTANCES} == {9}
    assert net.nodes["j0"].head.number == 0
    assert (
        net.nodes["j0"].load_of_others("lm", net.now).engines == 2
    )  # Those of j1 only.
    net.blocked = set()
    net.run(8)
    assert {node.head.number for node in net.nodes.values()} == {9}


def test_leaving_instance_is_not_listed_as_live():
    net = _Network(_INSTANCES)
    net.run(3)
    net.nodes["i1"].set_local_state(
        now=net.now,
        loads=[],
        leaving=True,
        head=messages.HeadHint(number=0, object_key=""),
    )
    net.run(4)
    assert net.statuses("i1") == {messages.Status.LEAVING}
    assert "i1" not in net.nodes["i0"].live_local_instances(net.now)


def test_sent_bytes_stay_within_budget():
    net = _Network({f"i{i}": "a" for i in range(30)})
    sent = 0
    for node in net.nodes.values():
        node._budget = token_bucket.TokenBucket(bytes_per_s=300.0)
    deliver = net._deliver

    def count(sender, to, message):
        nonlocal sent
        sent += messages.size_of(message)
        deliver(sender, to, message)

    net._deliver = count
    net.run(20)
    assert sent / 30 / 20 < 1.4 * 300


@pytest.mark.parametrize("data", [b"", b"\xff\xff", b"\x80" * 20_000])
def test_malformed_message_is_rejected(data):
    assert messages.decode(data).is_err()


def test_truncated_message_is_rejected():
    net = _Network(_INSTANCES)
    net.run(3)
    message = max(
        (out.message for out in net.nodes["i0"].tick(net.now + gossip.TICK_S)),
        key=messages.size_of,
    )
    assert message.records and message.heartbeats
    data = messages.encode(message)
    assert messages.decode(data).is_ok()
    for length in range(len(data)):
        assert messages.decode(data[:length]).is_err()


def test_other_protocol_version_is_rejected():
    net = _Network(_INSTANCES)
    message = net.nodes["i0"].tick(1.0)[0].message
    data = bytearray(messages.encode(message))
    assert messages.decode(bytes(data)).is_ok()
    data[1] = 2  # The version is the first item of the list.
    assert "version is 2" in messages.decode(bytes(data)).unwrap_err()


@pytest.fixture
def listener():
    got = []

    def take(sock, _address):
        opened = link.accept(
            sock, secret="s", refused=lambda why: got.append(("refused", why))
        )
        if opened is None:
            sock.close()
            return
        try:
            for data in opened.messages():
                got.append(("message", data))
                opened.send(b"got " + data[:10])
        except errors.LinkError as exc:
            got.append(("broken", str(exc)))
        finally:
            opened.close()

    made = server.StreamServer(("127.0.0.1", 0), take)
    made.start()
    yield f"127.0.0.1:{made.server_port}", got
    made.stop()


def test_link_carries_messages_in_both_directions(listener):
    address, got = listener
    opened = link.connect(address, secret="s")
    answers = opened.messages()
    for number in range(3):
        opened.send(b"m%d" % number)
        assert next(answers) == b"got m%d" % number
    assert [data for _, data in got] == [b"m0", b"m1", b"m2"]
    opened.close()


def test_peer_with_wrong_secret_is_refused(listener):
    address, got = listener
    with pytest.raises(errors.LinkError, match="403"):
        link.connect(address, secret="wrong")
    assert harness.wait_for(lambda: bool(got))
    assert got[0][0] == "refused"


@pytest.mark.parametrize(
    "data", [b"garbage\r\n\r\n", b"GET / HTTP/1.1\r\n\r\n", b"\x00" * 70_000]
)
def test_peer_that_sends_garbage_is_refused(listener, data):
    address, got = listener
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)))
    sock.sendall(data)
    sock.settimeout(3)
    try:
        while sock.recv(4096):
            pass
    except OSError:
        pass
    sock.close()
    assert harness.wait_for(lambda: bool(got))
    assert got[0][0] == "refused"


def test_oversized_frame_closes_the_link(listener):
    address, got = listener
    opened = link.connect(address, secret="s")
    opened.send(b"x" * (messages.MAX_BYTES + 1))
    with pytest.raises((errors.LinkError, StopIteration)):
        next(opened.messages())
    assert harness.wait_for(lambda: bool(got))
    assert got[0][0] == "broken"
    assert "exceeds limit" in got[0][1]
