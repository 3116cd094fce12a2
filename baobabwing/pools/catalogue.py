"""Pools and their upstreams, as the configuration has them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Pool", "PoolKind", "Upstream", "UpstreamState"]


class PoolKind(StrEnum):
    """What a pool is made of."""

    ENGINE = "engine"
    SERVICE = "service"


class UpstreamState(StrEnum):
    """Whether an upstream may be given new work."""

    ACTIVE = "active"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class Upstream:
    """One engine worker or one worker of a plain service.

    :param name: unique among upstreams.
    :param pool: the pool that it belongs to.
    :param address: ``host:port`` with the host as an IP number.
    :param zone: availability zone.
    :param generation: hardware generation; peers of one are compared.
    :param capacity: requests it is given at one time.
    :param prefill_tokens_per_s: starting estimate, replaced by what is learned.
    :param step_ms: starting estimate of one decoding step, in milliseconds.
    :param checks_fencing: whether it refuses orders with an old fencing number.
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
    """Upstreams that can answer the same requests.

    :param name: unique among pools.
    :param kind: whether engines or plain services answer.
    :param models: model names that callers use; empty for plain services.
    :param cell_size: most upstreams that one home orders.
    :param policy: name in the registry of :mod:`baobabwing.pools.policies`.
    :param queue_limit: most requests queued in a cell.
    """

    name: str
    kind: PoolKind
    models: tuple[str, ...] = ()
    cell_size: int = 32
    policy: str = "baobabwing"
    queue_limit: int = 512
