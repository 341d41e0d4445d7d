"""Applies what other instances publish about backend servers."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Protocol

from irisshelf.catalog import directory
from irisshelf.coordination import facts
from irisshelf.gateway.servers import eligibility
from irisshelf.gateway.servers import listed_servers
from irisshelf.gateway.servers import server_reports
from irisshelf.routing.direct import server_choice


class _OnExit(Protocol):
    def __call__(
        self, server: directory.BackendServer, *, returned: bool
    ) -> None: ...


class FactApplication:
    """Applies the facts that other instances have published.

    Facts about servers that are not listed here are ignored, except that they
    leave.

    Args:
        listed: The servers that the store lists.
        keys: The same by the keys that facts contain.
        eligible: Which servers may receive requests.
        chooser: Returns the chooser for a service.
        reports: Handles reports that servers leave.
        on_backoff: Called when a server asks for a backoff.
        on_exit: Called when a server's process has ended, and with whether
            another one has taken its place.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        *,
        listed: directory.Directory,
        keys: listed_servers.ListedServers,
        eligible: eligibility.Eligibility,
        chooser: Callable[[str], server_choice.Chooser],
        reports: server_reports.ReportHandler,
        on_backoff: Callable[[directory.BackendServer], None],
        on_exit: _OnExit,
        now: Callable[[], float],
    ):
        self._listed = listed
        self._keys = keys
        self._eligible = eligible
        self._chooser = chooser
        self._reports = reports
        self._on_backoff = on_backoff
        self._on_exit = on_exit
        self._now = now

    @functools.singledispatchmethod
    def apply(self, fact: facts.Fact) -> None:
        """Applies a fact."""
        raise TypeError(f"fact is {fact!r}, allowed: {facts.Fact}")

    @apply.register
    def _(self, fact: facts.PartCached) -> None:
        server = self._keys.by_key(fact.server)
        if server is not None:
            cache = self._chooser(server.service).cache_locations
            cache.record_from_peer(fact.part, server.server_id, self._now())

    @apply.register
    def _(self, fact: facts.ServerCold) -> None:
        entry_id = self._keys.entry_id(fact.server)
        server = None if entry_id is None else self._listed.get(entry_id)
        if server is not None:
            now = self._now()
            remaining_s = fact.until_s - now
            self._eligible.cold.assume_cold(server.server_id, remaining_s, now)

    @apply.register
    def _(self, fact: facts.ServerPause) -> None:
        server = self._keys.by_key(fact.server)
        if server is not None:
            now = self._now()
            remaining_s = fact.until_s - now
            self._eligible.availability.record_peer_pause(
                server.server_id, remaining_s, now
            )
            self._on_backoff(server)

    @apply.register
    def _(self, fact: facts.ServerLeaving) -> None:
        departures = self._eligible.availability.departures
        server = self._keys.by_key(fact.server)
        if server is None:
            departures.announce_unlisted(fact.server, self._now())
        else:
            self._reports.handle_peer_report(server)

    @apply.register
    def _(self, fact: facts.ServerExited) -> None:
        server = self._keys.by_key(fact.server)
        if server is not None:
            self._on_exit(server, returned=fact.returned)

    @apply.register
    def _(self, fact: facts.ServerLoad) -> None:
        server = self._keys.by_key(fact.server)
        if server is not None:
            stats = self._chooser(server.service).stats
            stats.record_load_report(
                server.server_id,
                work=fact.work,
                at_s=fact.at_s,
                slowdown=fact.slowdown,
            )
