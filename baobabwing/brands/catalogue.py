"""Tiers, brands, organisations and their keys, as the configuration has them."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Brand", "Credential", "Limits", "Organisation", "Tier"]


@dataclass(frozen=True, kw_only=True)
class Tier:
    """A level of service.

    :param name: such as ``"chat"``.
    :param rank: 0 is the highest; a lower rank is served first.
    :param first_token_ms: objective for the first token, in milliseconds.
    :param between_tokens_ms: objective between two tokens, in milliseconds.
    :param deadline_ms: a whole answer later than this is late, in milliseconds.
    :param objective: share of answers that must be whole and in time, 0 to 1.
    """

    name: str
    rank: int
    first_token_ms: int
    between_tokens_ms: int
    deadline_ms: int
    objective: float = 0.99


@dataclass(frozen=True, kw_only=True)
class Limits:
    """Bounds on an organisation over all nodes; 0 stands for no bound.

    :param requests_per_s: requests admitted a second.
    :param tokens_per_s: prompt and output tokens a second.
    :param concurrency: requests open at one time.
    """

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    concurrency: int = 0


@dataclass(frozen=True, kw_only=True)
class Brand:
    """A brand under which the operator sells the service.

    :param name: unique among brands.
    :param prefill_cost_per_million: what prefill costs the brand, for reports.
    """

    name: str
    prefill_cost_per_million: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Organisation:
    """A customer of a brand.

    :param name: unique among organisations of all brands.
    :param brand: whose customer it is.
    :param weight: share among the organisations of one tier, in tokens.
    :param limits: bounds on what it may use.
    """

    name: str
    brand: str
    weight: float = 1.0
    limits: Limits = Limits()


@dataclass(frozen=True, kw_only=True)
class Credential:
    """A caller's key, kept only as its digest.

    :param name: tells it from others; not the key.
    :param sha256: hexadecimal SHA-256 digest of the key.
    :param organisation: whose key it is.
    :param tier: tier of the requests that carry the key.
    """

    name: str
    sha256: str
    organisation: str
    tier: str
