"""Speeds and limits of the stand-in platform."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PlatformParameters"]


@dataclass(frozen=True, kw_only=True)
class PlatformParameters:
    """Latencies and rate limits of the platform's components.

    :param writes_per_s: limit of all write calls per second; a batch counts as one.
    :param reads_per_s: limit of all read calls per second.
    :param latency_ms: duration of each call.
    :param hosts_lag_ms: age of the list of hosts.
    :param weight_load_ms: duration of a weight load.
    :param weight_loads_per_s: weight loads that may start per second.
    :param weight_burst: weight loads that may start at once after an idle time.
    """

    writes_per_s: float = 300.0
    reads_per_s: float = 2000.0
    latency_ms: float = 2.0
    hosts_lag_ms: float = 2000.0
    weight_load_ms: float = 500.0
    weight_loads_per_s: float = 1.0
    weight_burst: int = 2
