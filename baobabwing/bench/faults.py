"""Registry of the faults that a benchmark run can inject."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from baobabwing.bench.control import clear_faults, set_fault
from baobabwing.bench.deployments import Deployment

__all__ = ["BenchFault", "bench_fault", "fault_names", "get_fault"]

STRAGGLER_FACTOR = 5.0
STALE_LOAD_MS = 10_000

Action = Callable[[Deployment], None]


@dataclass(frozen=True, kw_only=True)
class BenchFault:
    """Fault that is injected after a third of the run.

    :param begin: injects the fault.
    :param end: reverts it after two thirds of the run, if that is possible.
    """

    name: str
    begin: Action
    end: Action | None = None


_FAULTS: dict[str, BenchFault] = {}


def bench_fault(name: str, *, end: Action | None = None) -> Callable[[Action], Action]:
    """Decorate a function that injects a fault to add the fault to the registry."""

    def _register(begin: Action) -> Action:
        _FAULTS[name] = BenchFault(name=name, begin=begin, end=end)
        return begin

    return _register


def get_fault(name: str) -> BenchFault:
    """Return the fault with the given name.

    :raises KeyError: if it does not exist.
    """
    return _FAULTS[name]


def fault_names() -> tuple[str, ...]:
    """Return the names of all faults."""
    return tuple(sorted(_FAULTS))


@bench_fault("straggler")
def _straggler(deployment: Deployment) -> None:
    name = _fastest_engine(deployment)
    set_fault(deployment.upstreams[name], "slow", value=STRAGGLER_FACTOR)


@bench_fault("stale-load")
def _stale_load(deployment: Deployment) -> None:
    for spec in deployment.shape.engines:
        set_fault(deployment.upstreams[spec.name], "lag", value=STALE_LOAD_MS)


@bench_fault("kill-node")
def _kill_node(deployment: Deployment) -> None:
    """Kill a node that is not the home of an engine cell, if there is one."""
    homes = set(deployment.engine_homes())
    others = [name for name in deployment.node_names if name not in homes]
    deployment.kill_node((others or deployment.node_names)[-1])


@bench_fault("kill-home")
def _kill_home(deployment: Deployment) -> None:
    """Kill the home of the first engine cell, which schedules its requests."""
    deployment.kill_node(deployment.engine_homes()[0])


@bench_fault("kill-engine")
def _kill_engine(deployment: Deployment) -> None:
    deployment.kill_upstream(_fastest_engine(deployment))


def _clear_platform_faults(deployment: Deployment) -> None:
    clear_faults(deployment.platform)


@bench_fault("platform-down", end=_clear_platform_faults)
def _platform_down(deployment: Deployment) -> None:
    set_fault(deployment.platform, "down")


def _fastest_engine(deployment: Deployment) -> str:
    """Return an engine of the fastest generation, which receives the most work."""
    fastest = max(
        deployment.shape.engines, key=lambda spec: spec.engine.prefill_tokens_per_s
    )
    return fastest.name
