"""Registry of the faults that can be injected while a request is processed."""

from __future__ import annotations

import threading
from collections.abc import Callable

from baobabwing.bench.deployments import PLATFORM
from baobabwing.bench.matrix.scene import Scene
from baobabwing.bench.matrix.site import BOOKING, ENGINES, SERVICES

__all__ = ["STRIKES", "get_strike", "strike"]

# Longer than a caller's connection attempt, but shorter than the time within which an
# entry resumes a broken stream.
UPSTREAM_FREEZE_S = 1.0
LATE_MS = 300
PLATFORM_SLOW_MS = 2_000

Strike = Callable[[Scene], None]
STRIKES: dict[str, Strike] = {}


def strike(name: str) -> Callable[[Strike], Strike]:
    """Decorate a function that injects a fault to add it to the registry."""

    def register(inject: Strike) -> Strike:
        STRIKES[name] = inject
        return inject

    return register


def get_strike(name: str) -> Strike:
    """Return the function that injects a fault.

    :raises KeyError: if there is no fault with the given name.
    """
    return STRIKES[name]


@strike("nothing")
def _nothing(scene: Scene) -> None:
    return


@strike("its host is killed")
def _entry_killed(scene: Scene) -> None:
    scene.site.kill(scene.entry)


@strike("its host is frozen")
def _entry_frozen(scene: Scene) -> None:
    scene.site.group.freeze(scene.entry)
    scene.entry_hangs = True


@strike("its host is frozen until the others think it dead")
def _entry_frozen_long(scene: Scene) -> None:
    _entry_frozen(scene)
    scene.wait(
        lambda: scene.entry not in scene.site.members(scene.other), "thought dead"
    )


@strike("its host is stopped")
def _entry_stopped(scene: Scene) -> None:
    scene.site.stop_node(scene.entry)


@strike("the home of its cell is killed")
def _home_killed(scene: Scene) -> None:
    scene.site.kill(scene.home)


@strike("the home of its cell is frozen")
def _home_frozen(scene: Scene) -> None:
    scene.site.group.freeze(scene.home)


@strike("its host and the home of its cell are killed")
def _entry_and_home_killed(scene: Scene) -> None:
    scene.site.kill(scene.home)
    scene.site.kill(scene.entry)


@strike("the home of its cell is killed, and its host once there is a new home")
def _home_then_entry_killed(scene: Scene) -> None:
    before = _home_rebuild_count(scene)
    scene.site.kill(scene.home)
    scene.wait(lambda: _home_rebuild_count(scene) > before, "home rebuilt")
    scene.site.kill(scene.entry)


@strike("its upstream is killed")
def _upstream_killed(scene: Scene) -> None:
    for name in scene.running_at():
        scene.site.kill(name)


@strike("its upstream is frozen for a while")
def _upstream_frozen(scene: Scene) -> None:
    for name in scene.running_at():
        scene.site.group.freeze(name)
    threading.Timer(UPSTREAM_FREEZE_S, scene.recover).start()


@strike("its host and its upstream are killed")
def _entry_and_upstream_killed(scene: Scene) -> None:
    _upstream_killed(scene)
    scene.site.kill(scene.entry)


@strike("its caller's connection is cut")
def _caller_cut(scene: Scene) -> None:
    if scene.first is not None:
        scene.first.leave()


@strike("its caller vanishes")
def _caller_vanishes(scene: Scene) -> None:
    if scene.first is not None:
        scene.first.leave(hard=True)


@strike("its upstream's connection is cut")
def _upstream_cut(scene: Scene) -> None:
    _fault_all(scene, "cut_stream_after", value=5, count=1)


@strike("its upstream is slow")
def _upstream_slow(scene: Scene) -> None:
    _fault_all(scene, "slow", value=4)


@strike("its upstream refuses")
def _upstream_refuses(scene: Scene) -> None:
    upstream = (SERVICES if scene.service else ENGINES)[0]
    scene.site.fault(upstream, "refuse")


@strike("all its upstreams refuse")
def _all_refuse(scene: Scene) -> None:
    _fault_all(scene, "refuse")


@strike("its upstream fails after the effect")
def _upstream_fails(scene: Scene) -> None:
    _fault_all(scene, "fail", count=1)


@strike("its upstream answers late")
def _upstream_late(scene: Scene) -> None:
    _fault_all(scene, "answer_late", value=LATE_MS)


@strike("its upstream answers twice")
def _upstream_twice(scene: Scene) -> None:
    _fault_all(scene, "answer_twice")


@strike("its upstream drops the answer after the effect")
def _upstream_drops(scene: Scene) -> None:
    _fault_all(scene, "drop_after_effect", count=1)


@strike("the platform is killed")
def _platform_killed(scene: Scene) -> None:
    scene.site.kill(PLATFORM)


@strike("the platform is down")
def _platform_down(scene: Scene) -> None:
    scene.site.fault(PLATFORM, "down")


@strike("the platform is slow")
def _platform_slow(scene: Scene) -> None:
    scene.site.fault(PLATFORM, "slow", value=PLATFORM_SLOW_MS)


@strike("the platform loses the answer of a write that took effect")
def _platform_loses(scene: Scene) -> None:
    scene.site.fault(PLATFORM, "lose_answer", count=1)


@strike("the platform's list of hosts is wrong")
def _wrong_list(scene: Scene) -> None:
    names = (scene.entry, scene.home)
    scene.site.fault(PLATFORM, "list_error", value="leaving", names=names)


@strike("the platform is down and its host is killed")
def _platform_down_entry_killed(scene: Scene) -> None:
    _platform_down(scene)
    scene.site.kill(scene.entry)


def _home_rebuild_count(scene: Scene) -> int:
    """Return how often the home of the request's cell has been rebuilt."""
    cell = f'"{BOOKING if scene.service else "assistant"}/0"'
    lines = [
        line
        for name in (scene.entry, scene.other)
        for line in scene.site.group.get(name).log.read_text().splitlines()
    ]
    return sum('"home_rebuilt"' in line and cell in line for line in lines)


def _fault_all(
    scene: Scene, name: str, *, value: object = None, count: int | None = None
) -> None:
    for upstream in SERVICES if scene.service else ENGINES:
        scene.site.fault(upstream, name, value=value, count=count)
