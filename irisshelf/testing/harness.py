"""One or more instances in one process, before stand-ins, for tests.

Callers call an instance's front as a WSGI application, without a socket;
backend servers are real ones on loopback.
"""

from __future__ import annotations

import dataclasses
import io
import json
import random
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import gevent
from gevent import pywsgi

from irisshelf import boottime
from irisshelf.bundle import schema
from irisshelf.daemon import admit
from irisshelf.daemon import front
from irisshelf.daemon import node
from irisshelf.daemon import settings
from irisshelf.daemon import watch
from irisshelf.store import interface


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """What a caller got.

    Attributes:
        status: The HTTP status.
        headers: The headers, names in lower case.
        body: The body, as far as it came.
        cut: Whether it broke off.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    cut: bool = False

    @property
    def outcome(self) -> str:
        """The typed outcome of a refusal; empty for an answer."""
        return self.headers.get("x-outcome", "")

    def json(self) -> Any:
        """Decodes the body."""
        return json.loads(self.body)


class Instance:
    """One instance without sockets of its own.

    Args:
        name: Its name.
        platform: The platform, a fake.
        bundle: The bundle in force from the start.
        seed: Of its random numbers.
    """

    def __init__(
        self,
        *,
        name: str,
        platform: interface.Platform,
        bundle: schema.Bundle,
        seed: int = 1,
    ):
        self.node = node.Node(
            cfg=_settings(name, bundle),
            platform=platform,
            rng=random.Random(seed),
        )
        self.admitter = admit.Admitter()
        self.front = front.Front(nd=self.node, admitter=self.admitter)
        self.node.adopt(bundle)
        self._loops = [
            gevent.spawn(self.node.claims.run),
            gevent.spawn(self.node.claims.run_records),
            gevent.spawn(watch.tick, self.node, self.admitter.give_up),
        ]

    def call(
        self,
        method: str,
        path: str,
        *,
        key: str = "",
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        read_parts: int | None = None,
    ) -> Answer:
        """Calls the front as one caller.

        Args:
            method: The HTTP method.
            path: The path, with a query if there is one.
            key: The team's bearer key.
            body: The body.
            headers: More headers.
            read_parts: The caller goes away after this many parts.
        """
        return call(
            self.front,
            method,
            path,
            body=body,
            headers={"Authorization": f"Bearer {key}", **(headers or {})},
            read_parts=read_parts,
        )

    def stop(self) -> None:
        """Ends its greenlets, as a kill does."""
        gevent.killall(self._loops)


def call(
    app: Callable,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
    read_parts: int | None = None,
) -> Answer:
    """Calls a WSGI application."""
    path, _, query = path.partition("?")
    environ: dict[str, Any] = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "QUERY_STRING": query,
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    for name, value in (headers or {}).items():
        environ["HTTP_" + name.upper().replace("-", "_")] = value
    begun: list[Any] = []

    def start_response(status, found, exc_info=None):
        del exc_info
        begun[:] = [int(status.split()[0]), found]

    parts = app(environ, start_response)
    got, cut = _collect(parts, read_parts)
    return Answer(
        status=begun[0],
        headers={name.lower(): value for name, value in begun[1]},
        body=got,
        cut=cut,
    )


def _collect(parts: Any, read_parts: int | None) -> tuple[bytes, bool]:
    got = []
    cut = False
    try:
        for part in parts:
            got.append(part)
            if read_parts is not None and len(got) >= read_parts:
                cut = True
                break
    except OSError:
        cut = True
    finally:
        close = getattr(parts, "close", None)
        if close is not None:
            close()
    return b"".join(got), cut


class Server:
    """A stand-in on a loopback port.

    Args:
        app: The WSGI application.
    """

    def __init__(self, *, app: Callable):
        self._server = pywsgi.WSGIServer(
            ("127.0.0.1", 0), app, log=None, error_log=Quiet()
        )
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        """Stops it at once."""
        self._server.stop(timeout=0.01)


class Quiet:
    """A log that keeps nothing."""

    def write(self, text: str) -> None:
        """Drops a line."""
        del text


def _settings(name: str, bundle: schema.Bundle) -> settings.Settings:
    return settings.Settings.model_validate(
        {
            "instance": name,
            "data_centre": next(iter(bundle.data_centres)),
            "listen": "127.0.0.1:0",
            "admin_listen": "127.0.0.1:0",
            "platform": {"address": "127.0.0.1:0"},
            "operators": {
                "keys": {
                    signer: {"value": key}
                    for signer, key in bundle.signers.keys.items()
                }
            },
            "peers": {
                "link_listen": "127.0.0.1:0",
                "relay_listen": "127.0.0.1:0",
                "secret": {"value": "secret"},
            },
        }
    )


def wait_for(holds: Callable[[], bool], *, limit_s: float = 5.0) -> bool:
    """Waits until something holds; tells whether it does in time."""
    until_s = boottime.now() + limit_s
    while not holds():
        if boottime.now() > until_s:
            return False
        gevent.sleep(0.002)
    return True
