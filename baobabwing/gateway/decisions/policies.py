"""The registry of scheduling policies, and the baseline to compare with."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from baobabwing.exceptions import ConfigurationError
from baobabwing.gateway.decisions.scheduling import Ask, PoolScheduler
from baobabwing.gateway.decisions.tracking import UpstreamTrack
from baobabwing.gateway.model import EngineSpec

__all__ = ["LeastInFlight", "make_scheduler", "policy_names", "register_policy"]

_POLICIES: dict[str, type[PoolScheduler]] = {}


def register_policy(name: str) -> Callable[[type[PoolScheduler]], type[PoolScheduler]]:
    """Register a scheduler under a name of the settings.

    :raises ValueError: if the name is taken.
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
    """Return a scheduler for a pool.

    :raises ConfigurationError: if no policy has the name.
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
    """Dispatch at once to the upstream with least in flight, as proxies do.

    All waiting is left to the upstreams, first come first served.
    """

    def _free_slots(self, track: UpstreamTrack) -> int:
        return 1

    def _reserved_slots(self, ask: Ask) -> Callable[[UpstreamTrack], int]:
        return lambda track: 0

    def _cost_s(self, ask: Ask, track: UpstreamTrack, now: float) -> float:
        return float(track.in_flight)
