"""Scheduling policies, registered by name with a decorator."""

from baobabwing.pools.policies import baselines, tiered
from baobabwing.pools.policies.registry import (
    PlacementBlocker,
    Policy,
    make_policy,
    policy,
    policy_names,
)

__all__ = [
    "PlacementBlocker",
    "Policy",
    "baselines",
    "make_policy",
    "policy",
    "policy_names",
    "tiered",
]
