"""Interface to the platform, independent of the transport."""

from __future__ import annotations

import abc
from collections.abc import Sequence

import result

from irisshelf.store import errors
from irisshelf.store import messages


class Platform(abc.ABC):
    """Table service, object store and node list.

    Failures of the platform are returned as errors, never raised. A write that
    fails with ``Unavailable`` and ``Effect.UNKNOWN`` may have been applied:
    callers must read the row back before they decide what to do.
    """

    @abc.abstractmethod
    def transact(
        self, writes: Sequence[messages.Write]
    ) -> result.Result[tuple[int, ...], errors.Conflict | errors.Unavailable]:
        """Applies all writes atomically; returns the new row versions."""

    @abc.abstractmethod
    def read(
        self, key: str
    ) -> result.Result[messages.Row, errors.NotFound | errors.Unavailable]:
        """Reads a row; all transactions completed earlier are visible."""

    @abc.abstractmethod
    def put_object(
        self, key: str, data: bytes
    ) -> result.Result[None, errors.Unavailable]:
        """Stores an object under a key."""

    @abc.abstractmethod
    def get_object(
        self, key: str
    ) -> result.Result[bytes, errors.NotFound | errors.Unavailable]:
        """Fetches an object."""

    @abc.abstractmethod
    def nodes(
        self, *, since: int
    ) -> result.Result[messages.NodeChanges, errors.Unavailable]:
        """Returns changes to the list of live and leaving nodes.

        The list lags behind the actual state of the nodes.

        Args:
            since: Version of the list known to the caller; 0 for none.
        """
