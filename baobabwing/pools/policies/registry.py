"""The registry of scheduling policies and what a policy decides."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from random import Random
from typing import Protocol

from baobabwing.exceptions import ConfigurationError
from baobabwing.pools.fairness import QueuedRequest
from baobabwing.pools.permits import Ask, RefusalCode
from baobabwing.pools.queues import WaitingQueue
from baobabwing.pools.state import CellState, Choice

__all__ = ["PlacementBlocker", "Policy", "make_policy", "policy", "policy_names"]


class PlacementBlocker(Enum):
    """Why an ask cannot be placed now.

    ``LOAD``: nothing is free. ``BUSY``: prefills in the way keep it from what
    is free, so that a shorter prompt of its tier may go first.
    ``UNUSABLE``: what is free is excluded or too slow for it, so that all others
    may go first without taking anything from it.
    """

    NO_FREE_SLOT = 1
    BUSY = 2
    UNUSABLE = 3


class Policy(Protocol):
    """What may differ between ways to schedule a cell.

    :cvar relieves: whether stragglers are taken out of the choice.
    """

    ejects_stragglers: bool

    def make_queue(self) -> WaitingQueue:
        """Return an empty queue that hands out asks in the policy's order."""

    def check_admission(self, item: QueuedRequest, now: float) -> RefusalCode | None:
        """Return why an ask must be refused at once, if it must."""

    def choose(self, request: Ask, now: float) -> Choice | PlacementBlocker:
        """Return the upstream for an ask, or why it has to wait."""

    def record_refusal(
        self, item: QueuedRequest, code: RefusalCode, now: float
    ) -> None:
        """Take note that a queued or new ask was refused."""

    def expected_late(self, now: float) -> list[QueuedRequest]:
        """Return the queued asks that can no longer be in time."""

    def expected_wait_s(self, item: QueuedRequest, now: float) -> float:
        """Return how long an ask would probably wait for a permit."""

    def lowest_admitted(self, now: float) -> int | None:
        """Return the lowest tier rank that it admits; ``None`` for all."""


PolicyFactory = Callable[..., Policy]

_FACTORIES: dict[str, PolicyFactory] = {}


def policy(name: str) -> Callable[[PolicyFactory], PolicyFactory]:
    """Register a policy class under a name of the configuration.

    :raises ValueError: if the name is taken.
    """

    def register(factory: PolicyFactory) -> PolicyFactory:
        if name in _FACTORIES:
            raise ValueError(f"policy {name!r} is registered twice")
        _FACTORIES[name] = factory
        return factory

    return register


def policy_names() -> tuple[str, ...]:
    """Return the names of all policies, sorted."""
    return tuple(sorted(_FACTORIES))


def make_policy(name: str, *, state: CellState, rng: Random) -> Policy:
    """Return a new policy for a cell.

    :raises ConfigurationError: if no policy has the name.
    """
    factory = _FACTORIES.get(name)
    if factory is None:
        names = ", ".join(policy_names())
        raise ConfigurationError(
            f"no policy is named {name!r}; known are {names}", step="configure"
        )
    return factory(state=state, rng=rng)
