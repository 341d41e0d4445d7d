"""When the store is asked, by the operators' bounds and an instance's role.

One place for the waits of ``follower``: how long a call may be held, how long
changes are gathered before the next one, and when a reader gives up on its
watcher.
"""

from __future__ import annotations

import math

from irisshelf.coordination import shared_watch
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway import settings
from irisshelf.store import feed

# Where withdrawals bind strictly, keys age while a call is held: it is held for
# this part of the bound, and requests are refused at 0.76 of it.
_HOLD_OF_KEY_BOUND = 0.4
# The store forgets what is older than 20 s; a call is held for half of that.
_LONGEST_HOLD_S = 10.0
# A held call whose answer is lost is noticed when it is overdue. Nothing else
# shows it, so that a call on the servers is held no longer than for this part
# of the time that a leaving server still takes requests.
_HOLD_OF_LEAVING = 0.9
# An evacuation whose answer is lost is known by the next call, in two thirds of
# the bound with that call's own time.
_HOLD_OF_EVACUATION = 0.5
# Part of the time that a configuration has to come into force in which other
# instances may hand it on; what is left serves a call to the store instead.
_HAND_ON_OF_CATALOG = 0.25
_HAND_ON_AT_START_S = 2.5
# Changes come in bursts, and each call is paid for: after one, the next call
# waits. The configuration's wait is short, as keys age meanwhile, and an
# instance that is then cut off refuses its callers sooner.
_GATHER_CATALOG_S = 0.3
# Part of the time that a leaving server still takes requests; the rest is for
# the answer's way and for requests that were sent just before it.
_GATHER_OF_LEAVING = 0.5
# A watcher calls for a whole data centre, so that its calls may come often; a
# reader's call for a new configuration moves its body, and waits for this part
# of the time that the configuration has to come into force.
_GATHER_WATCHER_S = 0.3
_GATHER_READER_OF_CATALOG = 0.25


def long_poll_s(table: feed.Table, bounds: settings.Bounds) -> float:
    """Returns how long the store may hold a call, in seconds.

    The one on the configuration is also how an instance learns that it is cut
    off: within the time that a configuration has to come into force.
    """
    if table is feed.Table.SERVERS:
        leaving_s = bounds.server_leaving_ms / 1000
        return min(_HOLD_OF_LEAVING * leaving_s, _LONGEST_HOLD_S)
    longest_s = bounds.catalog_in_force_ms / 1000
    if bounds.evacuated_ms is not None:
        evacuated_s = bounds.evacuated_ms / 1000
        longest_s = min(longest_s, _HOLD_OF_EVACUATION * evacuated_s)
    if bounds.keys_strict:
        keys_s = bounds.key_withdrawn_ms / 1000
        longest_s = min(longest_s, _HOLD_OF_KEY_BOUND * keys_s)
    return min(longest_s, _LONGEST_HOLD_S)


def coalesce_s(
    table: feed.Table,
    bounds: settings.Bounds,
    role: shared_watch.Role = shared_watch.Role.STANDALONE,
) -> float:
    """Returns how long changes are gathered after one, in seconds."""
    if role is shared_watch.Role.WATCHER:
        return _GATHER_WATCHER_S
    if role is shared_watch.Role.READER and table is feed.Table.CATALOG:
        return _GATHER_READER_OF_CATALOG * bounds.catalog_in_force_ms / 1000
    if table is feed.Table.CATALOG:
        return _GATHER_CATALOG_S
    return _GATHER_OF_LEAVING * bounds.server_leaving_ms / 1000


def relay_timeout_s(bounds: settings.Bounds, *, starting: bool) -> float:
    """Returns how long other instances are waited for, in seconds.

    Args:
        bounds: The operators' bounds.
        starting: Whether this instance has no copy of the table yet. Its whole
            data centre may be starting, so that the watcher reads it first.
    """
    if starting:
        return _HAND_ON_AT_START_S
    return _HAND_ON_OF_CATALOG * bounds.catalog_in_force_ms / 1000


def watch_timing(bounds: settings.Bounds) -> shared_watch.Timing:
    """Returns when the store is asked where a watch is shared."""
    tightest_ms = min(
        bounds.catalog_in_force_ms,
        bounds.server_leaving_ms,
        bounds.evacuated_ms or math.inf,
    )
    if bounds.keys_strict:
        keys_ms = instance_module.KEY_AGE_SHARE * bounds.key_withdrawn_ms
        tightest_ms = min(tightest_ms, keys_ms)
    return shared_watch.timing(tightest_ms / 1000)
