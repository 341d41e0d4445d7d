"""Sends recent releases of the servers to instances that have just started.

The list of servers contains the current releases only, but a stream may have
begun with an earlier one. Instances that have followed the list for longer know
those as well.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Annotated

import cbor2
import msgspec

from irisshelf.catalog import releases as releases_module
from irisshelf.gateway.knowledge import catch_up
from irisshelf.gateway.knowledge import peer_discovery
from irisshelf.observe import decision_log

# Path at which an instance serves ``ReleaseExchange.encode``.
PATH = "/releases"
# Longer than any stream.
_MAX_REACH_S = 1e9

_Seconds = Annotated[float, msgspec.Meta(ge=0, le=_MAX_REACH_S)]
_Key = Annotated[
    bytes,
    msgspec.Meta(
        min_length=releases_module.KEY_BYTES,
        max_length=releases_module.KEY_BYTES,
    ),
]


class ServiceReleases(msgspec.Struct, array_like=True):
    """The history of one service, as it is sent.

    Attributes:
        name: Name of the service.
        ages_s: By release, for how long it has not been listed.
        reach_s: For how long back no release is missing.
    """

    name: str
    ages_s: dict[_Key, _Seconds]
    reach_s: _Seconds


def describe(
    history: releases_module.ReleaseHistory, now: float
) -> list[ServiceReleases]:
    """Returns the history of each service, for ``merge``.

    Args:
        history: The history.
        now: Monotonic seconds.
    """
    services = []
    for name in sorted(history.services()):
        known = history.describe(name, now)
        services.append(
            ServiceReleases(
                name=name,
                ages_s=dict(known.ages_s),
                reach_s=min(known.reach_s, _MAX_REACH_S),
            )
        )
    return services


def merge(
    history: releases_module.ReleaseHistory,
    services: Iterable[ServiceReleases],
    now: float,
    *,
    age_s: float = 0.0,
) -> None:
    """Adds what another instance has described.

    Args:
        history: The history to add to.
        services: The description.
        now: Monotonic seconds.
        age_s: How long ago it was described. Since then, no instance has used a
            release that is not in another description.
    """
    for service in services:
        described = releases_module.ServiceHistory(
            ages_s={key: one + age_s for key, one in service.ages_s.items()},
            reach_s=service.reach_s + age_s,
        )
        history.merge(service.name, described, now)


class ReleaseExchange:
    """Serves the history of releases to peers, and asks them for theirs.

    Args:
        releases: What this instance knows.
        peers: Carries questions.
        log: Receives decoding errors.
        rng: Selects whom to ask.
        has_recent_list: Returns whether this instance has recently received
            the list of servers, so that it knows all releases until then.
        on_changed: Called after releases have been added.
        on_in_vain: Called if no instance has sent all releases.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        *,
        releases: releases_module.ReleaseHistory,
        peers: peer_discovery.PeerDiscovery,
        log: decision_log.DecisionLog,
        rng: random.Random,
        has_recent_list: Callable[[], bool],
        on_changed: Callable[[], None] = lambda: None,
        on_in_vain: Callable[[], None] = lambda: None,
        now: Callable[[], float],
    ):
        self._releases = releases
        self._log = log
        self._has_recent_list = has_recent_list
        self._on_changed = on_changed
        self._on_in_vain = on_in_vain
        self._now = now
        self._rounds = catch_up.Rounds(
            target=PATH,
            peers=peers,
            rng=rng,
            apply=self.apply,
            is_complete=self._is_complete,
        )
        peers.register_handler(PATH, self.encode)

    def catch_up(self) -> None:
        """Asks peers until all releases are known, for some seconds.

        A service that is listed only later makes more of them needed.
        """
        if not self._rounds.run(until_complete=False):
            self._on_in_vain()
            self._log.instance(
                "releases_not_caught_up",
                reach_s={
                    name: round(self._releases.reach_s(name, self._now()), 1)
                    for name in self._releases.services()
                },
            )

    def ask(self, count: int) -> None:
        """Asks some peers, unless all releases are known."""
        self._rounds.ask(count)

    def encode(self, fields: Mapping[str, str] | None = None) -> bytes:
        """Encodes the history, for ``apply``.

        Args:
            fields: Query parameters; ignored.
        """
        if not self._has_recent_list():
            return cbor2.dumps([])
        services = describe(self._releases, self._now())
        return cbor2.dumps(
            msgspec.to_builtins(services, builtin_types=(bytes,))
        )

    def apply(self, data: bytes) -> None:
        """Applies the result of a peer's ``encode``."""
        try:
            services = catch_up.decode(data, list[ServiceReleases])
        except ValueError as exc:
            self._log.warning("releases_unreadable", detail=str(exc))
            return
        merge(self._releases, services, self._now())
        self._on_changed()

    def _is_complete(self) -> bool:
        now = self._now()
        names = self._releases.services()
        return bool(names) and all(
            self._releases.reach_s(name, now) >= self._releases.horizon_s
            for name in names
        )
