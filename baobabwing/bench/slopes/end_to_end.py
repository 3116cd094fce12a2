"""Processor time and control bytes of whole deployments under a like load."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from statistics import fmean

from baobabwing.bench.answers import Verdict
from baobabwing.bench.arrivals import draw_arrivals
from baobabwing.bench.scenarios import get_scenario
from baobabwing.bench.shapes import get_shape
from baobabwing.bench.slopes.rig import MeasuredGroup, Rig

__all__ = ["EndToEnd", "measure_end_to_end"]

SCENARIO = "tijera-day"
SEED = 1
SETTLE_S = 4.0
IDLE_S = 5.0
POLL_S = 0.1


@dataclass(frozen=True, kw_only=True)
class EndToEnd:
    """One run of a deployment.

    :param requests: sent; ``whole`` of them were answered whole.
    :param idle_core: processor time of all nodes a second, without load.
    :param idle_bytes_per_s: between nodes without load; each byte counted once,
        without headers.
    :param load_s: from the start of the load to its end.
    :param resident_bytes: memory of a node after the load, the mean of all.
    :param threads: of a node after the load, the mean of all.
    """

    nodes: int
    requests: int
    whole: int
    tokens: int
    load_s: float
    idle_core: float
    idle_bytes_per_s: float
    load_core_s: float
    load_bytes: float
    resident_bytes: float
    threads: float

    @property
    def request_ms(self) -> float:
        """Processor time a request beyond what idle nodes spend, tokens included."""
        return 1e3 * (self.load_core_s - self.idle_core * self.load_s) / self.requests

    @property
    def request_bytes(self) -> float:
        """Bytes between nodes a request, beyond those without load."""
        idle = self.idle_bytes_per_s * self.load_s
        return (self.load_bytes - idle) / self.requests


def measure_end_to_end(sizes: Iterable[int], *, seconds: float) -> list[EndToEnd]:
    """Run the same load on deployments of several numbers of nodes."""
    return [_measure(nodes, seconds) for nodes in sizes]


def _measure(nodes: int, seconds: float) -> EndToEnd:
    scenario = get_scenario(SCENARIO)
    shape = get_shape(scenario.shape)
    arrivals = draw_arrivals(shape, scenario.streams, seed=SEED, seconds=seconds)
    with MeasuredGroup() as group:
        rig = Rig(shape=shape, group=group, nodes=nodes, arrivals=arrivals, seed=SEED)
        rig.deployment.start()
        time.sleep(SETTLE_S)
        idle_core, idle_bytes = _over(rig, lambda: time.sleep(IDLE_S))
        began = time.monotonic()
        load_core, load_bytes = _over(rig, lambda: _load(rig))
        load_s = time.monotonic() - began
        answers = rig.answers()
        looks = [rig.look(name) for name in rig.deployment.living_nodes()]
        rig.deployment.stop()
    return EndToEnd(
        nodes=nodes,
        requests=len(arrivals),
        whole=sum(one.verdict is Verdict.WHOLE for one in answers),
        tokens=sum(one.output_tokens for one in arrivals if one.to_engine),
        load_s=load_s,
        idle_core=idle_core / IDLE_S,
        idle_bytes_per_s=idle_bytes / IDLE_S,
        load_core_s=load_core,
        load_bytes=load_bytes,
        resident_bytes=fmean(look.resident_bytes for look in looks),
        threads=fmean(look.threads for look in looks),
    )


def _load(rig: Rig) -> None:
    rig.put_load()
    while rig.loading():
        time.sleep(POLL_S)


def _over(rig: Rig, action: Callable[[], None]) -> tuple[float, float]:
    """Return the processor time and control bytes of all nodes over an action."""
    core, moved = rig.deployment.node_cpu_seconds(), rig.control_bytes()
    action()
    return rig.deployment.node_cpu_seconds() - core, rig.control_bytes() - moved
