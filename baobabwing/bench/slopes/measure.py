"""Measures slopes and writes them as JSON, the input of ``docs/CAPACITY.md``.

``python -m baobabwing.bench.slopes.measure state decisions`` measures these two;
without names, all.
"""

from __future__ import annotations

import importlib
import json
from collections.abc import Iterable
from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import typer

from baobabwing.bench.slopes.end_to_end import EndToEnd, measure_end_to_end
from baobabwing.bench.slopes.fitting import Slope, fit
from baobabwing.bench.slopes.registry import measurements
from baobabwing.reports.events import configure_logging

__all__ = ["load_runs", "load_slopes", "main"]

FOLDER = Path("docs/capacity")
END_TO_END = "end_to_end"
MEMBERSHIP = "membership"
NODES = (3, 6, 7, 12)
LOAD_SECONDS = 10.0
_MODULES = (
    "state",
    "decisions",
    "exchanges",
    "fleets",
    "configurations",
    "polling",
    "relaying",
)


def main(
    names: Annotated[list[str] | None, typer.Argument(help="What to measure.")] = None,
    folder: Annotated[Path, typer.Option(help="Where the JSON goes.")] = FOLDER,
) -> None:
    """Measure slopes and write one JSON file for each measurement."""
    configure_logging(level="critical")
    known = _measurements()
    for name in names or [*known, END_TO_END]:
        typer.echo(f"measuring {name}")
        if name == END_TO_END:
            runs = measure_end_to_end(NODES, seconds=LOAD_SECONDS)
            _write(folder / f"{name}.json", name, [asdict(run) for run in runs])
        else:
            slopes = list(known[name]())
            _write(folder / f"{name}.json", name, [asdict(one) for one in slopes])


def load_slopes(folder: Path) -> dict[str, Slope]:
    """Return all slopes of a folder by name, those of membership among them."""
    found = {}
    for path in sorted(folder.glob("*.json")):
        document = json.loads(path.read_text(encoding="utf-8"))
        if path.stem == MEMBERSHIP:
            slopes = list(_membership_slopes(document))
        elif path.stem == END_TO_END:
            continue
        else:
            slopes = [_slope(item) for item in document["figures"]]
        found.update({one.name: one for one in slopes})
    return found


def load_runs(folder: Path) -> list[EndToEnd]:
    """Return the runs of whole deployments."""
    text = (folder / f"{END_TO_END}.json").read_text(encoding="utf-8")
    return [EndToEnd(**item) for item in json.loads(text)["figures"]]


def _measurements() -> dict[str, object]:
    for module in _MODULES:
        importlib.import_module(f"baobabwing.bench.slopes.{module}")
    return measurements()


def _write(path: Path, name: str, figures: list[dict]) -> None:
    command = f"python -m baobabwing.bench.slopes.measure {name}"
    document = {"command": command, "figures": figures}
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")


def _slope(item: dict) -> Slope:
    points = tuple((x, y) for x, y in item["points"])
    return Slope(**{**item, "points": points})


def _membership_slopes(document: list[dict]) -> Iterable[Slope]:
    """Return slopes over the fleet's size of what the membership's command writes."""
    for name, unit, path in (
        ("bytes: membership at rest, a second", "bytes/s", ("rest", "bytes_per_s")),
        (
            "bytes: membership with changes, a second",
            "bytes/s",
            ("with_changes", "bytes_per_s"),
        ),
        ("core: membership at rest", "%", ("rest", "core_percent")),
        ("core: membership with changes", "%", ("with_changes", "core_percent")),
        ("datagrams: membership at rest, a second", "1/s", ("rest", "datagrams_per_s")),
        ("bytes: membership, a start", "bytes", ("start_bytes",)),
        ("seconds: death known to all", "s", ("death", "highest_s")),
        ("seconds: version known to all", "s", ("version", "highest_s")),
    ):
        points = [(item["nodes"], _value(item, path)) for item in document]
        yield fit(name, unit=unit, per="node", points=points)


def _value(item: dict, path: Iterable[str]) -> float:
    value: object = item
    for key in path:
        value = value[key]
    return float(value)


if __name__ == "__main__":
    typer.run(main)
