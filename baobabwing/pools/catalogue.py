"""Configured pools and upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Pool", "PoolKind", "Upstream", "UpstreamState"]


class PoolKind(StrEnum):
    """Whether a pool consists of engines or of plain services."""

    ENGINE = "engine"
    SERVICE = "service"


class UpstreamState(StrEnum):
    """Whether an upstream is in service or is leaving it."""

    ACTIVE = "active"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class Upstream:
    """One engine worker or one worker of a plain service.

    :param name: unique among upstreams.
    :param pool: the pool that it belongs to.
    :param address: ``host:port`` with the host as an IP number.
    :param zone: availability zone.
    :param generation: hardware generation; upstreams of the same one are compared.
    :param capacity: maximum number of requests in flight.
    :param prefill_tokens_per_s: initial estimate, replaced by the learned rate.
    :param step_ms: initial estimate of one decoding step, in milliseconds.
    :param checks_fencing: whether it refuses orders with an outdated fencing number.
    :param state: whether it may be given new work.
    """

    name: str
    pool: str
    address: str
    zone: str = ""
    generation: str = "g1"
    capacity: int = 16
    prefill_tokens_per_s: float = 8000.0
    step_ms: float = 8.0
    checks_fencing: bool = True
    state: UpstreamState = UpstreamState.ACTIVE


@dataclass(frozen=True, kw_only=True)
class Pool:
    """A group of upstreams that can answer the same requests.

    :param name: unique among pools.
    :param kind: whether the upstreams are engines or plain services.
    :param models: model names that callers use; empty for plain services.
    :param cell_size: maximum number of upstreams per cell.
    :param policy: name in the registry of :mod:`baobabwing.pools.policies`.
    :param queue_limit: maximum number of queued requests per cell.
    """

    name: str
    kind: PoolKind
    models: tuple[str, ...] = ()
    cell_size: int = 32
    policy: str = "baobabwing"
    queue_limit: int = 512
