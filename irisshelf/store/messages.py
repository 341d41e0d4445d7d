"""Typed requests to and answers from the platform's services."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

ABSENT = 0  # Version that stands for "no such row" in a condition.


@dataclasses.dataclass(frozen=True, kw_only=True)
class Write:
    """One conditional write of a transaction.

    Attributes:
        key: The row's key.
        value: The row's new content, JSON.
        if_version: Only if the row has this version; ``ABSENT`` if there must
            be no row; None for no condition.
        ttl_s: The table drops the row after this many seconds; None for never.
    """

    key: str
    value: Any
    if_version: int | None = None
    ttl_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """A row of the table. Versions of a row only grow."""

    key: str
    value: Any
    version: int


class NodeRole(enum.StrEnum):
    """What a listed node runs."""

    INSTANCE = "instance"
    BACKEND_SERVER = "backend_server"


class NodeState(enum.StrEnum):
    """Life of a node as the platform lists it, with a lag."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Node:
    """One entry of the platform's list of live and leaving instances."""

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
    """What changed in the list since a version.

    Attributes:
        version: The list's version now; ask from it next time.
        whole: Whether ``changed`` is the whole list, as the version asked
            from was not known.
        changed: Entries that are new or differ.
        removed: Names of entries that are gone.
    """

    version: int
    whole: bool
    changed: tuple[Node, ...]
    removed: tuple[str, ...] = ()
