"""The interface and the registry of scheduling policies."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from random import Random
from typing import Protocol

from baobabwing.exceptions import ConfigurationError
from baobabwing.pools.fairness import QueuedRequest
from baobabwing.pools.permits import PlacementRequest, RefusalCode
from baobabwing.pools.queues import WaitingQueue
from baobabwing.pools.state import CellState, Choice

__all__ = ["PlacementBlocker", "Policy", "make_policy", "policy", "policy_names"]


class PlacementBlocker(Enum):
    """Why a request cannot be placed now.

    ``NO_FREE_SLOT``: no upstream has a free slot for its tier. ``BUSY``: the
    prefills or the batch of an upstream with a free slot delay it too much, so
    a shorter prompt of its tier may go first. ``UNUSABLE``: all upstreams with
    a free slot are excluded or too slow for it, so other requests may take
    these slots at no cost to it.
    """

    NO_FREE_SLOT = 1
    BUSY = 2
    UNUSABLE = 3


class Policy(Protocol):
    """Interface of a scheduling policy of a cell.

    :cvar ejects_stragglers: whether slow upstreams get no new requests.
    """

    ejects_stragglers: bool

    def make_queue(self) -> WaitingQueue:
        """Return an empty queue that serves requests in the policy's order."""

    def check_admission(self, item: QueuedRequest, now: float) -> RefusalCode | None:
        """Return why a new request must be refused, ``None`` to admit it."""

    def choose(
        self, request: PlacementRequest, now: float
    ) -> Choice | PlacementBlocker:
        """Return the upstream for a request, or why it has to wait."""

    def record_refusal(
        self, item: QueuedRequest, code: RefusalCode, now: float
    ) -> None:
        """Record that a new or queued request was refused."""

    def expected_late(self, now: float) -> list[QueuedRequest]:
        """Return the queued requests expected to miss their deadlines."""

    def expected_wait_s(self, item: QueuedRequest, now: float) -> float:
        """Return how long a request is expected to wait for a permit, in seconds."""

    def lowest_admitted(self, now: float) -> int | None:
        """Return the rank of the lowest tier admitted now; ``None`` for all."""


PolicyFactory = Callable[..., Policy]

_FACTORIES: dict[str, PolicyFactory] = {}


def policy(name: str) -> Callable[[PolicyFactory], PolicyFactory]:
    """Register a policy class under the name used in the configuration.

    :raises ValueError: if a policy is already registered under the name.
    """

    def register(factory: PolicyFactory) -> PolicyFactory:
        if name in _FACTORIES:
            raise ValueError(f"policy {name!r} is already registered")
        _FACTORIES[name] = factory
        return factory

    return register


def policy_names() -> tuple[str, ...]:
    """Return the names of all policies, sorted."""
    return tuple(sorted(_FACTORIES))


def make_policy(name: str, *, state: CellState, rng: Random) -> Policy:
    """Create the policy with the given name for a cell.

    :raises ConfigurationError: if no policy with this name is registered.
    """
    factory = _FACTORIES.get(name)
    if factory is None:
        names = ", ".join(policy_names())
        raise ConfigurationError(
            f"unknown policy {name!r}; available policies: {names}", step="configure"
        )
    return factory(state=state, rng=rng)
