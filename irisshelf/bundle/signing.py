"""Ed25519 signatures over a bundle's manifest.

The canonical form of the manifest is signed. The manifest holds the digest of
every section, so an altered section no longer matches its digest.
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
    """Generates a private key as unencrypted PEM."""
    return ed25519.Ed25519PrivateKey.generate().private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def public_key(private_pem: bytes) -> str:
    """Returns the base64 public key of a PEM private key.

    Raises:
        ValueError: The PEM does not contain an Ed25519 private key.
    """
    raw = _load(private_pem).public_key().public_bytes_raw()
    return base64.b64encode(raw).decode("ascii")


def sign(
    signed: envelope.Envelope, *, name: str, private_pem: bytes
) -> envelope.Envelope:
    """Adds a signature to an envelope.

    Args:
        signed: The envelope to sign, with any earlier signatures.
        name: The signer's name in the bundle.
        private_pem: The signer's private key.

    Returns:
        A copy of the envelope with this signature added.

    Raises:
        ValueError: The PEM does not contain an Ed25519 private key.
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
    """Checks that enough authorized signers signed a manifest.

    Args:
        signed: The envelope to verify.
        keys: Base64 public keys of authorized signers, keyed by signer name.
        required: Number of keys that must have signed. A key listed under two
            names counts once.

    Returns:
        The names of the signers whose signatures are valid, or an error if
        there are too few of them.
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
        raise ValueError(f"cannot load private key from PEM: {exc}") from exc
    if not isinstance(key, ed25519.Ed25519PrivateKey):
        raise ValueError(
            f"unsupported key type {type(key).__name__}, allowed: Ed25519"
        )
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
