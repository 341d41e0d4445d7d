"""What is known of an incarnation's departure after statements of any order."""

import pytest

from irisshelf.catalog import departures
from irisshelf.catalog import directory

_Source = departures.Source
_READY = directory.ServerState.READY
_LEAVING = directory.ServerState.LEAVING


def _entry(state=_READY, *, born_ms=None, port=1):
    server = directory.BackendServer(
        server_id=directory.incarnation_id("i-1", born_ms),
        entry_id="i-1",
        born_ms=born_ms,
        service="crew",
        address=f"10.0.0.1:{port}",
        data_centre="a",
        slots=4,
        state=state,
    )
    return directory.Change(entry_id="i-1", server=server)


_GONE = directory.Change(entry_id="i-1", server=None)


def _by_response(known, now, born_ms=None):
    known.announce(
        directory.incarnation_id("i-1", born_ms),
        source=_Source.RESPONSE,
        now=now,
        address="10.0.0.1:1",
    )


def _by_peer(known, now, born_ms=None):
    key = directory.short_id(directory.incarnation_id("i-1", born_ms))
    known.announce_unlisted(key, now)
    known.observe(_entry(born_ms=born_ms), now)


def _by_entry(known, now, born_ms=None):
    known.observe(_entry(_LEAVING, born_ms=born_ms), now)


@pytest.mark.parametrize("announce", [_by_entry, _by_response, _by_peer])
@pytest.mark.parametrize("born_ms", [None, 7])
@pytest.mark.parametrize(
    "later",
    [
        pytest.param([], id="nothing"),
        pytest.param([_READY], id="ready"),
        pytest.param([None, _READY], id="gone-and-ready"),
        pytest.param([None], id="gone"),
        pytest.param([_READY, _LEAVING, _READY], id="ready-by-turns"),
    ],
)
def test_no_later_entry_of_the_incarnation_takes_it_back(
    announce, born_ms, later
):
    known = departures.Departures()
    announce(known, 1.0, born_ms)
    for at_s, state in enumerate(later, start=2):
        change = _GONE if state is None else _entry(state, born_ms=born_ms)
        contradicts = known.observe(change, float(at_s))
        assert contradicts is (state is _READY)
    name = directory.incarnation_id("i-1", born_ms)
    assert known.get(name) is not None


@pytest.mark.parametrize(
    ("before", "after"),
    [
        pytest.param(_entry(born_ms=7), _entry(born_ms=8), id="start-time"),
        pytest.param(_entry(born_ms=8), _entry(born_ms=7), id="clock-set-back"),
        pytest.param(_entry(), _entry(born_ms=7), id="start-time-added"),
        pytest.param(_entry(port=1), _entry(port=2), id="address"),
    ],
)
def test_another_incarnation_is_not_affected(before, after):
    known = departures.Departures()
    known.announce(
        before.server.server_id,
        source=_Source.RESPONSE,
        now=1.0,
        address=before.server.address,
    )
    assert not known.observe(after, 2.0)
    assert known.get(after.server.server_id) is None


_LATE_S = 2.0 + departures.RETURN_S


@pytest.mark.parametrize(
    ("events", "as_of_s", "returned"),
    [
        pytest.param([(2.0, _entry())], _LATE_S, True, id="stays-ready"),
        pytest.param([(2.0, _entry())], _LATE_S - 0.1, False, id="not-yet"),
        pytest.param(
            [(2.0, _entry()), (5.0, _GONE)], 99.0, False, id="entry-expires"
        ),
        pytest.param(
            [(2.0, _entry()), (5.0, _GONE), (6.0, _entry())],
            _LATE_S,
            False,
            id="entry-is-written-again",
        ),
        pytest.param(
            [(2.0, _entry()), (5.0, _entry(_LEAVING))],
            99.0,
            False,
            id="announced-by-an-entry-again",
        ),
        pytest.param(
            [(2.0, _entry()), (5.0, "announced")],
            _LATE_S,
            False,
            id="announced-by-a-response-again",
        ),
        pytest.param(
            [(2.0, _entry()), (5.0, "list without it")],
            99.0,
            False,
            id="missing-in-a-whole-list",
        ),
        pytest.param([], 99.0, False, id="never-listed-again"),
    ],
)
def test_without_a_start_time_an_entry_that_stays_ready_is_a_new_incarnation(
    events, as_of_s, returned
):
    known = departures.Departures()
    _by_response(known, 1.0)
    for at_s, event in events:
        if event == "announced":
            _by_response(known, at_s)
        elif event == "list without it":
            known.retain_listed(["i-2"])
        else:
            known.observe(event, at_s)
    assert known.take_returned(as_of_s) == (("i-1",) if returned else ())
    assert (known.get("i-1") is None) is returned


def test_with_a_start_time_no_entry_is_another_incarnation():
    known = departures.Departures()
    _by_response(known, 1.0, born_ms=7)
    assert known.observe(_entry(born_ms=7), 2.0)
    assert known.take_returned(1e6) == ()


def test_the_number_of_leaving_incarnations_is_limited():
    known = departures.Departures()
    for number in range(5000):
        known.announce(f"i-{number}", source=_Source.RESPONSE, now=1.0)
        known.announce_unlisted(b"%d" % number, 1.0)
    assert known.get("i-4999") is not None
    assert known.get("i-0") is None
    keys = known.keys()
    assert len(keys) == 4000
    assert b"4999" in keys
    assert b"0" not in keys


def test_keys_name_listed_and_unlisted_servers():
    known = departures.Departures()
    _by_response(known, 1.0)
    known.announce_unlisted(b"other", 1.0)
    assert known.keys() == [directory.short_id("i-1"), b"other"]
    assert known.keys(1.0) == known.keys()
    assert known.keys(1.1) == []
    servers = [_entry().server, _entry(born_ms=7).server]
    assert known.keys_of(servers) == [directory.short_id("i-1")]
