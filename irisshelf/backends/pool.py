"""HTTP clients with pooled connections to servers and instances."""

from __future__ import annotations

import dataclasses
import functools
from http import client as http_client

import geventhttpclient
from gevent import ssl

from irisshelf.backends import bounded_socket
from irisshelf.peers import tls

CONCURRENCY = 1024
# Maximum number of concurrent requests to one instance; further ones wait.
# geventhttpclient also uses it as the number of connection attempts when a peer
# rejects our certificate.
PEER_CONCURRENCY = 256
# Raised by geventhttpclient for failed connections and for responses that are
# not valid HTTP; its time-outs are OSErrors.
TRANSPORT_ERRORS = (OSError, http_client.HTTPException, ValueError)
_BOUNDS = bounded_socket.Bounds()


@dataclasses.dataclass(frozen=True, kw_only=True)
class _ClientKey:
    address: str
    connect_s: float
    idle_s: float
    bounds: bounded_socket.Bounds = _BOUNDS


class ClientPool:
    """Caches one HTTP client per address and pair of time-outs.

    Args:
        peer_context: TLS context for other instances; None for plain TCP.
    """

    def __init__(self, *, peer_context: ssl.SSLContext | None = None):
        self._clients: dict[_ClientKey, geventhttpclient.HTTPClient] = {}
        self._peers: dict[_ClientKey, geventhttpclient.HTTPClient] = {}
        self._peer_context = peer_context

    def client(
        self,
        address: str,
        *,
        connect_s: float,
        idle_s: float,
        bounds: bounded_socket.Bounds = _BOUNDS,
    ) -> geventhttpclient.HTTPClient:
        """Returns the client for an address such as ``127.0.0.1:8000``."""
        key = _ClientKey(
            address=address, connect_s=connect_s, idle_s=idle_s, bounds=bounds
        )
        return self._get(self._clients, key, CONCURRENCY, None)

    def peer_client(
        self, address: str, *, connect_s: float, idle_s: float
    ) -> geventhttpclient.HTTPClient:
        """Returns the client for another instance's relay address."""
        key = _ClientKey(address=address, connect_s=connect_s, idle_s=idle_s)
        context = self._peer_context
        return self._get(self._peers, key, PEER_CONCURRENCY, context)

    def retain(self, addresses: frozenset[str]) -> None:
        """Removes the clients for backend servers at other addresses.

        They are not closed, so that streams still open on them can finish.
        """
        _retain(self._clients, addresses)

    def retain_peers(self, addresses: frozenset[str]) -> None:
        """Removes the clients for instances at other relay addresses."""
        _retain(self._peers, addresses)

    def _get(
        self,
        clients: dict[_ClientKey, geventhttpclient.HTTPClient],
        key: _ClientKey,
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
                bounds=key.bounds,
            )
        return clients[key]


def _retain(
    clients: dict[_ClientKey, geventhttpclient.HTTPClient],
    addresses: frozenset[str],
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
    bounds: bounded_socket.Bounds = _BOUNDS,
) -> geventhttpclient.HTTPClient:
    """Creates an uncached client, for a call that needs a new connection.

    Responses over TLS, of other instances, are not bounded: their socket
    replaces the one below.
    """
    host, _, port = address.rpartition(":")
    tls_options = {}
    if context is not None:
        tls_options = {
            "ssl": True,
            "ssl_context_factory": lambda: context,
            "ssl_options": {"server_hostname": tls.SERVER_NAME},
        }
    client = geventhttpclient.HTTPClient(
        host,
        int(port),
        concurrency=concurrency,
        connection_timeout=connect_s,
        network_timeout=idle_s,
        **tls_options,
    )
    # The library has no public way to choose the socket's class.
    client._connection_pool._create_tcp_socket = functools.partial(
        bounded_socket.BoundedSocket, bounds=bounds
    )
    return client
