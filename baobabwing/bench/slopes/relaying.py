"""Runs the measurement of the relay at several loads and reads what it prints."""

from __future__ import annotations

import re
import subprocess
import sys
from collections.abc import Iterable

from baobabwing.bench.slopes.fitting import Slope, fit
from baobabwing.bench.slopes.registry import measurement
from baobabwing.exceptions import BaobabwingError

__all__ = ["measure_relay", "read_relay"]

STREAMS = (100, 200, 400)
SECONDS = 4
TIMEOUT_S = 180.0
MODULE = "baobabwing.bench.relay_cost"
_LINE = re.compile(
    r"^ours\s+(?P<us>[\d.]+) us/token,\s+(?P<rate>\d+) tokens/s relayed,"
    r"\s+(?P<mb>\d+) MB",
    re.MULTILINE,
)
_MEGABYTE = 1 << 20


class RelayFiguresError(BaobabwingError):
    """The measurement of the relay did not print what is read here."""


@measurement("relay")
def measure_relay() -> Iterable[Slope]:
    """Measure the relay with 100, 200 and 400 streams."""
    runs = [(count, *read_relay(_run(count))) for count in STREAMS]
    yield fit(
        "core: relay",
        unit="us of a core a second",
        per="token a second",
        points=[(rate, us * rate) for _, us, rate, _ in runs],
    )
    yield fit(
        "memory: relay",
        unit="bytes",
        per="open stream",
        points=[(count, mb * _MEGABYTE) for count, _, _, mb in runs],
    )


def read_relay(text: str) -> tuple[float, float, float]:
    """Return microseconds a token, tokens a second and megabytes.

    :raises RelayFiguresError: if the text has no such line.
    """
    found = _LINE.search(text)
    if found is None:
        raise RelayFiguresError("no line on our relay", step="read")
    return float(found["us"]), float(found["rate"]), float(found["mb"])


def _run(streams: int) -> str:
    options = ["--relays", "ours", "--memory-streams", "0", "--rounds", "1"]
    load = ["--streams", str(streams), "--seconds", str(SECONDS)]
    command = [sys.executable, "-m", MODULE, *options, *load]
    return subprocess.run(
        command, check=True, capture_output=True, text=True, timeout=TIMEOUT_S
    ).stdout
