"""The one entry point to the platform, whatever carries it."""

from __future__ import annotations

import abc
from collections.abc import Sequence

import result

from irisshelf.store import errors
from irisshelf.store import messages


class Platform(abc.ABC):
    """Table service, object store and instance list.

    Every call returns a value or an error; none raises for what the platform
    does. An ``Unavailable`` write with ``Effect.UNKNOWN`` may have taken
    effect: read back before deciding.
    """

    @abc.abstractmethod
    def transact(
        self, writes: Sequence[messages.Write]
    ) -> result.Result[tuple[int, ...], errors.Conflict | errors.Unavailable]:
        """Carries out all writes or none; returns the new versions."""

    @abc.abstractmethod
    def read(
        self, key: str
    ) -> result.Result[messages.Row, errors.NotFound | errors.Unavailable]:
        """Reads one row, seeing every earlier finished transaction."""

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
        """Lists what changed of live and leaving nodes; the list lags.

        Args:
            since: Version of the list that the caller has; 0 for none.
        """
