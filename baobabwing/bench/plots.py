"""Plots of the goodput by tier; requires matplotlib."""

from __future__ import annotations

import importlib
from collections.abc import Sequence
from pathlib import Path
from types import ModuleType

from baobabwing.bench.figures import RunFigures
from baobabwing.exceptions import BaobabwingError

__all__ = ["load_pyplot", "plot_goodput"]

BAR_SPAN = 0.8
PLOT_DPI = 120


def load_pyplot() -> ModuleType:
    """Import matplotlib, which is an optional dependency.

    :raises BaobabwingError: if it is not installed.
    """
    try:
        matplotlib = importlib.import_module("matplotlib")
        matplotlib.use("Agg")
        return importlib.import_module("matplotlib.pyplot")
    except ImportError as exc:
        raise BaobabwingError("--plot needs matplotlib", step="plot") from exc


def plot_goodput(path: Path, runs: Sequence[RunFigures]) -> None:
    """Write a bar chart of the goodput by tier, with one colour per policy.

    :raises BaobabwingError: if matplotlib is not installed.
    """
    pyplot = load_pyplot()
    figure, axes = pyplot.subplots()
    width = BAR_SPAN / len(runs)
    for number, run in enumerate(runs):
        places = [index + number * width for index in range(len(run.tiers))]
        shares = [tier.good / tier.offered if tier.offered else 0 for tier in run.tiers]
        axes.bar(places, shares, width=width, label=run.policy)
    axes.set_xticks(
        [index + BAR_SPAN / 2 - width / 2 for index in range(len(runs[0].tiers))],
        [tier.tier for tier in runs[0].tiers],
    )
    axes.set_ylabel("whole and in time, share of offered")
    axes.set_ylim(0, 1)
    axes.legend()
    figure.savefig(path, dpi=PLOT_DPI)
    pyplot.close(figure)
