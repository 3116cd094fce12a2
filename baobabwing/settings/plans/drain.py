"""Intents that take an upstream or a host out of service."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, replace

from baobabwing.pools.catalogue import UpstreamState
from baobabwing.settings.checker import rule
from baobabwing.settings.configuration import Configuration, LeavingHost
from baobabwing.settings.plans.intents import PlanContext, register, unknown_name
from baobabwing.store.hosts import ListedHost

__all__ = ["DrainHost", "DrainUpstream"]


@register("drain-upstream")
@dataclass(frozen=True, kw_only=True)
class DrainUpstream:
    """Send no new requests to an upstream.

    :param upstream: name of the upstream.
    """

    upstream: str = rule(least=1)

    def apply(self, cfg: Configuration, context: PlanContext) -> Configuration:
        """Mark the upstream as leaving."""
        names = tuple(upstream.name for upstream in cfg.upstreams)
        if self.upstream not in names:
            raise unknown_name("upstream", self.upstream, names)
        return _mark_leaving(cfg, {self.upstream})

    def summary(self) -> str:
        """Return a one-line description for the history."""
        return f"drain upstream {self.upstream}"


@register("drain-host")
@dataclass(frozen=True, kw_only=True)
class DrainHost:
    """Stop the nodes of a host, and send no new requests to its upstreams.

    :param host: name of a node, or IP address of a host.
    """

    host: str = rule(least=1)

    def apply(self, cfg: Configuration, context: PlanContext) -> Configuration:
        """Mark all nodes and upstreams of the host as leaving."""
        nodes = [host.name for host in context.hosts if self._matches_node(host)]
        upstreams = {
            upstream.name
            for upstream in cfg.upstreams
            if self._is_on_host(upstream.address)
        }
        if not nodes and not upstreams:
            known = tuple(host.name for host in context.hosts)
            raise unknown_name("host", self.host, known)
        already_leaving = {leaving_host.name for leaving_host in cfg.leaving_hosts}
        added = tuple(
            LeavingHost(name=name) for name in nodes if name not in already_leaving
        )
        cfg = replace(cfg, leaving_hosts=(*cfg.leaving_hosts, *added))
        return _mark_leaving(cfg, upstreams)

    def summary(self) -> str:
        """Return a one-line description for the history."""
        return f"drain host {self.host}"

    def _matches_node(self, host: ListedHost) -> bool:
        return host.name == self.host or self._is_on_host(host.peer)

    def _is_on_host(self, address: str) -> bool:
        return address.rpartition(":")[0].strip("[]") == self.host


def _mark_leaving(cfg: Configuration, names: Container[str]) -> Configuration:
    upstreams = tuple(
        replace(upstream, state=UpstreamState.LEAVING)
        if upstream.name in names
        else upstream
        for upstream in cfg.upstreams
    )
    return replace(cfg, upstreams=upstreams)
