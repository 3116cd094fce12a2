"""The shared, versioned configuration that every node holds in memory."""

from __future__ import annotations

from dataclasses import dataclass

from baobabwing.brands.catalogue import Brand, Credential, Organisation, Tier
from baobabwing.brands.operators import Operator
from baobabwing.pools.catalogue import Pool, Upstream

__all__ = ["Configuration", "LeavingHost", "ModelRoute"]


@dataclass(frozen=True, kw_only=True)
class ModelRoute:
    """Which model answers when callers of a brand ask for a name.

    :param brand: the brand, or an empty string for all that have no own route.
    :param model: the name that callers use.
    :param serves: the model of a pool that answers.
    """

    brand: str = ""
    model: str
    serves: str


@dataclass(frozen=True, kw_only=True)
class LeavingHost:
    """A node that is to stop gracefully and not come back.

    :param name: name of the node in its settings.
    """

    name: str


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """One accepted version of everything that operators create.

    :param version: grows by one with each accepted change; never goes back.
    :param attempt: id of the operator's attempt that wrote this version.
    :param author: name of the operator who wrote it.
    :param summary: one line on what changed.
    :param tiers: levels of service, each with a rank of its own.
    :param brands: brands under which the service is sold.
    :param organisations: customers of the brands.
    :param credentials: keys of callers, as digests.
    :param pools: groups of upstreams that answer for the same models.
    :param upstreams: engines and services.
    :param routes: models that answer under the names that callers use.
    :param leaving_hosts: nodes that are to stop.
    :param operators: who may see and change what; while there are none,
        anybody who reaches the platform may.
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
