"""Settings of one gateway process."""

from __future__ import annotations

from dataclasses import dataclass, field

from baobabwing.gateway.decisions.charges import Tolerance
from baobabwing.gateway.decisions.retry_budget import RetryBudget
from baobabwing.gateway.headers import HeaderNames

__all__ = [
    "GatewaySettings",
    "RetrySettings",
    "RolloutSettings",
    "SharedMachineSettings",
]


@dataclass(frozen=True, kw_only=True)
class RetrySettings:
    """Budget of retries over all nodes.

    :param ratio: retries for each request of a caller.
    :param slack: additional retries in each window.
    :param window_s: length of a window.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window_s: float = 10.0


@dataclass(frozen=True, kw_only=True)
class RolloutSettings:
    """Exposure budget of a version that is rolled out, over all nodes.

    :param share: of all requests to the pool from the order to its deadline.
    :param slack: additional requests.
    :param stop_s: time after the evidence against a version by which no node sends to
        it any more.
    """

    share: float = 0.1
    slack: float = 0.0
    stop_s: float = 5.0


@dataclass(frozen=True, kw_only=True)
class SharedMachineSettings:
    """What is done for pools whose upstreams share their machines with others.

    Such upstreams tell how long work takes on their machine.

    :param serve_in_time: whether late requests leave the slots to those that can be in
        time.
    :param share_plain_slots: whether the slots of few plain services are granted by
        one node for all.
    :param zone_price_s_per_mb: seconds of a caller's time that a megabyte between
        availability zones is worth; 0 to place without regard to zones.
    """

    serve_in_time: bool = False
    share_plain_slots: bool = True
    zone_price_s_per_mb: float = 0.0


@dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """Addresses, times and bounds of one gateway.

    :param name: unique among the nodes of the deployment.
    :param zone: availability zone of its host.
    :param region: of its host.
    :param callers: address, ``ip:port``, where callers connect.
    :param readiness: address where the platform queries whether this node is ready.
    :param directory: address where callers request the addresses of nodes; empty to
        serve none.
    :param peers: address for other nodes: TCP for documents, UDP for membership.
    :param work: address for other gateways: UDP for messages, TCP for tunnels.
    :param metrics: address where metrics are served; empty to serve none.
    :param weight: share of homes relative to other nodes, in proportion to the
        processor time available to this node.
    :param stop_s: time from the signal to the end of a graceful shutdown.
    :param address_keep_s: how long callers may cache an answer of the directory.
    :param log_bytes_per_s: maximum rate of the log; a busy node of 15 requests a second
        writes some 10 KB.
    :param held_bytes: most bytes that are kept for others at a time: a half of it for
        answers of upstreams, a half for requests of callers.
    :param max_answer_bytes: longest body of a plain answer that is kept until it is
        whole. A longer one is passed on as it comes if it states its length.
    :param max_stated_bytes: longest length that an answer may state.
    :param max_descriptors: most descriptors that this process may open, where that is
        less than its own limit; 0 for none.
    :param policy: name of the policy by which requests are queued and placed, in the
        registry of ``decisions/policies.py``.
    :param first_start: whether the whole fleet starts for the first time, so that no
        stream has begun before.
    :param names: of the headers in use.
    :param repeats: budget of retries.
    :param tolerance: permitted overage of organisations' limits.
    :param rollouts: exposure budget of new versions.
    :param shared_machines: what is done for pools that share their machines.
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
    held_bytes: int = 64 * 1024 * 1024
    max_answer_bytes: int = 4 * 1024 * 1024
    max_stated_bytes: int = 1024 * 1024 * 1024
    max_descriptors: int = 0
    policy: str = "queued"
    first_start: bool = False
    names: HeaderNames = field(default_factory=HeaderNames)
    repeats: RetrySettings = field(default_factory=RetrySettings)
    tolerance: Tolerance = field(default_factory=Tolerance)
    rollouts: RolloutSettings = field(default_factory=RolloutSettings)
    shared_machines: SharedMachineSettings = field(
        default_factory=SharedMachineSettings
    )

    def budget(self, *, nodes: int, now: float) -> RetryBudget:
        """Return a new budget of retries for one pool.

        :param nodes: number of nodes that may be running.
        :param now: monotonic time.
        """
        return RetryBudget(
            ratio=self.repeats.ratio,
            slack=self.repeats.slack,
            window_s=self.repeats.window_s,
            nodes=nodes,
            now=now,
            full=self.first_start,
        )
