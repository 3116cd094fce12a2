"""Settings of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["MembershipSettings"]


@dataclass(frozen=True, kw_only=True)
class MembershipSettings:
    """Times and bounds of the membership protocol.

    A death is declared after at most ``2 * probe_interval_ms`` until the next
    probe, ``2 * probe_timeout_ms`` until suspicion, and ``suspicion_ms``.

    :param probe_interval_ms: time between two probes that a node starts.
    :param probe_timeout_ms: wait for an answer before indirect probes are
        requested.
    :param suspicion_ms: time that a suspect has to refute.
    :param fan_out: number of members that are asked for an indirect probe, that
        gossip is sent to, or that are contacted to join.
    :param gossip_spacing_ms: minimum time between two bursts of gossip.
    :param gossip_per_s: gossip datagrams per second, on average.
    :param gossip_burst: maximum number of gossip datagrams at one time.
    :param retransmissions: how often an update is piggybacked, per bit of the
        fleet's size.
    :param sample_bytes_per_s: bound on the member records that are sent to peers
        whose digest differs.
    :param join_interval_ms: time between two attempts to join.
    :param seed_interval_ms: time between two reads of the list of hosts.
    :param reconnect_interval_ms: mean time between two pings of dead members.
    :param page_interval_ms: minimum time between two pulls of all members.
    :param clock_window_ms: datagrams whose sequence differs more than this from
        this host's clock are dropped.
    :param dead_kept_ms: time that dead members are kept and pinged.
    :param left_kept_ms: time that members that left are kept.
    :param suspects_limit: maximum number of members under probe at one time.
    :param codec: datagram codec, the same on all nodes: ``capnp``, or ``packed``,
        which takes less memory.
    """

    probe_interval_ms: int = 250
    probe_timeout_ms: int = 200
    suspicion_ms: int = 700
    fan_out: int = 3
    gossip_spacing_ms: int = 30
    gossip_per_s: float = 8.0
    gossip_burst: int = 24
    retransmissions: int = 2
    sample_bytes_per_s: float = 400.0
    join_interval_ms: int = 500
    seed_interval_ms: int = 10_000
    reconnect_interval_ms: int = 5_000
    page_interval_ms: int = 60_000
    clock_window_ms: int = 60_000
    dead_kept_ms: int = 7_200_000
    left_kept_ms: int = 600_000
    suspects_limit: int = 64
    codec: str = "capnp"
