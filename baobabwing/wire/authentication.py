"""Keyed authentication of messages; several secrets allow their rotation."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence

from baobabwing.exceptions import WireError

__all__ = ["TAG_BYTES", "authentication_tag", "open_sealed", "seal", "verify_tag"]

TAG_BYTES = 16
_KEY_BYTES = hashlib.blake2b.MAX_KEY_SIZE
_PURPOSE_BYTES = hashlib.blake2b.PERSON_SIZE


def authentication_tag(secret: bytes, data: bytes, *, purpose: bytes) -> bytes:
    """Return the tag of ``data`` under one secret.

    :param purpose: at most 16 bytes; a tag for one purpose is invalid for any
        other.
    :returns: :data:`TAG_BYTES` bytes of keyed BLAKE2b.
    """
    key = secret if len(secret) <= _KEY_BYTES else hashlib.blake2b(secret).digest()
    return hashlib.blake2b(
        data,
        key=key,
        digest_size=TAG_BYTES,
        person=purpose[:_PURPOSE_BYTES],
    ).digest()


def verify_tag(
    secrets: Sequence[bytes], data: bytes, tag: bytes, *, purpose: bytes
) -> bool:
    """Return whether any of the secrets made the tag; constant time per secret."""
    return any(
        hmac.compare_digest(authentication_tag(secret, data, purpose=purpose), tag)
        for secret in secrets
    )


def seal(secrets: Sequence[bytes], payload: bytes, *, purpose: bytes) -> bytes:
    """Return the payload with the tag of the first secret prepended.

    :raises WireError: if there is no secret.
    """
    if not secrets or not secrets[0]:
        raise WireError("no secret to authenticate with", step="seal")
    return authentication_tag(secrets[0], payload, purpose=purpose) + payload


def open_sealed(secrets: Sequence[bytes], sealed: bytes, *, purpose: bytes) -> bytes:
    """Verify the tag and return the payload.

    :raises WireError: if the message is too short or not authentic.
    """
    tag, payload = sealed[:TAG_BYTES], sealed[TAG_BYTES:]
    if not payload or not verify_tag(secrets, payload, tag, purpose=purpose):
        raise WireError("message is not authentic", step="authenticate")
    return payload
