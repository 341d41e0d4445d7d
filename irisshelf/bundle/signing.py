"""Ed25519 signatures over a bundle's manifest.

The signed bytes are the canonical form of the manifest, which names every
section by digest: to alter a section is to break the digest.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Mapping

import result
from cryptography import exceptions
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from irisshelf.bundle import canonical
from irisshelf.bundle import envelope
from irisshelf.bundle import errors

_CONTEXT = b"irisshelf bundle manifest v1\n"


def generate_key() -> bytes:
    """Makes a private key, as unencrypted PEM."""
    return ed25519.Ed25519PrivateKey.generate().private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def public_key(private_pem: bytes) -> str:
    """Returns the public key, base64, of a private key in PEM.

    Raises:
        ValueError: The PEM holds no Ed25519 private key.
    """
    raw = _load(private_pem).public_key().public_bytes_raw()
    return base64.b64encode(raw).decode("ascii")


def sign(
    signed: envelope.Envelope, *, name: str, private_pem: bytes
) -> envelope.Envelope:
    """Adds a signature to an envelope.

    Args:
        signed: The envelope so far.
        name: The signer's name in the bundle.
        private_pem: The signer's private key.

    Returns:
        A new envelope that also carries this signature.

    Raises:
        ValueError: The PEM holds no Ed25519 private key.
    """
    signature = _load(private_pem).sign(_message(signed.manifest))
    text = base64.b64encode(signature).decode("ascii")
    return envelope.Envelope(
        manifest=signed.manifest,
        signatures={**signed.signatures, name: text},
    )


def verify(
    signed: envelope.Envelope, *, keys: Mapping[str, str], required: int
) -> result.Result[tuple[str, ...], errors.SignatureError]:
    """Checks that enough entitled people signed a manifest.

    Args:
        signed: The envelope to check.
        keys: Entitled public keys, base64, by the signer's name.
        required: How many of them must have signed. The same key under two
            names counts once.

    Returns:
        The names of those who signed, or why the signatures do not suffice.
    """
    message = _message(signed.manifest)
    valid: dict[str, str] = {}
    for name, signature in sorted(signed.signatures.items()):
        key = keys.get(name)
        if key is not None and _is_valid(key, signature, message):
            valid.setdefault(key, name)
    if len(valid) < required:
        return result.Err(
            errors.SignatureError(
                problem=errors.SignatureProblem.TOO_FEW,
                detail=(
                    f"got {len(valid)} valid of {sorted(signed.signatures)},"
                    f" allowed: {required} or more of {sorted(keys)}"
                ),
            )
        )
    return result.Ok(tuple(sorted(valid.values())))


def _message(manifest: envelope.Manifest) -> bytes:
    return _CONTEXT + canonical.encode(manifest.model_dump())


def _load(private_pem: bytes) -> ed25519.Ed25519PrivateKey:
    try:
        key = serialization.load_pem_private_key(private_pem, password=None)
    except (TypeError, ValueError) as exc:
        raise ValueError(f"no private key in PEM: {exc}") from exc
    if not isinstance(key, ed25519.Ed25519PrivateKey):
        raise ValueError(f"got a {type(key).__name__}, allowed: Ed25519")
    return key


def _is_valid(key: str, signature: str, message: bytes) -> bool:
    try:
        raw_key = base64.b64decode(key, validate=True)
        raw_signature = base64.b64decode(signature, validate=True)
        loaded = ed25519.Ed25519PublicKey.from_public_bytes(raw_key)
        loaded.verify(raw_signature, message)
    except (binascii.Error, ValueError, exceptions.InvalidSignature):
        return False
    return True
