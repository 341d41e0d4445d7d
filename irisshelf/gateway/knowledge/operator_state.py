"""Applies the operators' configurations and evacuations to an instance."""

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
    """A configuration in the store's format.

    Attributes:
        version: Its version.
        raw: The encoded document.
        digest: Digest of the encoded document.
    """

    version: int
    raw: bytes
    digest: bytes


class OperatorState:
    """Applies data from the store and from the watcher of the data centre.

    Args:
        inst: The instance to which it is applied.

    Attributes:
        stored_version: Version of the newest configuration that the store is
            known to have accepted in this era; None if not known.
        stored_catalog: The configuration in force in the store's format, for
            other instances; None if not known.
    """

    def __init__(self, *, inst: instance_module.Instance):
        self._inst = inst
        self._era = 0
        self.stored_version: int | None = None
        self.stored_catalog: StoredCatalog | None = None

    @property
    def store_is_behind(self) -> bool:
        """Whether the store lacks the configuration in force.

        That is so after the store was restored from an older backup. Until the
        operators have written the newest configuration again, responses of the
        store confirm nothing: keys may have been withdrawn since the backup,
        and they stay withdrawn.
        """
        catalog = self._inst.catalog
        if catalog is None:
            return False
        stored = self.stored_version
        return stored is None or stored < catalog.version

    def apply_batch(self, batch: feed.Batch, now: float) -> bool:
        """Applies a response of the store.

        Returns:
            Whether a configuration has replaced another.
        """
        catalog = self._inst.catalog
        replaced = False
        if batch.position.era > self._era:
            self._era = batch.position.era
            self.stored_version = None
        known_version = self.stored_version or 0
        if batch.is_snapshot:
            self.stored_version = None
        rows = []
        for item in batch.items:
            if item.problem:
                self._log_unreadable(item)
            elif isinstance(item.value, evacuations.Evacuation):
                rows.append(item.value)
            elif isinstance(item.value, model.Catalog):
                # A lower one was written late: the store has accepted the known
                # one, which no later version has replaced.
                known_version = max(known_version, item.value.version)
                self.stored_version = known_version
                replaced |= self._inst.apply_catalog(item.value)
                self._keep_stored(item)
        self._apply_evacuations(batch, rows, now)
        return replaced and catalog is not None

    def apply_update(
        self, update: shared_watch.CatalogUpdate, now: float
    ) -> None:
        """Applies the evacuations in an update."""
        changed = self._inst.evacuations.replace(
            update.evacuated, update.position, now
        )
        self._inst.evacuations_changed(changed)

    def forget_stored(self) -> None:
        """Forgets what the store has accepted, after it has lost its state."""
        self.stored_version = None

    def expire(self, now: float) -> None:
        """Lifts evacuations missing in a backup and not written again since."""
        changed = self._inst.evacuations.expire(now)
        self._inst.evacuations_changed(changed)

    def make_update(
        self, batch: feed.Batch
    ) -> shared_watch.CatalogUpdate | None:
        """Returns the update for readers; None if no version is known."""
        if self.stored_version is None:
            return None
        return shared_watch.CatalogUpdate(
            store_s=batch.store_s,
            version=self.stored_version,
            position=batch.position,
            evacuated=self._inst.evacuations.active(),
            digest=self._digest(self.stored_version),
        )

    def _digest(self, version: int) -> bytes:
        if (
            self.stored_catalog is None
            or self.stored_catalog.version != version
        ):
            return b""
        return self.stored_catalog.digest

    def _keep_stored(self, item: feed.DecodedRow) -> None:
        version = item.value.version
        if item.raw and self._inst.catalog.version == version:
            self.stored_catalog = StoredCatalog(
                version=version, raw=item.raw, digest=catalog_digest(item.raw)
            )

    def _apply_evacuations(
        self,
        batch: feed.Batch,
        rows: Iterable[evacuations.Evacuation],
        now: float,
    ) -> None:
        known = [row for row in rows if self._has_known_data_centre(row)]
        state = self._inst.evacuations
        if batch.is_snapshot:
            names = [row.data_centre for row in known if row.in_force]
            changed = state.replace(names, batch.position, now)
        else:
            if batch.items:
                state.record_operator_write(now)
            changed = state.apply(known, batch.position, now)
        self._inst.evacuations_changed(changed)

    def _has_known_data_centre(self, row: evacuations.Evacuation) -> bool:
        data_centres = self._inst.cfg.data_centres
        if not data_centres or row.data_centre in data_centres:
            return True
        self._inst.log.warning(
            "evacuation_of_unknown_data_centre",
            data_centre=row.data_centre,
            allowed=sorted(data_centres),
        )
        return False

    def _log_unreadable(self, item: feed.DecodedRow) -> None:
        catalog = self._inst.catalog
        self._inst.log.warning(
            "catalog_unreadable",
            key=item.key,
            problem=item.problem,
            kept=catalog.version if catalog else None,
        )
        if self.stored_version is None and catalog is not None:
            # An unreadable configuration is taken for no older than the one in
            # force, so that the store does not count as behind.
            self.stored_version = catalog.version


def catalog_digest(raw: bytes) -> bytes:
    """Returns the digest of a configuration in the store's format."""
    return hashlib.blake2b(raw, digest_size=_DIGEST_BYTES).digest()
