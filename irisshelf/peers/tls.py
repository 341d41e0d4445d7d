"""TLS between instances, both sides with a certificate of one authority.

The authority is the fleet's own and signs nothing but instances, so whoever
shows a certificate of it is one. Addresses are not compared, as instances are
replaced all the time and take any address: every certificate bears one and the
same name, ``SERVER_NAME``, and that is what a caller asks for.
"""

from __future__ import annotations

import dataclasses

from gevent import ssl

from irisshelf.peers import errors

SERVER_NAME = "instance.irisshelf.internal"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Files:
    """Paths of PEM files: the authority, our certificate and its key."""

    authority: str
    certificate: str
    key: str


def server_context(files: Files) -> ssl.SSLContext:
    """Returns the context of a listener that asks for a certificate.

    Raises:
        errors.LinkError: A file is missing or does not fit the others.
    """
    return _context(files, ssl.PROTOCOL_TLS_SERVER)


def client_context(files: Files) -> ssl.SSLContext:
    """Returns the context of a caller that shows its certificate.

    Raises:
        errors.LinkError: A file is missing or does not fit the others.
    """
    return _context(files, ssl.PROTOCOL_TLS_CLIENT)


def _context(files: Files, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_verify_locations(files.authority)
        context.load_cert_chain(files.certificate, files.key)
    except OSError as exc:
        raise errors.LinkError(f"TLS files {files}: {exc}") from exc
    return context
