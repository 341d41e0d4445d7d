"""Examples that several tests share."""

from __future__ import annotations

import functools
import hashlib
from typing import Any

from irisshelf.bundle import schema
from irisshelf.bundle import signing

TEAM_KEY = "key-of-team-a"


@functools.cache
def private_pem(name: str) -> bytes:
    """Returns a private key for a name, the same within one run."""
    del name
    return signing.generate_key()


def public_key(name: str) -> str:
    """Returns the public key that belongs to ``private_pem(name)``."""
    return signing.public_key(private_pem(name))


def bundle_document(*, number: int = 1) -> dict[str, Any]:
    """Returns a small valid bundle as decoded JSON."""
    return {
        "format": 1,
        "number": number,
        "signers": {"required": 1, "keys": {"anna": public_key("anna")}},
        "data_centres": {"espoo-a": {"region": "fi-south"}},
        "services": {
            "lm": {"kind": "model"},
            "crew": {
                "kind": "plain",
                "not_repeatable": [{"method": "POST", "path": "/alarms"}],
            },
        },
        "backend_servers": {
            "lm-0": {
                "service": "lm",
                "data_centre": "espoo-a",
                "address": "127.0.0.1:9000",
                "engines": ["e0", "e1"],
            },
            "crew-0": {
                "service": "crew",
                "data_centre": "espoo-a",
                "address": "127.0.0.1:9001",
            },
        },
        "teams": {
            "team-a": {
                "key_sha256": hashlib.sha256(TEAM_KEY.encode()).hexdigest()
            }
        },
    }


def bundle(*, number: int = 1) -> schema.Bundle:
    """Returns a small valid bundle."""
    return schema.Bundle.model_validate(bundle_document(number=number))
