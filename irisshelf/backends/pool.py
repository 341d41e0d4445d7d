"""Pooled connections to backend servers."""

from __future__ import annotations

import dataclasses
from http import client as http_client

import geventhttpclient
from gevent import ssl

from irisshelf.peers import tls

CONCURRENCY = 1024
# Requests handed on to one instance at a time; more wait. The library also
# takes it as the number of tries when a peer turns our certificate down.
PEER_CONCURRENCY = 256
# What geventhttpclient raises for connections that break or answers that are
# no HTTP; its time-outs are OSErrors.
BROKEN = (OSError, http_client.HTTPException, ValueError)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Key:
    address: str
    connect_s: float
    idle_s: float


class Pool:
    """Keeps one HTTP client for each address and pair of time-outs.

    Args:
        peer_context: For TLS to other instances; None for plain TCP.
    """

    def __init__(self, *, peer_context: ssl.SSLContext | None = None):
        self._clients: dict[_Key, geventhttpclient.HTTPClient] = {}
        self._peers: dict[_Key, geventhttpclient.HTTPClient] = {}
        self._peer_context = peer_context

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

    def peer_client(
        self, address: str, *, connect_s: float, idle_s: float
    ) -> geventhttpclient.HTTPClient:
        """Returns the client for another instance's relay address."""
        key = _Key(address=address, connect_s=connect_s, idle_s=idle_s)
        found = self._peers.get(key)
        if found is None:
            found = new_client(
                address,
                connect_s=connect_s,
                idle_s=idle_s,
                concurrency=PEER_CONCURRENCY,
                context=self._peer_context,
            )
            self._peers[key] = found
        return found

    def drop(self, addresses: frozenset[str]) -> None:
        """Closes clients of all addresses but these."""
        for key in [k for k in self._clients if k.address not in addresses]:
            self._clients.pop(key).close()


def new_client(
    address: str,
    *,
    connect_s: float,
    idle_s: float,
    concurrency: int = 1,
    context: ssl.SSLContext | None = None,
) -> geventhttpclient.HTTPClient:
    """Makes a client of its own, for a call that needs a fresh connection."""
    host, _, port = address.rpartition(":")
    secured = {}
    if context is not None:
        secured = {
            "ssl": True,
            "ssl_context_factory": lambda: context,
            "ssl_options": {"server_hostname": tls.SERVER_NAME},
        }
    return geventhttpclient.HTTPClient(
        host,
        int(port),
        concurrency=concurrency,
        connection_timeout=connect_s,
        network_timeout=idle_s,
        **secured,
    )
