"""TLS between instances: who is let in, and who is not."""

import datetime

import pytest
import result
from gevent import pywsgi
from gevent import server
from typer import testing

from irisshelf.backends import dispatch
from irisshelf.backends import pool
from irisshelf.cli import main
from irisshelf.peers import authority
from irisshelf.peers import errors
from irisshelf.peers import link
from irisshelf.peers import tls
from irisshelf.testing import harness

_NOW = datetime.datetime(2026, 12, 2, tzinfo=datetime.UTC)
_LONG_AGO = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)


# The library tries again, as often as the pool is large, when a peer ends the
# handshake after the caller thinks it done; a small pool keeps the test short.
_POOL = 2


def _files(folder, *, signer, name="i", now=None):
    """Writes what one instance needs; ``signer`` issued its certificate."""
    made = authority.issue(
        signer, name=name, now=now or datetime.datetime.now(tz=datetime.UTC)
    )
    folder.mkdir()
    (folder / "c").write_bytes(made.certificate)
    (folder / "k").write_bytes(made.key)
    (folder / "a").write_bytes(signer.certificate)
    return tls.Files(
        authority=str(folder / "a"),
        certificate=str(folder / "c"),
        key=str(folder / "k"),
    )


@pytest.fixture
def fleet():
    """The fleet's authority."""
    return authority.make_authority(
        name="fleet", now=datetime.datetime.now(tz=datetime.UTC)
    )


@pytest.fixture
def listener(tmp_path, fleet):
    """A link listener that echoes, with what it refused."""
    refused = []
    context = tls.server_context(_files(tmp_path / "server", signer=fleet))

    def take(sock, _address):
        opened = link.accept(
            sock, secret="s", refused=refused.append, context=context
        )
        if opened is None:
            sock.close()
            return
        for data in opened.messages():
            opened.send(data)

    made = server.StreamServer(("127.0.0.1", 0), take)
    made.start()
    yield f"127.0.0.1:{made.server_port}", refused
    made.stop()


def test_instances_of_one_fleet_reach_each_other(tmp_path, fleet, listener):
    address, refused = listener
    files = _files(tmp_path / "client", signer=fleet)
    opened = link.connect(
        address, secret="s", context=tls.client_context(files)
    )
    opened.send(b"hello")
    assert next(opened.messages()) == b"hello"
    assert not refused
    opened.close()


@pytest.mark.parametrize("who", ["plain", "other fleet", "expired"])
def test_others_are_refused(tmp_path, fleet, listener, who):
    address, refused = listener
    context = None
    if who == "other fleet":
        other = authority.make_authority(name="other", now=_NOW)
        files = _files(tmp_path / "client", signer=other)
        context = tls.client_context(files)
        context.load_verify_locations(cadata=fleet.certificate.decode())
    elif who == "expired":
        files = _files(tmp_path / "client", signer=fleet, now=_LONG_AGO)
        context = tls.client_context(files)
    with pytest.raises(errors.LinkError):
        opened = link.connect(address, secret="s", context=context)
        opened.send(b"hello")
        next(opened.messages())
    assert harness.wait_for(lambda: bool(refused))


def test_a_relay_asks_for_a_certificate(tmp_path, fleet, monkeypatch):
    monkeypatch.setattr(pool, "PEER_CONCURRENCY", _POOL)

    def app(environ, start_response):
        start_response("200 OK", [])
        return [b"in"]

    files = _files(tmp_path / "server", signer=fleet)
    served = pywsgi.WSGIServer(
        ("127.0.0.1", 0),
        app,
        log=None,
        error_log=harness.Quiet(),
        ssl_context=tls.server_context(files),
    )
    served.start()
    address = f"127.0.0.1:{served.server_port}"
    known = tls.client_context(_files(tmp_path / "client", signer=fleet))
    answers = []
    for context in (known, None):
        clients = pool.ClientPool(peer_context=context)
        client = clients.peer_client(address, connect_s=1, idle_s=1)
        sent = dispatch.request("GET", "/", client)
        answers.append(sent.and_then(dispatch.read_all))
    assert answers[0] == result.Ok(b"in")
    assert answers[1].is_err()
    served.stop(timeout=0.01)


def test_the_tool_makes_what_settings_take(tmp_path):
    runner = testing.CliRunner()
    fleet, peer = tmp_path / "fleet", tmp_path / "peer"
    args = ["keys", "instance", "i", "--authority", fleet, "--out", peer]
    missing = runner.invoke(main.app, [str(a) for a in args])
    assert (missing.exit_code, "cannot read" in missing.output) == (2, True)
    made = runner.invoke(main.app, ["keys", "authority", "--out", str(fleet)])
    assert made.exit_code == 0
    assert runner.invoke(main.app, [str(a) for a in args]).exit_code == 0
    files = tls.Files(
        authority=str(fleet / "authority.crt"),
        certificate=str(peer / "instance.crt"),
        key=str(peer / "instance.key"),
    )
    assert tls.server_context(files) is not None
    again = runner.invoke(main.app, [str(a) for a in args])
    assert again.exit_code == 2  # A key that is there is kept.


@pytest.mark.parametrize("broken", ["authority", "certificate", "key"])
def test_files_that_do_not_fit_are_a_clear_error(tmp_path, fleet, broken):
    good = _files(tmp_path / "one", signer=fleet)
    paths = {
        "authority": good.authority,
        "certificate": good.certificate,
        "key": good.key,
        broken: str(tmp_path / "missing"),
    }
    with pytest.raises(errors.LinkError, match="missing"):
        tls.server_context(tls.Files(**paths))
