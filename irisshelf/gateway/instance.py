"""What one entry instance holds and believes while it runs."""

from __future__ import annotations

import random
from collections.abc import Callable

from irisshelf import boottime
from irisshelf.catalog import directory
from irisshelf.catalog import evacuations
from irisshelf.catalog import freshness
from irisshelf.catalog import model
from irisshelf.gateway import dialect as dialect_module
from irisshelf.gateway import metrics
from irisshelf.gateway import settings
from irisshelf.gateway.servers import crash_tracker
from irisshelf.gateway.servers import eligibility
from irisshelf.gateway.servers import servers as servers_module
from irisshelf.observe import decision_log

# Where withdrawals bind strictly, a key holds for so long after the store last
# confirmed it, as a share of the bound: the store may tell a change a second
# late (when it drops its history).
KEY_AGE_SHARE = 0.76
# A call on the configuration is held for the time that one has to come into
# force, at the most, and answered within this time after; see ``follower``.
_ANSWER_S = 0.6


class Instance:
    """State of one entry instance, shared by its greenlets.

    Args:
        cfg: The settings.
        dialect: What callers and servers speak.
        log: Takes decisions.
        rng: For weights and ties.
        now: Monotonic seconds.
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
        self.crashes = crash_tracker.CrashTracker(
            servers=self.servers,
            listed=self.directory,
            log=log,
            counts=self.metrics,
            now=now,
        )
        # Since when the store is away for others of the data centre as well,
        # monotonic seconds; None if it is not, or if that is not known.
        self.outage_since_s: float | None = None
        self._listed = False
        self._was_ready = False
        self.stopping_since_s: float | None = None
        self.in_flight = 0
        self._sleep_meter = boottime.SleepMeter()

    def apply_settings(self, cfg: settings.Settings) -> None:
        """Takes settings that were read anew."""
        self.cfg = cfg
        self.servers.cfg = cfg
        self.eligible.cfg = cfg

    def log_suspend(self) -> None:
        """Logs that the machine has slept, if it has since the last time.

        Asked before each request is admitted. What ran out in the sleep has
        run out by then in any case, see ``boottime``.
        """
        slept_s = self._sleep_meter.slept_s()
        if not slept_s:
            return
        self.metrics.slept.inc(slept_s)
        age_s = self.freshness.age_s(self.now())
        self.log.problem(
            "slept",
            for_s=round(slept_s, 3),
            in_flight=self.in_flight,
            catalog_age_s=round(age_s, 3) if age_s < 1e9 else None,
            keys_hold=self.keys_valid(),
        )

    @property
    def configured(self) -> bool:
        """Whether configuration and servers are known."""
        return self._listed and self.catalog is not None

    @property
    def stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.stopping_since_s is not None

    @property
    def ready(self) -> bool:
        """Whether the balancer should send new connections here."""
        return not self._why_not_ready()

    @property
    def isolated(self) -> bool:
        """Whether no server of the configuration's can be reached."""
        services = self.catalog.services if self.catalog else ()
        return self.servers.is_isolated(services)

    def check_readiness(self) -> bool:
        """Tells whether it is ready, and logs it if that has changed."""
        why = self._why_not_ready()
        ready = not why
        if ready is not self._was_ready:
            self._was_ready = ready
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
            return "no server in reach"
        return ""

    def keys_valid(self) -> bool:
        """Tells whether the store has confirmed the keys lately enough."""
        bounds = self.cfg.bounds
        bound_s = bounds.keys_unconfirmed_s
        if bounds.keys_strict:
            bound_s = bounds.key_withdrawn_ms / 1000 * KEY_AGE_SHARE
        return self.freshness.age_s(self.now()) <= bound_s

    def catalog_may_be_stale(self) -> bool:
        """Tells whether a configuration may be owed that is not in force.

        Its age grows while a call is held, so that it is in doubt only once
        that call is overdue.
        """
        in_force_s = self.cfg.bounds.catalog_in_force_ms / 1000
        return self.freshness.age_s(self.now()) > in_force_s + _ANSWER_S

    def apply_catalog(self, catalog: model.Catalog) -> bool:
        """Brings a configuration into force, unless it is an older one."""
        if self.catalog is not None and (
            catalog.version <= self.catalog.version
        ):
            return False
        before = self.catalog.version if self.catalog else 0
        self.catalog = catalog
        self.eligible.services = catalog.services
        self.metrics.catalog_version.set(catalog.version)
        self.log.instance(
            "catalog_in_force",
            version=catalog.version,
            before=before,
            routes=len(catalog.routes),
            keys=len(catalog.teams),
        )
        return True

    def evacuations_changed(self, changed: evacuations.Changed) -> None:
        """Takes that data centres are evacuated, or are not any more."""
        if not changed:
            return
        evacuated = sorted(self.evacuations.now())
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
        """Notes that the store's list has been read."""
        self._listed = True
        self.servers.on_list_changed()
