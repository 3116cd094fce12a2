"""Settings of one gateway process."""

from __future__ import annotations

from dataclasses import dataclass, field

from baobabwing.gateway.decisions.charges import Tolerance
from baobabwing.gateway.decisions.repeats import RepeatBudget
from baobabwing.gateway.headers import HeaderNames

__all__ = ["GatewaySettings", "RepeatSettings"]


@dataclass(frozen=True, kw_only=True)
class RepeatSettings:
    """Bound on second tries over all nodes.

    :param ratio: second tries for each request of a caller.
    :param slack: second tries a window beyond that.
    :param window_s: length of a window.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window_s: float = 10.0


@dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """Addresses and times of one gateway.

    :param name: unique among the nodes of the deployment.
    :param callers: where callers connect, ``ip:port``.
    :param readiness: where the platform asks whether this node is ready.
    :param directory: where callers ask for addresses; empty to serve none.
    :param peers: address for other nodes: TCP for documents, UDP for membership.
    :param work: UDP address for what gateways ask of each other.
    :param metrics: where metrics are served; empty for nowhere.
    :param weight: share of homes against other nodes, by the processor time that this
        node has.
    :param stop_s: time from the signal to the end of a graceful shutdown.
    :param address_keep_s: how long callers may use an address answer.
    :param log_bytes_per_s: most that is logged; a busy node of 15 requests a second
        writes some 10 KB.
    :param policy: how requests are queued and placed; a name of the registry in
        ``decisions/policies.py``.
    :param names: headers in use.
    :param repeats: bound on second tries.
    :param tolerance: excess over organisations' limits that does no harm.
    """

    name: str
    zone: str = ""
    region: str = ""
    callers: str
    readiness: str = ""
    directory: str = ""
    peers: str
    work: str
    metrics: str = ""
    weight: float = 1.0
    stop_s: float = 8.0
    address_keep_s: float = 1.0
    log_bytes_per_s: int = 32_768
    policy: str = "queued"
    names: HeaderNames = field(default_factory=HeaderNames)
    repeats: RepeatSettings = field(default_factory=RepeatSettings)
    tolerance: Tolerance = field(default_factory=Tolerance)

    def budget(self) -> RepeatBudget:
        """Return a new budget for second tries at one pool."""
        return RepeatBudget(
            ratio=self.repeats.ratio,
            slack=self.repeats.slack,
            window_s=self.repeats.window_s,
        )
