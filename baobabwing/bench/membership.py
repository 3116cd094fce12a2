"""Measures membership on real processes and works out its cost at 460 nodes.

``python -m baobabwing.bench.membership --sizes 3,6,12 --output figures.json``
"""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import fmean, median
from typing import Annotated

import typer

from baobabwing.bench.membership_worker import Note, Order, run_worker

__all__ = ["Figures", "fit_line", "main", "measure"]

TARGET_NODES = 460
_HEADER_BYTES = 28
_ZONES = 7
_SEEDS = 3
_SETTLE_S = 4.0
_REST_S = 16.0
_CHANGE_EVERY_S = 16.0
_CHANGES = 2
_QUICK_CHANGES = 5
_PATIENCE_S = 60.0
_SHORT_FREEZE_S = 0.6
_LONG_FREEZE_S = 4.0
_LOSS_S = 12.0
_POLL_S = 0.02
_MAX_KILLS = 4


@dataclass(frozen=True, kw_only=True)
class Cost:
    """What a node spends on membership, sent and received together."""

    bytes_per_s: float
    highest_bytes_per_s: float
    datagrams_per_s: float
    core_percent: float


@dataclass(frozen=True, kw_only=True)
class Spread:
    """Seconds until a node took something in, over all nodes and tries."""

    median_s: float
    highest_s: float
    tries: int


@dataclass(frozen=True, kw_only=True)
class Figures:
    """Figures of one fleet size.

    :param start_bytes: bytes of a node from its start until the measurement.
    :param false_deaths: verdicts on running nodes, as (stage, count).
    :param lasting_false_deaths: those still believed at the end of the stage.
    :param back_s: seconds until all nodes saw a node again that was frozen for
        so long that it was declared dead.
    """

    nodes: int
    start_bytes: float
    rest: Cost
    with_changes: Cost
    death: Spread
    leaving: Spread
    version: Spread
    back_s: float
    false_deaths: dict[str, int]
    lasting_false_deaths: dict[str, int]


class _Node:
    """A worker process and what it noted so far."""

    def __init__(self, *, name: str, zone: str) -> None:
        self.name = name
        self.notes: list[Note] = []
        self.state: dict[str, str] = {}
        self.alive = True
        command = [sys.executable, "-m", "baobabwing.bench.membership"]
        options = ["--worker", name, "--zone", zone]
        self._process = subprocess.Popen(
            [*command, *options],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()

    def tell(self, order: Order) -> None:
        self._process.stdin.write(json.dumps(asdict(order)) + "\n")
        self._process.stdin.flush()

    def signal(self, number: signal.Signals) -> None:
        self._process.send_signal(number)

    def kill(self) -> float:
        at = time.monotonic()
        self._process.kill()
        self._process.wait()
        self.alive = False
        return at

    def check(self) -> None:
        status = self._process.poll()
        if status is not None:
            raise RuntimeError(f"{self.name} ended by itself with status {status}")

    def close(self) -> None:
        if self.alive:
            self.signal(signal.SIGCONT)
            self._process.stdin.close()
            self._process.wait()
        self._thread.join()

    def first(self, matches: Callable[[Note], bool], *, after: float) -> float | None:
        """Return when the node first noted something after a time."""
        return next(
            (n.at for n in tuple(self.notes) if n.at >= after and matches(n)), None
        )

    def count(self, matches: Callable[[Note], bool], *, after: float) -> int:
        return sum(n.at >= after and matches(n) for n in tuple(self.notes))

    def _read(self) -> None:
        for line in self._process.stdout:
            note = Note(**json.loads(line))
            self.notes.append(note)
            if note.kind == "state":
                self.state[note.subject] = note.state


class _Fleet:
    """All workers of one measurement."""

    def __init__(self, size: int) -> None:
        self.nodes = [
            _Node(name=f"node-{place:03d}", zone=f"zone-{place % _ZONES}")
            for place in range(size)
        ]
        self._reports = 0

    def __enter__(self) -> _Fleet:
        return self

    def __exit__(self, *exc: object) -> None:
        for node in self.nodes:
            node.close()

    @property
    def running(self) -> list[_Node]:
        return [node for node in self.nodes if node.alive]

    def start(self) -> None:
        _wait(lambda: all(node.notes for node in self.nodes))
        seeds = tuple(f"{n.name} {n.notes[0].subject}" for n in self.nodes[:_SEEDS])
        for node in self.nodes:
            node.tell(Order(action="start", seeds=seeds))
        _wait(self.whole)

    def whole(self) -> bool:
        """Tell whether every running node sees every running node alive.

        :raises RuntimeError: if a worker ended that was not killed.
        """
        for node in self.running:
            node.check()
        names = [node.name for node in self.running]
        states = ("alive", "leaving")
        return all(
            node.state.get(name) in states for node in self.running for name in names
        )

    def report(self) -> dict[str, Note]:
        self._reports += 1
        number = self._reports
        for node in self.running:
            node.tell(Order(action="figures", number=number))

        def is_report(note: Note) -> bool:
            return note.kind == "figures" and note.number == number

        _wait(lambda: all(n.count(is_report, after=0.0) for n in self.running))
        return {
            node.name: next(n for n in tuple(node.notes) if is_report(n))
            for node in self.running
        }

    def cost_of(self, action: Callable[[], None]) -> Cost:
        before = self.report()
        action()
        after = self.report()
        pairs = [(before[name], after[name]) for name in after]
        byte_rates = [_rate(_wire_bytes, *pair) for pair in pairs]
        return Cost(
            bytes_per_s=fmean(byte_rates),
            highest_bytes_per_s=max(byte_rates),
            datagrams_per_s=fmean(_rate(lambda n: n.datagrams, *p) for p in pairs),
            core_percent=100 * fmean(_rate(lambda n: n.cpu_s, *p) for p in pairs),
        )

    def times_until(
        self, matches: Callable[[Note], bool], *, since: float, by: Iterable[_Node]
    ) -> list[float]:
        """Wait until all these nodes noted it, and return their delays."""
        nodes = list(by)
        _wait(lambda: all(n.first(matches, after=since) is not None for n in nodes))
        return [n.first(matches, after=since) - since for n in nodes]

    def deaths_noted(self, *, after: float, except_of: Iterable[str] = ()) -> int:
        names = {node.name for node in self.running} - set(except_of)
        return sum(
            node.count(lambda n: n.state == "dead" and n.subject in names, after=after)
            for node in self.running
        )

    def deaths_believed(self) -> int:
        names = {node.name for node in self.running}
        return sum(
            node.state.get(name) == "dead" for node in self.running for name in names
        )


def measure(size: int) -> Figures:
    """Run one fleet through all stages."""
    with _Fleet(size) as fleet:
        fleet.start()
        time.sleep(_SETTLE_S)
        start_bytes = fmean(_wire_bytes(n) for n in fleet.report().values())
        started = time.monotonic()
        versions: list[float] = []
        rest = fleet.cost_of(lambda: time.sleep(_REST_S))
        changing = fleet.cost_of(lambda: _change_slowly(fleet, versions))
        _change_quickly(fleet, versions)
        leaving = _leave(fleet)
        false_deaths = {"calm": fleet.deaths_noted(after=started)}
        lasting = {"calm": fleet.deaths_believed()}
        deaths, false_deaths["kills"] = _kill(fleet)
        lasting["kills"] = fleet.deaths_believed()
        stages = (("short freeze", _SHORT_FREEZE_S), ("long freeze", _LONG_FREEZE_S))
        back_s = 0.0
        for stage, seconds in stages:
            false_deaths[stage], back_s = _freeze(fleet, seconds)
            lasting[stage] = fleet.deaths_believed()
        for share in (0.05, 0.2):
            stage = f"loss {share:.0%}"
            false_deaths[stage], lasting[stage] = _lose(fleet, share)
        return Figures(
            nodes=size,
            start_bytes=start_bytes,
            rest=rest,
            with_changes=changing,
            death=_spread(deaths),
            leaving=_spread(leaving),
            version=_spread(versions),
            back_s=back_s,
            false_deaths=false_deaths,
            lasting_false_deaths=lasting,
        )


def fit_line(points: Iterable[tuple[float, float]], at: float) -> tuple[float, float]:
    """Fit a line by least squares.

    :returns: its slope, and its value at ``at``.
    """
    points = list(points)
    mean_x = fmean(x for x, _ in points)
    mean_y = fmean(y for _, y in points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        return 0.0, mean_y
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y + slope * (at - mean_x)


def main(
    sizes: Annotated[str, typer.Option(help="Sizes, by commas.")] = "3,6,12,24,48",
    output: Annotated[Path | None, typer.Option(help="JSON file to write.")] = None,
    worker: Annotated[str, typer.Option(hidden=True)] = "",
    zone: Annotated[str, typer.Option(hidden=True)] = "",
) -> None:
    """Measure membership on fleets of real processes."""
    if worker:
        run_worker(name=worker, zone=zone, incarnation=time.time_ns() // 1_000_000)
        return
    figures = []
    for size in sizes.split(","):
        figures.append(measure(int(size)))
        typer.echo(_table(figures[-1:]))
    typer.echo(_table(figures))
    typer.echo(_fits(figures))
    if output is not None:
        text = json.dumps([asdict(item) for item in figures], indent=1)
        output.write_text(text + "\n")


def _change_slowly(fleet: _Fleet, times: list[float]) -> None:
    for place in range(_CHANGES):
        started = time.monotonic()
        _change(fleet, place, times)
        time.sleep(max(0.0, _CHANGE_EVERY_S - (time.monotonic() - started)))


def _change_quickly(fleet: _Fleet, times: list[float]) -> None:
    for place in range(_QUICK_CHANGES):
        _change(fleet, _CHANGES + place, times)
        time.sleep(0.5)


def _change(fleet: _Fleet, place: int, times: list[float]) -> None:
    version = place + 1
    first = fleet.nodes[place % len(fleet.nodes)]
    since = time.monotonic()
    first.tell(Order(action="version", number=version))
    times.extend(
        fleet.times_until(
            lambda note: note.kind == "version" and note.number >= version,
            since=since,
            by=fleet.nodes,
        )
    )


def _leave(fleet: _Fleet) -> list[float]:
    times = []
    for node in fleet.nodes[: max(1, len(fleet.nodes) // 12)]:
        since = time.monotonic()
        node.tell(Order(action="leave"))
        times += fleet.times_until(
            _sees(node.name, "leaving"), since=since, by=fleet.running
        )
    return times


def _kill(fleet: _Fleet) -> tuple[list[float], int]:
    times = []
    started = time.monotonic()
    kills = max(1, min(_MAX_KILLS, len(fleet.nodes) // 6))
    for node in fleet.nodes[-kills:]:
        since = node.kill()
        times += fleet.times_until(
            _sees(node.name, "dead"), since=since, by=fleet.running
        )
    return times, fleet.deaths_noted(after=started)


def _freeze(fleet: _Fleet, seconds: float) -> tuple[int, float]:
    """Freeze one node; return deaths of nodes that ran, and when it was back."""
    *others, node = fleet.running
    started = time.monotonic()
    node.signal(signal.SIGSTOP)
    time.sleep(seconds)
    node.signal(signal.SIGCONT)
    thawed = time.monotonic()
    time.sleep(_SETTLE_S)
    _wait(fleet.whole)
    if seconds < _LONG_FREEZE_S:
        return fleet.deaths_noted(after=started), 0.0
    back = fleet.times_until(_sees(node.name, "alive"), since=thawed, by=others)
    return fleet.deaths_noted(after=started, except_of=[node.name]), max(back)


def _lose(fleet: _Fleet, share: float) -> tuple[int, int]:
    """Lose datagrams; return false deaths, and those that did not heal."""
    started = time.monotonic()
    for node in fleet.running:
        node.tell(Order(action="loss", number=share))
    time.sleep(_LOSS_S)
    noted = fleet.deaths_noted(after=started)
    lasting = 0
    try:
        # With the loss still on: what heals only without it would last.
        _wait(lambda: not fleet.deaths_believed())
    except TimeoutError:
        lasting = fleet.deaths_believed()
    for node in fleet.running:
        node.tell(Order(action="loss"))
    _wait(fleet.whole)
    return noted, lasting


def _sees(name: str, state: str) -> Callable[[Note], bool]:
    return lambda note: note.subject == name and note.state == state


def _wire_bytes(note: Note) -> float:
    return note.payload_bytes + _HEADER_BYTES * note.datagrams


def _rate(value: Callable[[Note], float], before: Note, after: Note) -> float:
    return (value(after) - value(before)) / (after.at - before.at)


def _spread(times: list[float]) -> Spread:
    return Spread(median_s=median(times), highest_s=max(times), tries=len(times))


def _wait(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + _PATIENCE_S
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError("the fleet did not get there in time")
        time.sleep(_POLL_S)


def _table(figures: list[Figures]) -> str:
    head = (
        "| nodes | start bytes | rest B/s (highest) | rest core % "
        "| changes B/s | changes core % "
        "| death s p50/max | leaving s p50/max | version s p50/max | back s "
        "| false deaths (lasting) |"
    )
    rows = [head, "|" + "---|" * (head.count("|") - 1)]
    rows += [_row(item) for item in figures]
    return "\n".join(rows)


def _row(item: Figures) -> str:
    wrong = ", ".join(
        f"{stage} {count} ({item.lasting_false_deaths[stage]})"
        for stage, count in item.false_deaths.items()
    )
    cells = (
        f"{item.nodes}",
        f"{item.start_bytes:.0f}",
        f"{item.rest.bytes_per_s:.0f} ({item.rest.highest_bytes_per_s:.0f})",
        f"{item.rest.core_percent:.2f}",
        f"{item.with_changes.bytes_per_s:.0f}",
        f"{item.with_changes.core_percent:.2f}",
        f"{item.death.median_s:.2f}/{item.death.highest_s:.2f}",
        f"{item.leaving.median_s:.3f}/{item.leaving.highest_s:.3f}",
        f"{item.version.median_s:.3f}/{item.version.highest_s:.3f}",
        f"{item.back_s:.2f}",
        wrong,
    )
    return "| " + " | ".join(cells) + " |"


def _fits(figures: list[Figures]) -> str:
    values: dict[str, Callable[[Figures], float]] = {
        "bytes/s at rest": lambda f: f.rest.bytes_per_s,
        "bytes/s with changes": lambda f: f.with_changes.bytes_per_s,
        "core % at rest": lambda f: f.rest.core_percent,
        "core % with changes": lambda f: f.with_changes.core_percent,
        "bytes of a start": lambda f: f.start_bytes,
        "death s (highest)": lambda f: f.death.highest_s,
        "version s (highest)": lambda f: f.version.highest_s,
    }
    lines = []
    for name, value in values.items():
        slope, at = fit_line([(f.nodes, value(f)) for f in figures], TARGET_NODES)
        lines.append(f"{name}: {slope:+.5f} a node, {at:.3f} at {TARGET_NODES}")
    return "\n".join(lines)


if __name__ == "__main__":
    typer.run(main)
