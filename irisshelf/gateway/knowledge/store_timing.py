"""When the store is polled, by the operators' bounds and an instance's role.

Defines all the waits of ``follower``: the long-poll timeout, how long changes
are coalesced before the next poll, and when a reader gives up on its watcher.
"""

from __future__ import annotations

import math

from irisshelf.coordination import shared_watch
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway import settings
from irisshelf.store import feed

# Long-poll timeout as a share of the bound on withdrawn keys, where that is
# strict: the keys' confirmation ages while a poll is pending, and requests are
# rejected at 0.76 of the bound.
_LONG_POLL_KEY_SHARE = 0.4
# The store keeps a history of 20 s; a poll is pending for at most half of that.
_MAX_LONG_POLL_S = 10.0
# A lost response to a long poll is only noticed when it is overdue. So a poll
# for the servers is pending for at most this share of the time for which a
# leaving server still accepts requests.
_LONG_POLL_LEAVING_SHARE = 0.9
# If the response with an evacuation is lost, the next poll returns it;
# including that poll's own duration this takes two thirds of the bound.
_LONG_POLL_EVACUATION_SHARE = 0.5
# Time for which an answer and the wait after a change may exceed a long poll.
_ANSWER_MARGIN_S = 1.0
# Share of the time limit for a new configuration that is spent on fetching it
# from other instances; the rest suffices to read it from the store instead.
_RELAY_CATALOG_SHARE = 0.25
_RELAY_AT_START_S = 2.5
# Changes come in bursts and each request is billed, so that the next poll waits
# after a change. For the configuration the wait is short: the keys'
# confirmation ages meanwhile, and an instance that then loses the store would
# reject its callers sooner.
_COALESCE_CATALOG_S = 0.3
# Share of the time for which a leaving server still accepts requests; the rest
# is for the response's transit and for requests sent just before it arrives.
_COALESCE_LEAVING_SHARE = 0.5
# Share of that time for which polls for the list wait for the configuration.
_LIST_WAIT_LEAVING_SHARE = 0.4
# A watcher polls for a whole data centre, so that its polls may be frequent.
_COALESCE_WATCHER_S = 0.3
# A reader's poll for a new configuration transfers the whole document, and
# waits for this share of the time limit for a new configuration.
_COALESCE_READER_CATALOG_SHARE = 0.25
# The same for a document whose transfer takes so long that responses to callers
# wait for it: the link is then free for more than half of the time, and 0.6 of
# the limit remain for a transfer that competes with these responses.
_COALESCE_READER_LONG_CATALOG_SHARE = 0.4
_LONG_TRANSFER_S = 0.2


def long_poll_s(table: feed.Table, bounds: settings.Bounds) -> float:
    """Returns the long-poll timeout, in seconds.

    For the configuration it also bounds how long an instance takes to notice
    that it is cut off from the store: within the time limit for a new
    configuration.
    """
    if table is feed.Table.SERVERS:
        leaving_s = bounds.server_leaving_ms / 1000
        return min(_LONG_POLL_LEAVING_SHARE * leaving_s, _MAX_LONG_POLL_S)
    limit_s = bounds.catalog_in_force_ms / 1000
    if bounds.evacuated_ms is not None:
        evacuated_s = bounds.evacuated_ms / 1000
        limit_s = min(limit_s, _LONG_POLL_EVACUATION_SHARE * evacuated_s)
    if bounds.keys_strict:
        keys_s = bounds.key_withdrawn_ms / 1000
        limit_s = min(limit_s, _LONG_POLL_KEY_SHARE * keys_s)
    return min(limit_s, _MAX_LONG_POLL_S)


def list_wait_s(bounds: settings.Bounds) -> float:
    """Returns how long the list waits for the configuration, in seconds.

    In an outage, polls for one table show when the store has recovered. But the
    configuration may also fail to arrive because it is long.
    """
    return _LIST_WAIT_LEAVING_SHARE * bounds.server_leaving_ms / 1000


def max_gap_s(bounds: settings.Bounds) -> float:
    """Returns the longest time between answers of a store that is not away."""
    return long_poll_s(feed.Table.CATALOG, bounds) + _ANSWER_MARGIN_S


def missed_s(bounds: settings.Bounds) -> float:
    """Returns for how long before a loss changes of the list may be missing.

    The answer to one table's poll does not show that the other's was under way.
    """
    return long_poll_s(feed.Table.SERVERS, bounds) + max_gap_s(bounds)


def coalesce_s(
    table: feed.Table,
    bounds: settings.Bounds,
    role: shared_watch.Role = shared_watch.Role.STANDALONE,
    *,
    transfer_s: float = 0.0,
) -> float:
    """Returns how long changes are coalesced after a poll, in seconds.

    Args:
        table: The table.
        bounds: The operators' bounds.
        role: Role of this instance.
        transfer_s: How long the transfer of the document took, if responses to
            callers are to be spared; in seconds.
    """
    if role is shared_watch.Role.WATCHER:
        return _COALESCE_WATCHER_S
    if role is shared_watch.Role.READER and table is feed.Table.CATALOG:
        share = _COALESCE_READER_CATALOG_SHARE
        if transfer_s >= _LONG_TRANSFER_S:
            share = _COALESCE_READER_LONG_CATALOG_SHARE
        return share * bounds.catalog_in_force_ms / 1000
    if table is feed.Table.CATALOG:
        return _COALESCE_CATALOG_S
    return _COALESCE_LEAVING_SHARE * bounds.server_leaving_ms / 1000


def relay_timeout_s(bounds: settings.Bounds, *, starting: bool) -> float:
    """Returns the timeout of requests for a snapshot to peers, in seconds.

    Args:
        bounds: The operators' bounds.
        starting: Whether this instance has no copy of the table yet. Its whole
            data centre may be starting, so that the watcher reads it first.
    """
    if starting:
        return _RELAY_AT_START_S
    return _RELAY_CATALOG_SHARE * bounds.catalog_in_force_ms / 1000


def watch_timing(bounds: settings.Bounds) -> shared_watch.Timing:
    """Returns the poll timing of instances that share a watch."""
    tightest_ms = min(
        bounds.catalog_in_force_ms,
        bounds.server_leaving_ms,
        bounds.evacuated_ms or math.inf,
    )
    if bounds.keys_strict:
        keys_ms = instance_module.KEY_AGE_SHARE * bounds.key_withdrawn_ms
        tightest_ms = min(tightest_ms, keys_ms)
    return shared_watch.timing(tightest_ms / 1000)
