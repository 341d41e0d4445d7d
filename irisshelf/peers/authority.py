"""A small certificate authority for the instances of one fleet."""

from __future__ import annotations

import dataclasses
import datetime

from cryptography import x509
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519
from cryptography.x509 import oid

from irisshelf.peers import tls

AUTHORITY_DAYS = 3650
INSTANCE_DAYS = 90
_BACKDATE = datetime.timedelta(minutes=5)  # Clocks differ.


@dataclasses.dataclass(frozen=True, kw_only=True)
class Issued:
    """A certificate and its private key, both PEM."""

    certificate: bytes
    key: bytes


def make_authority(*, name: str, now: datetime.datetime) -> Issued:
    """Makes a new authority.

    Args:
        name: Its common name.
        now: From when it is valid.
    """
    key = ed25519.Ed25519PrivateKey.generate()
    subject = _name(name)
    until = now + datetime.timedelta(days=AUTHORITY_DAYS)
    builder = _builder(subject, subject, key, now, until)
    builder = builder.add_extension(
        x509.BasicConstraints(ca=True, path_length=0), critical=True
    )
    return Issued(certificate=_pem(builder.sign(key, None)), key=_key_pem(key))


def issue(authority: Issued, *, name: str, now: datetime.datetime) -> Issued:
    """Issues a certificate for one instance.

    Args:
        authority: Who signs.
        name: The instance's name.
        now: From when it is valid, for ``INSTANCE_DAYS``.

    Raises:
        ValueError: The authority's PEM is not valid.
    """
    signer = serialization.load_pem_private_key(authority.key, password=None)
    issuer = x509.load_pem_x509_certificate(authority.certificate).subject
    key = ed25519.Ed25519PrivateKey.generate()
    until = now + datetime.timedelta(days=INSTANCE_DAYS)
    builder = _builder(_name(name), issuer, key, now, until)
    builder = builder.add_extension(
        x509.BasicConstraints(ca=False, path_length=None), critical=True
    )
    builder = builder.add_extension(
        x509.SubjectAlternativeName([x509.DNSName(tls.SERVER_NAME)]),
        critical=False,
    )
    return Issued(
        certificate=_pem(builder.sign(signer, None)), key=_key_pem(key)
    )


def _builder(subject, issuer, key, now, until) -> x509.CertificateBuilder:
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - _BACKDATE)
        .not_valid_after(until)
    )


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


def _pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)


def _key_pem(key: ed25519.Ed25519PrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
