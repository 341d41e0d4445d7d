"""Pooled connections to backend servers."""

from __future__ import annotations

import dataclasses
from http import client as http_client

import geventhttpclient
from gevent import ssl

from irisshelf.peers import tls

CONCURRENCY = 1024
# Requests forwarded to one instance at a time; more wait. The library also
# takes it as the number of tries when a peer turns our certificate down.
PEER_CONCURRENCY = 256
# What geventhttpclient raises for connections that break or answers that are
# no HTTP; its time-outs are OSErrors.
TRANSPORT_ERRORS = (OSError, http_client.HTTPException, ValueError)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Key:
    address: str
    connect_s: float
    idle_s: float


class ClientPool:
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
        return self._get(self._clients, key, CONCURRENCY, None)

    def peer_client(
        self, address: str, *, connect_s: float, idle_s: float
    ) -> geventhttpclient.HTTPClient:
        """Returns the client for another instance's relay address."""
        key = _Key(address=address, connect_s=connect_s, idle_s=idle_s)
        context = self._peer_context
        return self._get(self._peers, key, PEER_CONCURRENCY, context)

    def retain(self, addresses: frozenset[str]) -> None:
        """Forgets clients of backend servers at other addresses.

        They are not closed: a stream that still runs on one ends by itself.
        """
        _keep(self._clients, addresses)

    def retain_peers(self, addresses: frozenset[str]) -> None:
        """Forgets clients of instances at other relay addresses."""
        _keep(self._peers, addresses)

    def _get(
        self,
        clients: dict[_Key, geventhttpclient.HTTPClient],
        key: _Key,
        concurrency: int,
        context: ssl.SSLContext | None,
    ) -> geventhttpclient.HTTPClient:
        if key not in clients:
            clients[key] = new_client(
                key.address,
                connect_s=key.connect_s,
                idle_s=key.idle_s,
                concurrency=concurrency,
                context=context,
            )
        return clients[key]


def _keep(
    clients: dict[_Key, geventhttpclient.HTTPClient], addresses: frozenset[str]
) -> None:
    for key in [key for key in clients if key.address not in addresses]:
        del clients[key]


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
