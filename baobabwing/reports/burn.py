"""Burn rates: how fast brands and tiers consume their error budgets.

The alerts use the multiwindow, multi-burn-rate method of *The Site Reliability
Workbook*, chapter 5, "Alerting on SLOs": an alert fires while the burn rates over
its long and its short window both exceed its factor. The long window prevents
alerts for short disturbances; the short window resets the alert soon after a
disturbance ends.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from baobabwing.reports.burn_samples import (
    ANSWERS,
    PREFILL,
    WASTED,
    Samples,
    Series,
)
from baobabwing.settings.configuration import Configuration

__all__ = [
    "ALERT_RULES",
    "WINDOWS_S",
    "AlertRule",
    "AlertState",
    "BrandPrefill",
    "BurnPoint",
    "BurnReport",
    "Cause",
    "TierBurn",
    "WindowBurn",
    "build_report",
    "burn_rate",
]

MINUTE_S = 60.0
HOUR_S = 60.0 * MINUTE_S
DAY_S = 24.0 * HOUR_S
GOOD_OUTCOME = "whole_in_time"
# Outcomes caused by the caller, which count neither as good nor as bad.
UNCOUNTED_OUTCOMES = frozenset({"cancelled", "refused"})
TOKENS_PER_MILLION = 1_000_000.0
MAX_HISTORY_POINTS = 240


@dataclass(frozen=True, kw_only=True)
class AlertRule:
    """A pair of windows and the burn rate above which the rule alerts.

    :param severity: ``page`` or ``ticket``.
    :param factor: burn rate that both windows must exceed.
    :param long_s: length of the long window.
    :param short_s: length of the short window.
    """

    severity: str
    factor: float
    long_s: float
    short_s: float


ALERT_RULES = (
    AlertRule(severity="page", factor=14.4, long_s=HOUR_S, short_s=5 * MINUTE_S),
    AlertRule(severity="page", factor=6.0, long_s=6 * HOUR_S, short_s=30 * MINUTE_S),
    AlertRule(severity="ticket", factor=3.0, long_s=DAY_S, short_s=2 * HOUR_S),
    AlertRule(severity="ticket", factor=1.0, long_s=3 * DAY_S, short_s=6 * HOUR_S),
)
WINDOWS_S = tuple(
    sorted({window for rule in ALERT_RULES for window in (rule.short_s, rule.long_s)})
)


@dataclass(frozen=True, kw_only=True)
class Cause:
    """Number of bad answers with one outcome, or of tokens wasted for one reason.

    :param outcome: outcome of the answers, or reason of the waste.
    """

    outcome: str
    count: float


@dataclass(frozen=True, kw_only=True)
class WindowBurn:
    """Burn rate over a window that ends with the newest sample.

    :param covered_s: the part of the window that the samples span.
    :param total: answers in the window that count towards the objective.
    :param bad: answers among them that were not complete within the deadline.
    :param burn: burn rate; at 1 the budget is used up exactly at the end of its
        period. ``None`` if there were no answers.
    """

    window_s: float
    covered_s: float
    total: float
    bad: float
    burn: float | None


@dataclass(frozen=True, kw_only=True)
class AlertState:
    """An alert rule and whether it fires."""

    rule: AlertRule
    firing: bool


@dataclass(frozen=True, kw_only=True)
class BurnPoint:
    """Burn rate between the previous plotted sample time and ``at_s``."""

    at_s: float
    burn: float


@dataclass(frozen=True, kw_only=True)
class TierBurn:
    """Error budget and burn rates of one tier of one brand.

    :param objective: share of answers that must be good.
    :param total: answers in the budget period that count towards the objective.
    :param good: answers among them that were complete within the deadline.
    :param budget_left: remaining share of the budget; negative if overspent.
    :param causes: bad answers by outcome, most frequent first.
    :param history: burn rates over time, for plots.
    """

    brand: str
    tier: str
    objective: float
    total: float
    good: float
    budget_left: float
    causes: tuple[Cause, ...]
    windows: tuple[WindowBurn, ...]
    alerts: tuple[AlertState, ...]
    history: tuple[BurnPoint, ...]


@dataclass(frozen=True, kw_only=True)
class BrandPrefill:
    """Prefill tokens of a brand in the budget period, and how many were wasted.

    :param tokens: prompt tokens of dispatched requests.
    :param wasted: prompt tokens of requests whose work was lost.
    :param reasons: wasted tokens by reason, largest first.
    :param cost: cost of the wasted tokens at the brand's price per million.
    """

    brand: str
    tokens: float
    wasted: float
    reasons: tuple[Cause, ...]
    cost: float


@dataclass(frozen=True, kw_only=True)
class BurnReport:
    """Burn report for all brands and tiers.

    :param at_s: time of the newest sample, in seconds since 1970.
    :param covered_s: time span of the samples; 0 if there is one sample per node, in
        which case all counts are since the nodes started.
    :param period_s: length of the error budget period.
    """

    at_s: float
    covered_s: float
    period_s: float
    tiers: tuple[TierBurn, ...]
    brands: tuple[BrandPrefill, ...]


def build_report(
    samples: Samples, cfg: Configuration, *, period_s: float
) -> BurnReport:
    """Compute the report from counters and the configured objectives.

    :param period_s: length of the error budget period.
    :raises ValueError: if there are no samples.
    """
    if not samples:
        raise ValueError("no samples")
    at_s = samples.last_at_s
    period_increase = samples.increase(at_s - period_s, at_s)
    counts = (
        period_increase.values if period_increase.covered_s else samples.since_start()
    )
    windows = {
        window_s: samples.increase(at_s - window_s, at_s) for window_s in WINDOWS_S
    }
    increases = _increases_between_samples(samples, at_s - period_s)
    tiers = []
    for brand in cfg.brands:
        for tier in sorted(cfg.tiers, key=lambda item: item.rank):
            burns = tuple(
                _window_burn(
                    window_s,
                    increase.covered_s,
                    increase.values,
                    brand.name,
                    tier.name,
                    tier.objective,
                )
                for window_s, increase in windows.items()
            )
            tiers.append(
                _tier_burn(
                    brand.name, tier.name, tier.objective, counts, burns, increases
                )
            )
    return BurnReport(
        at_s=at_s,
        covered_s=period_increase.covered_s,
        period_s=period_s,
        tiers=tuple(tiers),
        brands=tuple(
            _brand_prefill(brand.name, brand.prefill_cost_per_million, counts)
            for brand in cfg.brands
        ),
    )


def burn_rate(*, bad: float, total: float, objective: float) -> float | None:
    """Return the share of bad answers divided by the share that the objective allows.

    >>> round(burn_rate(bad=2, total=100, objective=0.99), 6)
    2.0

    :returns: ``None`` if there were no answers; infinity if there are bad answers
        and the objective allows none.
    """
    if not total:
        return None
    allowed = 1.0 - objective
    if allowed <= 0.0:
        return math.inf if bad else 0.0
    return bad / total / allowed


def _tier_burn(
    brand: str,
    tier: str,
    objective: float,
    counts: Mapping[Series, float],
    windows: tuple[WindowBurn, ...],
    increases: Sequence[tuple[float, Counter[Series]]],
) -> TierBurn:
    total, good = _count_answers(counts, brand, tier)
    spent_share = burn_rate(bad=total - good, total=total, objective=objective)
    history = [
        (at_s, _tier_burn_rate(values, brand, tier, objective))
        for at_s, values in increases
    ]
    return TierBurn(
        brand=brand,
        tier=tier,
        objective=objective,
        total=total,
        good=good,
        budget_left=1.0 - (spent_share or 0.0),
        causes=_counts_by_detail(counts, ANSWERS, brand, tier),
        windows=windows,
        alerts=_alerts(windows),
        history=tuple(
            BurnPoint(at_s=at_s, burn=burn)
            for at_s, burn in history
            if burn is not None and math.isfinite(burn)
        ),
    )


def _window_burn(
    window_s: float,
    covered_s: float,
    values: Mapping[Series, float],
    brand: str,
    tier: str,
    objective: float,
) -> WindowBurn:
    total, good = _count_answers(values, brand, tier)
    return WindowBurn(
        window_s=window_s,
        covered_s=min(window_s, covered_s),
        total=total,
        bad=total - good,
        burn=burn_rate(bad=total - good, total=total, objective=objective),
    )


def _tier_burn_rate(
    values: Mapping[Series, float], brand: str, tier: str, objective: float
) -> float | None:
    total, good = _count_answers(values, brand, tier)
    return burn_rate(bad=total - good, total=total, objective=objective)


def _alerts(windows: Sequence[WindowBurn]) -> tuple[AlertState, ...]:
    burns = {window.window_s: window.burn or 0.0 for window in windows}
    return tuple(
        AlertState(
            rule=rule,
            firing=burns[rule.long_s] > rule.factor
            and burns[rule.short_s] > rule.factor,
        )
        for rule in ALERT_RULES
    )


def _count_answers(
    values: Mapping[Series, float], brand: str, tier: str
) -> tuple[float, float]:
    """Return the number of answers that count, and of the good ones among them."""
    total = good = 0.0
    for series, value in values.items():
        if (series.metric, series.brand, series.tier) != (ANSWERS, brand, tier):
            continue
        if series.detail in UNCOUNTED_OUTCOMES:
            continue
        total += value
        if series.detail == GOOD_OUTCOME:
            good += value
    return total, good


def _counts_by_detail(
    values: Mapping[Series, float], metric: str, brand: str, tier: str = ""
) -> tuple[Cause, ...]:
    causes = [
        Cause(outcome=series.detail, count=value)
        for series, value in values.items()
        if (series.metric, series.brand, series.tier) == (metric, brand, tier)
        and series.detail != GOOD_OUTCOME
        and value
    ]
    return tuple(sorted(causes, key=lambda cause: (-cause.count, cause.outcome)))


def _brand_prefill(
    brand: str, cost_per_million: float, values: Mapping[Series, float]
) -> BrandPrefill:
    reasons = _counts_by_detail(values, WASTED, brand)
    wasted = sum(cause.count for cause in reasons)
    return BrandPrefill(
        brand=brand,
        tokens=values.get(Series(metric=PREFILL, brand=brand), 0.0),
        wasted=wasted,
        reasons=reasons,
        cost=wasted / TOKENS_PER_MILLION * cost_per_million,
    )


def _increases_between_samples(
    samples: Samples, start_s: float
) -> list[tuple[float, Counter[Series]]]:
    """Return the increase between sample times, thinned out for plots."""
    times = [at_s for at_s in samples.times() if at_s >= start_s]
    stride = max(1, math.ceil(len(times) / MAX_HISTORY_POINTS))
    plotted_times = times[::stride]
    return [
        (end_s, samples.increase(begin_s, end_s).values)
        for begin_s, end_s in zip(plotted_times, plotted_times[1:], strict=False)
    ]
