"""Policies that choose an upstream, in a registry that a decorator fills."""

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
