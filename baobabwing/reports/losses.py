"""What a load lost: by part of its score, and by cause of late and unserved requests.

The score of a load is the weighted sum of its parts, less its prices. Its losses add up
to what is missing to 1. The causes come from the log lines of the nodes, one line for
each request that was late or got no answer.
"""

from __future__ import annotations

import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from baobabwing.reports.tables import format_table

__all__ = ["Cause", "Losses", "ScoreLoss", "collect_causes", "render", "score_losses"]

_EVENT = "request_late_or_failed"
_IN_TIME = "in_time"
_EXAMPLES = 3
# What an attempt ended with, after its upstream and times.
_ATTEMPT = re.compile(r"predicted \S+ ms: (?:\w+: )?(.*)")
_NUMBERS = re.compile(r"\d+")


@dataclass(frozen=True, kw_only=True)
class ScoreLoss:
    """What a part or a price of a score takes off it."""

    name: str
    loss: float


@dataclass(frozen=True, kw_only=True)
class Cause:
    """Why a request was late or got no answer.

    :param outcome: ``late``, ``refused``, ``failed`` and the like.
    :param reason: why it got no further attempt; empty for late ones.
    :param attempts: how its attempts ended.
    """

    route: str
    outcome: str
    reason: str
    attempts: str


@dataclass(kw_only=True)
class Losses:
    """Requests that were late or unserved.

    :ivar by_cause: ids of the requests, by cause.
    :ivar by_organisation: number of requests by organisation and outcome.
    :ivar by_second: number of requests by second and outcome.
    """

    by_cause: dict[Cause, list[str]] = field(default_factory=lambda: defaultdict(list))
    by_organisation: Counter[tuple[str, str]] = field(default_factory=Counter)
    by_second: Counter[tuple[int, str]] = field(default_factory=Counter)


def score_losses(report: Mapping[str, Any]) -> list[ScoreLoss]:
    """Return what each part and each price of a score takes off it, the largest first.

    :param report: ``parts`` as name, weight and value, ``prices`` as name, amount and
        price.
    """
    parts = [
        ScoreLoss(name=name, loss=weight * (1.0 - value))
        for name, weight, value in report["parts"]
    ]
    prices = [
        ScoreLoss(name=f"price: {name}", loss=price)
        for name, _, price in report["prices"]
        if price > 0
    ]
    return sorted(parts + prices, key=lambda loss: loss.loss, reverse=True)


def collect_causes(lines: Iterable[str]) -> Losses:
    """Collect the late and unserved requests from the log lines of nodes.

    :param lines: JSON objects, each possibly after a time in seconds and other words;
        lines of other events are ignored.
    """
    losses = Losses()
    for line in lines:
        prefix, brace, rest = line.partition("{")
        if _EVENT not in rest:
            continue
        try:
            entry = json.loads(brace + rest)
        except ValueError:
            continue
        if entry.get("event") == _EVENT and entry["outcome"] != _IN_TIME:
            _add(losses, entry, _second(prefix, entry))
    return losses


def render(losses: Losses, scores: list[ScoreLoss]) -> str:
    """Return the losses as text: by part, cause, organisation and second."""
    sections = [_render_scores(scores), _render_causes(losses)]
    sections.append(_render_counts("organisation", losses.by_organisation))
    sections.append(_render_counts("second", losses.by_second))
    return "\n\n".join(section for section in sections if section)


def _add(losses: Losses, entry: Mapping[str, Any], second: int) -> None:
    outcome = entry["outcome"]
    cause = Cause(
        route=entry["route"],
        outcome=outcome,
        reason=_without_details(entry.get("reason", "")),
        attempts=", ".join(_attempt_end(attempt) for attempt in entry["tries"]),
    )
    losses.by_cause[cause].append(entry["request"])
    losses.by_organisation[entry.get("organisation", ""), outcome] += 1
    losses.by_second[second, outcome] += 1


def _second(prefix: str, entry: Mapping[str, Any]) -> int:
    """Return the second of a line: from its prefix, or else from the node's clock."""
    words = prefix.split()
    try:
        return int(float(words[0]))
    except (IndexError, ValueError):
        return int(entry.get("steady_s", 0.0))


def _attempt_end(attempt: str) -> str:
    found = _ATTEMPT.search(attempt)
    return _without_details(found[1] if found else attempt)


def _without_details(text: str) -> str:
    return _NUMBERS.sub("#", text.partition("(")[0]).strip()


def _render_scores(scores: list[ScoreLoss]) -> str:
    if not scores:
        return ""
    rows = [(loss.name, f"{loss.loss:.4f}") for loss in scores]
    rows.append(("all", f"{sum(loss.loss for loss in scores):.4f}"))
    return format_table(("lost by", "loss"), rows)


def _render_causes(losses: Losses) -> str:
    causes = sorted(losses.by_cause.items(), key=lambda item: -len(item[1]))
    rows = [
        (
            cause.route,
            str(len(requests)),
            cause.outcome,
            cause.reason,
            cause.attempts,
            " ".join(requests[:_EXAMPLES]),
        )
        for cause, requests in causes
    ]
    head = ("route", "requests", "outcome", "reason", "attempts", "examples")
    return format_table(head, rows)


def _render_counts(name: str, counts: Counter[tuple[Any, str]]) -> str:
    outcomes = sorted({outcome for _, outcome in counts})
    rows = [
        (str(key), *(str(counts[key, outcome]) for outcome in outcomes))
        for key in sorted({key for key, _ in counts})
    ]
    return format_table((name, *outcomes), rows)
