"""State of a running entry instance."""

from __future__ import annotations

import dataclasses
import enum
import functools
import math
import random
from collections.abc import Callable
from collections.abc import Iterable

from gevent import event

from irisshelf import boottime
from irisshelf.catalog import directory
from irisshelf.catalog import evacuations
from irisshelf.catalog import freshness
from irisshelf.catalog import model
from irisshelf.coordination import stream_origins
from irisshelf.gateway import dialect as dialect_module
from irisshelf.gateway import metrics
from irisshelf.gateway import settings
from irisshelf.gateway import shutdown
from irisshelf.gateway.servers import crash_tracker
from irisshelf.gateway.servers import demand_monitor
from irisshelf.gateway.servers import eligibility
from irisshelf.gateway.servers import origin_registry
from irisshelf.gateway.servers import return_registry
from irisshelf.gateway.servers import servers as servers_module
from irisshelf.gateway.servers import suspect_requests
from irisshelf.observe import decision_log
from irisshelf.overload import return_rate
from irisshelf.transport import memory_budget

# With ``keys_strict``, how long a key stays valid after the store last
# confirmed it, as a share of ``key_withdrawn_ms``. The rest is needed because
# the store may report a change a second late (when it drops its history).
KEY_AGE_SHARE = 0.76
# Outages of the store are shorter.
_LONGEST_OUTAGE_S = 10.0
_BYTES_PER_MB = 1_000_000
# A stream that is resumed has begun within the time-out of so many attempts.
_ATTEMPTS_OF_A_STREAM = 2
# A long poll for the configuration lasts at most ``catalog_in_force_ms`` and is
# answered within this time afterwards; see ``follower``.
_LONG_POLL_MARGIN_S = 0.6


class ListSource(enum.StrEnum):
    """Where the latest version of the server list came from."""

    NONE = ""
    STORE = "store"
    WATCHER = "watcher"
    RELAY = "relay"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ListVersion:
    """The version of the server list that is in use.

    Attributes:
        as_of_s: When it was the latest, in monotonic seconds, at the earliest;
            minus infinity if not known.
        revision: The store's revision.
        source: Where it came from.
    """

    as_of_s: float = -math.inf
    revision: int = 0
    source: ListSource = ListSource.NONE


class Instance:
    """State of one entry instance, shared by its greenlets.

    Args:
        cfg: The settings.
        dialect: Dialect of callers and backend servers.
        log: Decision log.
        rng: Used for weighted choices and to break ties.
        now: Returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        cfg: settings.Settings,
        dialect: dialect_module.Dialect,
        log: decision_log.DecisionLog,
        rng: random.Random,
        now: Callable[[], float] = boottime.now,
    ):
        self.cfg = cfg
        self.dialect = dialect
        self.log = log
        self.rng = rng
        self.now = now
        self.metrics = metrics.Metrics()
        # Responses of servers, and bodies of requests, that are kept in memory.
        self.response_memory = memory_budget.MemoryBudget(
            limit_bytes=lambda: int(
                self.cfg.read_limits.responses_mb * _BYTES_PER_MB
            )
        )
        self.request_memory = memory_budget.MemoryBudget(
            limit_bytes=lambda: int(
                self.cfg.read_limits.requests_mb * _BYTES_PER_MB
            )
        )
        self.metrics.response_memory.set_function(
            lambda: self.response_memory.used_bytes
        )
        self.metrics.request_memory.set_function(
            lambda: self.request_memory.used_bytes
        )
        self.catalog: model.Catalog | None = None
        self.directory = directory.Directory()
        self.freshness = freshness.Freshness()
        self.evacuations = evacuations.Evacuations()
        self.eligible = eligibility.Eligibility(
            cfg=cfg,
            listed=self.directory,
            evacuations=self.evacuations,
            rng=rng,
            now=now,
        )
        self.servers = servers_module.Servers(
            cfg=cfg,
            listed=self.directory,
            eligible=self.eligible,
            log=log,
            counts=self.metrics,
            rng=rng,
            now=now,
        )
        self.demand = demand_monitor.DemandMonitor(
            cfg=cfg,
            eligible=self.eligible,
            stats_of=lambda service: self.servers.chooser(service).stats,
            reports_slowdown=lambda service: self.servers.reports_slowdown(
                service
            ),
            log=log,
            counts=self.metrics,
            now=now,
        )
        self.servers.controls_overload = self.demand.in_effect
        self.crash_tracker = crash_tracker.CrashTracker(
            servers=self.servers,
            listed=self.directory,
            log=log,
            counts=self.metrics,
            now=now,
        )
        self.suspect_requests = suspect_requests.SuspectRequests(
            suspects=self.crash_tracker.suspects,
            servers=self.servers,
            now=now,
        )
        # Start of a store outage that also affects other instances of the data
        # centre, in monotonic seconds; None if there is none or it is unknown.
        self.outage_since_s: float | None = None
        self.list_version = ListVersion()
        self.eligible.list_as_of_s = lambda: self.list_version.as_of_s
        # Replaced by one that also asks other instances.
        self.origins = origin_registry.OriginRegistry(
            releases=self.servers.releases, now=now
        )
        # Replaced by one that also asks other instances.
        self.use_returns(
            return_registry.ReturnRegistry(draw=rng.random, now=now)
        )
        # Fetches the list of servers from peers.
        self.refresh_servers: Callable[[], None] = _do_nothing
        self._crashes_known = True
        self._server_list_loaded = False
        self._configured_event = event.Event()
        self._last_ready = False
        # The schedule of the stop; None until it begins.
        self.shutdown: shutdown.Schedule | None = None
        self.in_flight = 0
        self._suspend_meter = boottime.SuspendMeter()

    def apply_settings(self, cfg: settings.Settings) -> None:
        """Applies reloaded settings."""
        if cfg.overload.team_weights != self.cfg.overload.team_weights:
            self.servers.reset_fleet_admission()
        self.cfg = cfg
        self.servers.cfg = cfg
        self.eligible.cfg = cfg
        self.demand.cfg = cfg

    def use_returns(self, returns: return_registry.ReturnRegistry) -> None:
        """Sets where reservations of returning callers are kept."""
        self.returns = returns
        returns.rate_per_s = functools.partial(
            self._return_rate_per_s, returns.rate_per_s
        )

    def _return_rate_per_s(
        self,
        by_own_requests: Callable[[str, int], float],
        service: str,
        priority: int,
    ) -> float:
        """Returns this instance's part of the rate at which callers may return.

        Args:
            by_own_requests: Returns the same by what this instance has admitted
                itself; used until the service's capacity has been allocated.
            service: The service.
            priority: Priority of the callers.

        Returns:
            Requests per second.
        """
        quotas = self.servers.fleet_admission(service).quotas
        if quotas is None:
            return by_own_requests(service, priority)
        return return_rate.rate_per_s(
            priority,
            quotas=quotas,
            fleet=self.demand.service(service),
            own=self.demand.own(service),
            slot_time_s=self.demand.meter.slot_time_s(service, priority),
        )

    def buffers_responses(self) -> bool:
        """Returns whether responses are kept for callers that read slowly."""
        admission = self.cfg.overload.fleet_admission
        return admission is settings.FleetAdmission.ON or any(
            map(self.servers.reports_slowdown, self._service_names())
        )

    def log_suspend(self) -> None:
        """Logs whether the machine was suspended since the last call.

        Called before each request is admitted. Time-outs that expired during
        the suspension have taken effect by then, since the clock includes
        suspended time; see ``boottime``.
        """
        slept_s = self._suspend_meter.take_suspended_s()
        if not slept_s:
            return
        self.metrics.slept.inc(slept_s)
        age_s = self.freshness.age_s(self.now())
        self.log.warning(
            "slept",
            for_s=round(slept_s, 3),
            in_flight=self.in_flight,
            catalog_age_s=round(age_s, 3) if age_s < 1e9 else None,
            keys_hold=self.keys_valid(),
        )

    @property
    def configured(self) -> bool:
        """Whether all has been loaded that requests are served by."""
        return (
            self._server_list_loaded
            and self.catalog is not None
            and self.crashes_known
        )

    @property
    def crashes_known(self) -> bool:
        """Whether it is known which requests crash servers.

        Peers have answered, or are not waited for any longer.
        """
        return self._crashes_known

    @crashes_known.setter
    def crashes_known(self, known: bool) -> None:
        self._crashes_known = known
        self._notify_if_configured()

    def await_configured(self, timeout_s: float) -> bool:
        """Waits until the instance is configured.

        Args:
            timeout_s: Time limit in seconds.

        Returns:
            Whether it is configured.
        """
        if not self.configured and timeout_s > 0:
            self._configured_event.wait(timeout_s)
        return self.configured

    def _notify_if_configured(self) -> None:
        if self.configured:
            self._configured_event.set()

    @property
    def stopping(self) -> bool:
        """Whether a graceful stop has begun."""
        return self.shutdown is not None

    def begin_stop(self, signalled_s: float | None = None) -> None:
        """Begins a graceful stop; later calls have no effect.

        Args:
            signalled_s: When the signal arrived, monotonic seconds; now by
                default.
        """
        if self.shutdown is None:
            began_s = self.now() if signalled_s is None else signalled_s
            self.shutdown = shutdown.plan(began_s, self.cfg.bounds.stop_s)

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send new connections here."""
        return not self._why_not_ready()

    @property
    def isolated(self) -> bool:
        """Whether no server can be reached, directly or by other instances."""
        return self.servers.reach.is_isolated(self._service_names())

    def reaches_none(self) -> bool:
        """Returns whether this instance can itself connect to no server."""
        return self.servers.reach.reaches_none(self._service_names())

    def _service_names(self) -> Iterable[str]:
        return self.catalog.services if self.catalog else ()

    def check_readiness(self) -> bool:
        """Returns whether the instance is ready, and logs a change."""
        why = self._why_not_ready()
        ready = not why
        if ready is not self._last_ready:
            self._last_ready = ready
            self.metrics.ready.set(ready)
            age_s = self.freshness.age_s(self.now())
            self.log.instance(
                "readiness",
                ready=ready,
                why=why,
                catalog=self.catalog.version if self.catalog else None,
                catalog_age_s=round(age_s, 3) if age_s < 1e9 else None,
                servers=len(self.directory.servers()),
            )
        return ready

    def _why_not_ready(self) -> str:
        if not self.configured:
            return "no configuration yet"
        if self.stopping:
            return "stopping"
        if not self.keys_valid():
            return "cut off from the store"
        if self.isolated:
            return "no backend server reachable"
        return ""

    def keys_valid(self) -> bool:
        """Tells whether the store has confirmed the keys recently enough."""
        bounds = self.cfg.bounds
        bound_s = bounds.keys_unconfirmed_s
        if bounds.keys_strict:
            bound_s = bounds.key_withdrawn_ms / 1000 * KEY_AGE_SHARE
        return self.freshness.age_s(self.now()) <= bound_s

    def has_recent_list(self) -> bool:
        """Returns whether this instance misses changes of some seconds at most.

        The store may be away for as long, for all instances.
        """
        return self.freshness.age_s(self.now()) <= _LONGEST_OUTAGE_S

    def is_in_contact(self) -> bool:
        """Returns whether any instance has recently reached the store."""
        return not self.catalog_may_be_stale()

    def catalog_may_be_stale(self) -> bool:
        """Tells whether a newer configuration may have to be in force.

        The age of the configuration grows during a long poll, so that it may be
        stale only once the response to the poll is overdue.
        """
        in_force_s = self.cfg.bounds.catalog_in_force_ms / 1000
        return (
            self.freshness.age_s(self.now()) > in_force_s + _LONG_POLL_MARGIN_S
        )

    def apply_catalog(self, catalog: model.Catalog) -> bool:
        """Puts a configuration in force, if it is newer than the current one.

        Returns:
            Whether the configuration was applied.
        """
        if self.catalog is not None and (
            catalog.version <= self.catalog.version
        ):
            return False
        before = self.catalog.version if self.catalog else 0
        self.catalog = catalog
        self.eligible.services = catalog.services
        horizon_s = _ATTEMPTS_OF_A_STREAM * catalog.longest_stream_s
        self.servers.releases.horizon_s = horizon_s
        self.origins.origins.life_s = self.servers.releases.life_s = max(
            stream_origins.MIN_LIFE_S, horizon_s
        )
        self._notify_if_configured()
        self.metrics.catalog_version.set(catalog.version)
        self.log.instance(
            "catalog_in_force",
            version=catalog.version,
            before=before,
            routes=len(catalog.routes),
            teams=None if catalog.teams is None else len(catalog.teams),
            keys=len(catalog.keys),
        )
        return True

    def evacuations_changed(
        self, changed: evacuations.EvacuationChanges
    ) -> None:
        """Applies the start or end of data centre evacuations."""
        if not changed:
            return
        evacuated = sorted(self.evacuations.active())
        self.metrics.evacuated.set(len(evacuated))
        self.log.instance(
            "evacuations",
            begun=sorted(changed.begun),
            lifted=sorted(changed.lifted),
            in_force=evacuated,
        )
        for data_centre in changed.lifted:
            self.eligible.evacuation_lifted(data_centre)

    def server_list_loaded(self) -> None:
        """Records that the server list has been read from the store."""
        self._server_list_loaded = True
        self.servers.on_list_changed()
        self._notify_if_configured()


def _do_nothing() -> None:
    """Default for ``refresh_servers``, used until peers are known."""
