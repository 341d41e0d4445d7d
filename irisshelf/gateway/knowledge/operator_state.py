"""Brings what the operators write into force: configurations, evacuations."""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Iterable

from irisshelf.catalog import evacuations
from irisshelf.catalog import model
from irisshelf.coordination import shared_watch
from irisshelf.gateway import instance as instance_module
from irisshelf.store import feed

_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredCatalog:
    """A configuration as the store has it.

    Attributes:
        version: Its version.
        raw: The document.
        digest: Of the document.
    """

    version: int
    raw: bytes
    digest: bytes


class OperatorState:
    """Takes what the store, or the watcher of the data centre, tells.

    Args:
        inst: The instance in which it comes into force.

    Attributes:
        stored_version: Of the newest configuration that the store is known to
            have; None if that is not known.
        stored: The configuration in force as the store has it, for other
            instances; None if that is not known.
    """

    def __init__(self, *, inst: instance_module.Instance):
        self._inst = inst
        self.stored_version: int | None = None
        self.stored_catalog: StoredCatalog | None = None

    @property
    def store_is_behind(self) -> bool:
        """Whether the store lacks the configuration in force.

        It has come back from a copy that is older. Until the operators have
        written the newest again, its answers confirm nothing: keys may
        have been withdrawn since the copy, and they stay withdrawn.
        """
        catalog = self._inst.catalog
        if catalog is None:
            return False
        stored = self.stored_version
        return stored is None or stored < catalog.version

    def apply_batch(self, batch: feed.Batch, now: float) -> bool:
        """Takes an answer of the store.

        Returns:
            Whether a configuration has come into force in place of another.
        """
        catalog = self._inst.catalog
        brought = False
        if batch.whole:
            self.stored_version = None
        rows = []
        for item in batch.items:
            if item.problem:
                self._log_unreadable(item)
            elif isinstance(item.value, evacuations.Evacuation):
                rows.append(item.value)
            elif isinstance(item.value, model.Catalog):
                self.stored_version = item.value.version
                brought |= self._inst.apply_catalog(item.value)
                self._hold(item)
        self._take_evacuations(batch, rows, now)
        return brought and catalog is not None

    def apply_update(
        self, update: shared_watch.CatalogUpdate, now: float
    ) -> None:
        """Takes the evacuations that an update tells."""
        changed = self._inst.evacuations.replace(
            update.evacuated, update.position, now
        )
        self._inst.evacuations_changed(changed)

    def expire(self, now: float) -> None:
        """Lifts evacuations that a copy lacked and nobody wrote again."""
        changed = self._inst.evacuations.expire(now)
        self._inst.evacuations_changed(changed)

    def make_update(
        self, batch: feed.Batch
    ) -> shared_watch.CatalogUpdate | None:
        """Returns what readers are told; None if there is nothing to tell."""
        if self.stored_version is None:
            return None
        return shared_watch.CatalogUpdate(
            store_s=batch.store_s,
            version=self.stored_version,
            position=batch.position,
            evacuated=self._inst.evacuations.now(),
            digest=self._digest(self.stored_version),
        )

    def _digest(self, version: int) -> bytes:
        if (
            self.stored_catalog is None
            or self.stored_catalog.version != version
        ):
            return b""
        return self.stored_catalog.digest

    def _hold(self, item: feed.Item) -> None:
        version = item.value.version
        if item.raw and self._inst.catalog.version == version:
            self.stored_catalog = StoredCatalog(
                version=version, raw=item.raw, digest=catalog_digest(item.raw)
            )

    def _take_evacuations(
        self,
        batch: feed.Batch,
        rows: Iterable[evacuations.Evacuation],
        now: float,
    ) -> None:
        known = [row for row in rows if self._is_known(row)]
        held = self._inst.evacuations
        if batch.whole:
            names = [row.data_centre for row in known if row.in_force]
            changed = held.replace(names, batch.position, now)
        else:
            if batch.items:
                held.operators_wrote(now)
            changed = held.change(known, batch.position, now)
        self._inst.evacuations_changed(changed)

    def _is_known(self, row: evacuations.Evacuation) -> bool:
        places = self._inst.cfg.data_centres
        if not places or row.data_centre in places:
            return True
        self._inst.log.problem(
            "evacuation_of_unknown_data_centre",
            data_centre=row.data_centre,
            allowed=sorted(places),
        )
        return False

    def _log_unreadable(self, item: feed.Item) -> None:
        catalog = self._inst.catalog
        self._inst.log.problem(
            "catalog_unreadable",
            key=item.key,
            problem=item.problem,
            kept=catalog.version if catalog else None,
        )
        if self.stored_version is None and catalog is not None:
            # It is none that is older than the one in force.
            self.stored_version = catalog.version


def catalog_digest(raw: bytes) -> bytes:
    """Returns the digest of a configuration as the store has it."""
    return hashlib.blake2b(raw, digest_size=_DIGEST_BYTES).digest()
