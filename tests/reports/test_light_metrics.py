"""The lazily rendered metrics match those of ``prometheus_client``."""

import subprocess
import sys

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from baobabwing.reports.light_metrics import (
    LightCounter,
    LightGauge,
    LightHistogram,
    LightMetricSet,
)

BOUNDS = (0.1, 0.5, 2.0)


class LightMetrics(LightMetricSet):
    def __init__(self):
        self.ends = LightCounter(
            name="ends_total", meaning="Ends.", label_names=("how",)
        )
        self.wait = LightHistogram(
            name="wait_seconds", meaning="Waits.", label_names=("who",), bounds=BOUNDS
        )
        self.open = LightGauge(name="open", meaning="Open now.")


def test_exposition_matches_the_library():
    registry = CollectorRegistry()
    light = LightMetrics()
    ends = Counter("ends_total", "Ends.", ("how",), registry=registry)
    wait = Histogram(
        "wait_seconds", "Waits.", ("who",), buckets=BOUNDS, registry=registry
    )
    gauge = Gauge("open", "Open now.", registry=registry)
    for counter in (ends, light.ends):
        counter.labels("late").inc()
        counter.labels("late").inc()
        counter.labels('a "b"').inc(3)
    for histogram in (wait, light.wait):
        for value in (0.05, 0.1, 0.3, 0.5, 1.9, 7.0):
            histogram.labels("x").observe(value)
    for open_gauge in (gauge, light.open):
        open_gauge.set(4)

    def lines(text):
        return [line for line in text.decode().splitlines() if "_created" not in line]

    assert lines(light.render()) == lines(generate_latest(registry))


def test_gateway_starts_without_importing_the_library():
    """A starting gateway must not import ``prometheus_client``.

    The import took a quarter of the CPU time of a start, although it is needed only
    when metrics are collected. After a power loss of all hosts, callers wait for the
    first gateway that has started.
    """
    loaded = "sys.exit('prometheus_client' in sys.modules)"
    code = f"import sys, baobabwing.gateway.gateway; {loaded}"
    assert subprocess.run([sys.executable, "-c", code]).returncode == 0
