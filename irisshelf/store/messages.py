"""Requests to the platform's services and their answers."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

ABSENT = 0  # Version that means "the row does not exist" in a condition.


@dataclasses.dataclass(frozen=True, kw_only=True)
class Write:
    """One conditional write of a transaction.

    Attributes:
        key: The row's key.
        value: The row's new content, JSON.
        if_version: Version that the row must have; ``ABSENT`` if the row must
            not exist; None for an unconditional write.
        ttl_s: Seconds after which the table deletes the row; None for never.
    """

    key: str
    value: Any
    if_version: int | None = None
    ttl_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """A row of the table. The version of a row only increases."""

    key: str
    value: Any
    version: int


class NodeRole(enum.StrEnum):
    """Kind of process that a listed node runs."""

    INSTANCE = "instance"
    BACKEND_SERVER = "backend_server"


class NodeState(enum.StrEnum):
    """State of a node in the platform's list, which lags behind."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Node:
    """An entry of the platform's list of live and leaving nodes."""

    name: str
    role: NodeRole
    state: NodeState
    data_centre: str
    address: str
    admin_address: str = ""
    link_address: str = ""
    relay_address: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeChanges:
    """Changes to the node list since a version.

    Attributes:
        version: Current version of the list; the start of the next request.
        whole: Whether ``changed`` is the complete list, which is returned if
            the platform does not know the requested version.
        changed: Entries that were added or modified.
        removed: Names of removed entries.
    """

    version: int
    whole: bool
    changed: tuple[Node, ...]
    removed: tuple[str, ...] = ()
