"""Authentication of callers by their API keys."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from baobabwing.brands.catalogue import Credential, Organisation, Tier
from baobabwing.exceptions import RequestError
from baobabwing.settings.configuration import Configuration

__all__ = ["Caller", "CredentialIndex", "bearer_token"]

_SCHEME = "bearer "


@dataclass(frozen=True, kw_only=True)
class Caller:
    """An authenticated caller."""

    organisation: Organisation
    tier: Tier


class CredentialIndex:
    """Index of the keys of one configuration, by digest.

    Keys are compared as SHA-256 digests: the duration of a failed lookup depends on
    the digest, which a caller cannot steer towards the digest of an unknown key.

    :param cfg: configuration that holds the credentials.
    """

    def __init__(self, *, cfg: Configuration) -> None:
        self._by_digest = {entry.sha256: entry for entry in cfg.credentials}
        self._organisations = {entry.name: entry for entry in cfg.organisations}
        self._tiers = {entry.name: entry for entry in cfg.tiers}

    def identify(self, authorization: str, requested_tier: str = "") -> Caller:
        """Return the caller that an ``Authorization`` header identifies.

        :param requested_tier: a tier for this request, at most that of the key; empty
            for the tier of the key.
        :raises RequestError: 401 if the key is missing or unknown; 400 if the
            requested tier is unknown or above that of the key.
        """
        key = bearer_token(authorization)
        if not key:
            raise _unauthorized("the header Authorization with a bearer key is missing")
        digest = hashlib.sha256(key.encode()).hexdigest()
        credential = self._by_digest.get(digest)
        if credential is None:
            raise _unauthorized("the key is not known")
        return Caller(
            organisation=self._organisations[credential.organisation],
            tier=self._tier(credential, requested_tier),
        )

    def _tier(self, credential: Credential, requested: str) -> Tier:
        own = self._tiers[credential.tier]
        if not requested:
            return own
        tier = self._tiers.get(requested)
        if tier is None or tier.rank < own.rank:
            raise RequestError(
                "the tier is unknown or above that of the key",
                status=400,
                code="bad_tier",
                field="X-Tier",
            )
        return tier


def bearer_token(authorization: str) -> str:
    """Return the token of an ``Authorization`` header, or an empty string."""
    if not authorization.lower().startswith(_SCHEME):
        return ""
    return authorization[len(_SCHEME) :].strip()


def _unauthorized(message: str) -> RequestError:
    return RequestError(
        message, status=401, code="bad_key", field="Authorization", step="authorize"
    )
