"""Data classes of the shared, versioned configuration."""

from __future__ import annotations

from dataclasses import dataclass

from baobabwing.brands.catalogue import Brand, Credential, Organisation, Tier
from baobabwing.brands.operators import Operator
from baobabwing.pools.catalogue import Pool, Upstream

__all__ = ["Configuration", "LeavingHost", "ModelRoute"]


@dataclass(frozen=True, kw_only=True)
class ModelRoute:
    """Mapping from a model name that callers use to the model that serves it.

    :param brand: the brand, or an empty string for all brands without a route of
        their own.
    :param model: the model name in requests.
    :param serves: the model, of some pool, that serves these requests.
    """

    brand: str = ""
    model: str
    serves: str


@dataclass(frozen=True, kw_only=True)
class LeavingHost:
    """A node that is to shut down gracefully and stay stopped.

    :param name: name of the node in its settings.
    """

    name: str


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """One published version of the configuration, shared by all nodes.

    Every node holds it in memory.

    :param version: increases by one with each published change, never decreases.
    :param attempt: id of the publishing attempt that wrote this version.
    :param author: name of the operator who wrote it.
    :param summary: one-line description of the change.
    :param tiers: service levels, each with a unique rank.
    :param brands: brands under which the service is sold.
    :param organisations: organisations that use the brands.
    :param credentials: SHA-256 digests of callers' keys, with organisation and tier.
    :param pools: groups of upstreams that serve the same models.
    :param upstreams: engines and services, each in one pool.
    :param routes: model names in requests and the models that serve them.
    :param leaving_hosts: nodes that are to shut down.
    :param operators: operators and their roles; while there are none, everyone
        who can reach the platform may see and change everything.
    """

    version: int
    attempt: str = ""
    author: str = ""
    summary: str = ""
    tiers: tuple[Tier, ...] = ()
    brands: tuple[Brand, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    credentials: tuple[Credential, ...] = ()
    pools: tuple[Pool, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    routes: tuple[ModelRoute, ...] = ()
    leaving_hosts: tuple[LeavingHost, ...] = ()
    operators: tuple[Operator, ...] = ()
