"""Speeds and limits of the stand-in platform."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PlatformParameters"]


@dataclass(frozen=True, kw_only=True)
class PlatformParameters:
    """What the platform can do.

    :param writes_per_s: writes of the table service; a batch is one write.
    :param latency_ms: how long each call takes.
    :param hosts_lag_ms: age of the list of hosts.
    :param weight_load_ms: how long a load of weights takes.
    :param weight_loads_per_s: loads that may start a second.
    :param weight_burst: loads that may start at once after a pause.
    """

    writes_per_s: float = 300.0
    reads_per_s: float = 2000.0
    latency_ms: float = 2.0
    hosts_lag_ms: float = 2000.0
    weight_load_ms: float = 500.0
    weight_loads_per_s: float = 1.0
    weight_burst: int = 2
