"""Registry of scheduling policies, and a baseline policy for comparison."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from baobabwing.exceptions import ConfigurationError
from baobabwing.gateway.decisions.scheduling import PlacementRequest, PoolScheduler
from baobabwing.gateway.decisions.tracking import UpstreamTrack
from baobabwing.gateway.model import EngineSpec

__all__ = ["LeastInFlight", "make_scheduler", "policy_names", "register_policy"]

_POLICIES: dict[str, type[PoolScheduler]] = {}


def register_policy(name: str) -> Callable[[type[PoolScheduler]], type[PoolScheduler]]:
    """Return a class decorator that registers a scheduler as a policy.

    :param name: name of the policy in the settings.
    :raises ValueError: by the decorator, if the name is already registered.
    """

    def register(scheduler_class: type[PoolScheduler]) -> type[PoolScheduler]:
        if name in _POLICIES:
            raise ValueError(f"policy {name!r} is registered twice")
        _POLICIES[name] = scheduler_class
        return scheduler_class

    return register


def policy_names() -> tuple[str, ...]:
    """Return the names of all policies, sorted."""
    return tuple(sorted(_POLICIES))


def make_scheduler(
    name: str, *, engine: EngineSpec | None, rng: Random
) -> PoolScheduler:
    """Create a scheduler for a pool.

    :param name: name of the policy.
    :param engine: figures of the pool's engines; ``None`` for plain services.
    :param rng: breaks ties.
    :raises ConfigurationError: if no policy has this name.
    """
    scheduler_class = _POLICIES.get(name)
    if scheduler_class is None:
        known = ", ".join(policy_names())
        raise ConfigurationError(
            f"no policy is named {name!r}; known are {known}", step="configure"
        )
    return scheduler_class(engine=engine, rng=rng)


register_policy("queued")(PoolScheduler)


@register_policy("least_in_flight")
class LeastInFlight(PoolScheduler):
    """Policy that sends each request at once to the least loaded upstream.

    This is how common proxies balance: all queueing is left to the upstreams, which
    serve first come, first served.
    """

    @property
    def _leaves_slots(self) -> bool:
        return False

    def _free_slots(self, track: UpstreamTrack, now: float) -> int:
        return 1

    def _reserved_slots(
        self, request: PlacementRequest
    ) -> Callable[[UpstreamTrack], int]:
        return lambda track: 0

    def _weighs_zones(self, request: PlacementRequest) -> bool:
        return False

    def _cost_s(
        self, request: PlacementRequest, track: UpstreamTrack, now: float
    ) -> float:
        return float(track.in_flight)
