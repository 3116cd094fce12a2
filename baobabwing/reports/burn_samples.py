"""Time series of node counters, scraped or read from a folder of saved scrapes."""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

import urllib3
from prometheus_client.parser import text_string_to_metric_families

from baobabwing.exceptions import BaobabwingError, PeerError

__all__ = [
    "ANSWERS",
    "PREFILL",
    "WASTED",
    "Increase",
    "Sample",
    "Samples",
    "Series",
    "parse_sample",
    "read_folder",
    "save",
    "scrape",
]

ANSWERS = "baobabwing_answers_total"
PREFILL = "baobabwing_prefill_tokens_total"
WASTED = "baobabwing_wasted_prefill_tokens_total"
SCRAPE_TIMEOUT_S = 5.0
OK_STATUS = 200
_FILE_NAME = re.compile(r"(?P<node>.+)@(?P<at>\d+(\.\d+)?)\.prom")


@dataclass(frozen=True, kw_only=True)
class Series:
    """Metric name and labels of one counter.

    :param detail: value of the ``outcome`` or ``reason`` label; empty if the metric
        has neither.
    """

    metric: str
    brand: str
    tier: str = ""
    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class Sample:
    """Counter values of one node at one time.

    :param at_s: time of the sample, in seconds since 1970.
    """

    node: str
    at_s: float
    values: dict[Series, float]


@dataclass(frozen=True, kw_only=True)
class Increase:
    """Increase of the counters of all nodes over an interval.

    :param covered_s: the longest part of the interval spanned by one node's samples.
    """

    covered_s: float
    values: Counter[Series]


class Samples:
    """Samples of all nodes, sorted by time for each node.

    :param samples: in any order.
    """

    def __init__(self, *, samples: Iterable[Sample]) -> None:
        self._by_node: dict[str, list[Sample]] = defaultdict(list)
        for sample in sorted(samples, key=lambda item: item.at_s):
            self._by_node[sample.node].append(sample)

    def __bool__(self) -> bool:
        return bool(self._by_node)

    @property
    def last_at_s(self) -> float:
        """Time of the newest sample, in seconds since 1970."""
        return max(node_samples[-1].at_s for node_samples in self._by_node.values())

    def times(self) -> list[float]:
        """Return the distinct times of all samples, in ascending order."""
        return sorted(
            {
                sample.at_s
                for node_samples in self._by_node.values()
                for sample in node_samples
            }
        )

    def increase(self, start_s: float, end_s: float) -> Increase:
        """Return the increase of all counters between two times.

        The increase of a node starts at its newest sample at or before
        ``start_s``, or else at its first sample. Running time is linear in the
        number of samples.
        """
        values: Counter[Series] = Counter()
        covered_s = 0.0
        for node_samples in self._by_node.values():
            selected = _samples_between(node_samples, start_s, end_s)
            for before, after in zip(selected, selected[1:], strict=False):
                _add_increase(values, before, after)
            if selected:
                covered_s = max(covered_s, selected[-1].at_s - selected[0].at_s)
        return Increase(covered_s=covered_s, values=values)

    def since_start(self) -> Counter[Series]:
        """Return the totals of all counters since the nodes' first known starts.

        The first sample of a node counts in full, later ones by their increase.
        """
        values: Counter[Series] = Counter()
        for node_samples in self._by_node.values():
            values.update(node_samples[0].values)
            for before, after in zip(node_samples, node_samples[1:], strict=False):
                _add_increase(values, before, after)
        return values


def parse_sample(node: str, at_s: float, text: str) -> Sample:
    """Parse the counters of the report from a Prometheus text exposition.

    :raises BaobabwingError: if the text is not a valid exposition.
    """
    values: dict[Series, float] = {}
    try:
        for family in text_string_to_metric_families(text):
            for item in family.samples:
                if item.name in (ANSWERS, PREFILL, WASTED):
                    values[_series(item.name, item.labels)] = item.value
    except ValueError as exc:
        raise BaobabwingError(
            f"not a valid text exposition: {exc}", step="parse metrics", peer=node
        ) from exc
    return Sample(node=node, at_s=at_s, values=values)


def scrape(address: str) -> str:
    """Fetch the text exposition of a node.

    :raises PeerError: if the node does not return it.
    """
    http = urllib3.PoolManager(retries=False, timeout=SCRAPE_TIMEOUT_S)
    try:
        resp = http.request("GET", f"http://{address}/metrics")
    except urllib3.exceptions.HTTPError as exc:
        raise PeerError(
            f"cannot fetch metrics: {type(exc).__name__}", step="scrape", peer=address
        ) from exc
    if resp.status != OK_STATUS:
        raise PeerError(
            f"metrics request failed with status {resp.status}",
            step="scrape",
            peer=address,
        )
    return resp.data.decode("utf-8", "replace")


def save(folder: Path, node: str, at_s: float, text: str) -> Path:
    """Save a scrape as ``NODE@SECONDS.prom`` and return its path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{node}@{at_s:.3f}.prom"
    path.write_text(text, encoding="utf-8")
    return path


def read_folder(folder: Path) -> list[Sample]:
    """Read all saved scrapes of a folder, named ``NODE@SECONDS.prom``.

    :raises BaobabwingError: if a file has another name or is not a valid text
        exposition.
    """
    samples = []
    for path in sorted(folder.glob("*.prom")):
        match = _FILE_NAME.fullmatch(path.name)
        if match is None:
            raise BaobabwingError(
                f"{path.name} is not named NODE@SECONDS.prom", step="read samples"
            )
        text = path.read_text(encoding="utf-8")
        samples.append(parse_sample(match["node"], float(match["at"]), text))
    return samples


def _series(metric: str, labels: dict[str, str]) -> Series:
    return Series(
        metric=metric,
        brand=labels.get("brand", ""),
        tier=labels.get("tier", ""),
        detail=labels.get("outcome", "") or labels.get("reason", ""),
    )


def _samples_between(
    node_samples: Sequence[Sample], start_s: float, end_s: float
) -> list[Sample]:
    before = [sample for sample in node_samples if sample.at_s <= start_s]
    inside = [sample for sample in node_samples if start_s < sample.at_s <= end_s]
    return before[-1:] + inside


def _add_increase(values: Counter[Series], before: Sample, after: Sample) -> None:
    for series, value in after.values.items():
        earlier = before.values.get(series, 0.0)
        # A counter decreases only if its node restarted in between. The negative
        # difference would refund error budget that was already spent.
        values[series] += value - earlier if value >= earlier else value
