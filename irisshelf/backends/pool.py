"""Pooled connections to backend servers."""

from __future__ import annotations

import dataclasses
from http import client as http_client

import geventhttpclient

CONCURRENCY = 1024
# What geventhttpclient raises for connections that break or answers that are
# no HTTP; its time-outs are OSErrors.
BROKEN = (OSError, http_client.HTTPException, ValueError)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Key:
    address: str
    connect_s: float
    idle_s: float


class Pool:
    """Keeps one HTTP client for each address and pair of time-outs."""

    def __init__(self):
        self._clients: dict[_Key, geventhttpclient.HTTPClient] = {}

    def client(
        self, address: str, *, connect_s: float, idle_s: float
    ) -> geventhttpclient.HTTPClient:
        """Returns the client for an address such as ``127.0.0.1:8000``."""
        key = _Key(address=address, connect_s=connect_s, idle_s=idle_s)
        found = self._clients.get(key)
        if found is None:
            found = new_client(
                address,
                connect_s=connect_s,
                idle_s=idle_s,
                concurrency=CONCURRENCY,
            )
            self._clients[key] = found
        return found

    def drop(self, addresses: frozenset[str]) -> None:
        """Closes clients of all addresses but these."""
        for key in [k for k in self._clients if k.address not in addresses]:
            self._clients.pop(key).close()


def new_client(
    address: str, *, connect_s: float, idle_s: float, concurrency: int = 1
) -> geventhttpclient.HTTPClient:
    """Makes a client of its own, for a call that needs a fresh connection."""
    host, _, port = address.rpartition(":")
    return geventhttpclient.HTTPClient(
        host,
        int(port),
        concurrency=concurrency,
        connection_timeout=connect_s,
        network_timeout=idle_s,
    )
