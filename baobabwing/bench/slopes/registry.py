"""The measurements, in a registry that a decorator fills."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from baobabwing.bench.slopes.fitting import Slope

__all__ = ["measurement", "measurements"]

Measure = Callable[[], Iterable[Slope]]

_MEASUREMENTS: dict[str, Measure] = {}


def measurement(name: str) -> Callable[[Measure], Measure]:
    """Add a function that measures some slopes."""

    def register(measure: Measure) -> Measure:
        _MEASUREMENTS[name] = measure
        return measure

    return register


def measurements() -> dict[str, Measure]:
    """Return all measurements by name, in the order they were added."""
    return dict(_MEASUREMENTS)
