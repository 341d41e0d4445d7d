"""Fetches a bundle's objects from other instances."""

from __future__ import annotations

import urllib.parse

import result

from irisshelf.backends import dispatch
from irisshelf.daemon import node
from irisshelf.store import messages

_TIMEOUT_S = 1.0
_MAX_ASKED = 3


def fetch(nd: node.Node, key: str) -> bytes | None:
    """Asks a few instances for an object; the near ones first.

    What comes back is not trusted: the follower checks its digest and the
    bundle's signatures.
    """
    known = [
        item
        for item in nd.nodes.values()
        if item.role is messages.NodeRole.INSTANCE
        and item.name != nd.cfg.instance
        and item.relay_address
    ]
    nd.rng.shuffle(known)
    known.sort(key=lambda item: item.data_centre != nd.cfg.data_centre)
    for item in known[:_MAX_ASKED]:
        found = _ask(nd, item.relay_address, key)
        if found is not None:
            return found
    return None


def _ask(nd: node.Node, address: str, key: str) -> bytes | None:
    client = nd.clients.peer_client(
        address, connect_s=_TIMEOUT_S, idle_s=_TIMEOUT_S
    )
    sent = dispatch.request(
        "GET",
        f"/objects/{urllib.parse.quote(key)}",
        client,
        headers={"Authorization": f"Bearer {nd.peer_secret}"},
    )
    if isinstance(sent, result.Err):
        return None
    body = dispatch.read_all(sent.ok_value).ok()
    if sent.ok_value.status_code != 200 or body is None:
        return None
    nd.count_control("peer_objects", len(body))
    return body
