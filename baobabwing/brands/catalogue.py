"""Tiers, brands, organisations and their keys, as defined in the configuration."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Brand", "Credential", "Limits", "Organisation", "Tier"]


@dataclass(frozen=True, kw_only=True)
class Tier:
    """A service level with its latency objectives.

    :param name: for example ``"chat"``.
    :param rank: 0 is the highest tier; a lower rank is served first.
    :param first_token_ms: objective for the time to the first token, in milliseconds.
    :param between_tokens_ms: objective for the time between two tokens, in
        milliseconds.
    :param deadline_ms: time within which the whole answer is due, in milliseconds.
    :param objective: share of answers that must be complete before their deadline,
        0 to 1.
    """

    name: str
    rank: int
    first_token_ms: int
    between_tokens_ms: int
    deadline_ms: int
    objective: float = 0.99


@dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits of an organisation over all nodes; 0 stands for no limit.

    :param requests_per_s: requests admitted per second.
    :param tokens_per_s: prompt and output tokens per second.
    :param concurrency: requests open at the same time.
    """

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    concurrency: int = 0


@dataclass(frozen=True, kw_only=True)
class Brand:
    """A brand under which the operator sells the service.

    :param name: unique among brands.
    :param prefill_cost_per_million: cost of a million prefill tokens, for reports.
    """

    name: str
    prefill_cost_per_million: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Organisation:
    """An organisation that buys the service from a brand.

    :param name: unique among organisations of all brands.
    :param brand: name of its brand.
    :param weight: weight of its share of tokens among the organisations of a tier.
    :param limits: limits of its usage.
    """

    name: str
    brand: str
    weight: float = 1.0
    limits: Limits = Limits()


@dataclass(frozen=True, kw_only=True)
class Credential:
    """An API key of a caller, of which only the digest is stored.

    :param name: identifies the key without revealing it.
    :param sha256: hexadecimal SHA-256 digest of the key.
    :param organisation: name of the organisation that owns the key.
    :param tier: tier of the requests that carry the key.
    """

    name: str
    sha256: str
    organisation: str
    tier: str
