"""Long lists, read page by page while they change and the store fails."""

import gevent
import pytest

from irisshelf.catalog import position
from irisshelf.platform import store_feed
from irisshelf.platform.stand_in import store as store_module
from irisshelf.store import feed

_NAMES = [f"server-{number}" for number in range(9)]


def _entry(state="ready"):
    return {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "a",
        "slots": 8,
        "state": state,
    }


@pytest.fixture
def store():
    """A store with nine servers, three a page."""
    made = store_module.Store().start()
    made.page_rows = 3
    for name in _NAMES:
        made.put("servers", name, _entry())
    yield made
    made.close()


@pytest.mark.parametrize("changed", ["server-0", "server-8"])
def test_what_changes_between_pages_is_told_afterwards(store, changed):
    def change(start):
        if start:
            store.on_page = lambda start: None
            store.put("servers", changed, _entry("draining"))

    store.on_page = change
    reader = store_feed.StoreFeed(address=store.address)
    whole = reader.snapshot(feed.Table.SERVERS).ok_value
    assert [item.key for item in whole.items] == _NAMES
    later = reader.changes(
        feed.Table.SERVERS, after=whole.position, wait_s=0.0
    ).ok_value
    assert [item.key for item in later.items] == [changed]


def test_a_failure_loses_no_page_that_was_read(store):
    pages = []

    def fail_at_the_second(start):
        pages.append(start)
        if len(pages) == 2:
            store.mode = store_module.Mode.BUSY

    store.on_page = fail_at_the_second
    reader = store_feed.StoreFeed(address=store.address)
    assert reader.snapshot(feed.Table.SERVERS).is_err()
    store.mode = store_module.Mode.WELL
    whole = reader.snapshot(feed.Table.SERVERS).ok_value
    assert [item.key for item in whole.items] == _NAMES
    assert pages.count("") == 1
    gevent.sleep(0)


def test_a_list_that_was_read_is_read_anew_the_next_time(store):
    reader = store_feed.StoreFeed(address=store.address)
    reader.snapshot(feed.Table.SERVERS)
    store.drop("servers", _NAMES[0])
    whole = reader.snapshot(feed.Table.SERVERS).ok_value
    assert [item.key for item in whole.items] == _NAMES[1:]


@pytest.mark.parametrize(
    ("versions", "document_bytes", "complete"),
    [
        (1, 50_000, True),
        (5, 80_000, True),
        (20, 80_000, False),
        (1, 700_000, False),
        (2, 700_000, False),
    ],
)
def test_an_answer_that_may_be_cut_off_says_so(
    store, versions, document_bytes, complete
):
    reader = store_feed.StoreFeed(address=store.address)
    for number in range(versions):
        document = {"version": number + 1, "note": "x" * document_bytes}
        last = store.put("op", "config", document)
    after = position.Position(era=0, revision=last - versions)
    batch = reader.changes(feed.Table.CATALOG, after=after, wait_s=0.0).ok_value
    assert batch.complete is complete
    whole = reader.snapshot(feed.Table.CATALOG).ok_value
    assert (len(whole.items), whole.complete) == (1, True)
    brought = len(batch.items)
    while not batch.complete and batch.position.revision < last:
        batch = reader.changes(
            feed.Table.CATALOG, after=batch.position, wait_s=0.0
        ).ok_value
        brought += len(batch.items)
    assert brought == versions
