"""The burn report as text for a terminal and as a JSON document."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import asdict
from typing import Any

from baobabwing.reports.burn import (
    WINDOWS_S,
    AlertRule,
    BrandPrefill,
    BurnReport,
    TierBurn,
)
from baobabwing.reports.tables import format_table

__all__ = [
    "format_alert_rule",
    "burn_document",
    "burn_text",
    "format_coverage",
    "format_duration",
    "format_burn",
    "format_causes",
]

DURATION_UNITS = (("d", 86_400.0), ("h", 3_600.0), ("m", 60.0), ("s", 1.0))
NO_VALUE = "-"


def burn_text(report: BurnReport) -> str:
    """Return the report as plain text tables."""
    return "\n\n".join(
        (
            format_coverage(report),
            _budget_table(report.tiers),
            _window_table(report.tiers),
            _alert_lines(report.tiers),
            _prefill_table(report.brands),
        )
    )


def burn_document(report: BurnReport) -> dict[str, Any]:
    """Return the report as JSON values; infinity becomes ``"inf"`` or ``"-inf"``."""
    return _replace_infinities(asdict(report))


def format_coverage(report: BurnReport) -> str:
    """Return a sentence on the time span that the counts cover."""
    period = format_duration(report.period_s)
    if not report.covered_s:
        return f"one sample a node: counts since the nodes' starts; budget of {period}"
    span = format_duration(report.covered_s)
    return (
        f"samples span {span}, longer windows stand for that span; budget of {period}"
    )


def format_duration(seconds: float) -> str:
    """Return a duration in the largest unit that it reaches.

    >>> format_duration(7200)
    '2h'
    """
    for unit, size in DURATION_UNITS:
        if seconds >= size:
            return f"{seconds / size:.3g}{unit}"
    return f"{seconds:.3g}s"


def format_burn(burn: float | None) -> str:
    """Return a burn rate, or a dash where there were no answers."""
    if burn is None:
        return NO_VALUE
    return f"{burn:.2f}" if math.isfinite(burn) else "inf"


def format_causes(tier: TierBurn | BrandPrefill) -> str:
    """Return bad answers by outcome, or wasted tokens by reason."""
    causes = tier.causes if isinstance(tier, TierBurn) else tier.reasons
    return ", ".join(f"{cause.outcome} {cause.count:.0f}" for cause in causes)


def format_alert_rule(rule: AlertRule) -> str:
    """Return an alert rule as a sentence."""
    return (
        f"{rule.severity}: burn above {rule.factor:g} over"
        f" {format_duration(rule.long_s)} and {format_duration(rule.short_s)}"
    )


def _budget_table(tiers: Sequence[TierBurn]) -> str:
    header = ("brand", "tier", "objective", "answers", "good", "budget left", "causes")
    rows = [
        (
            tier.brand,
            tier.tier,
            f"{tier.objective:.2%}",
            f"{tier.total:.0f}",
            f"{tier.good / tier.total:.2%}" if tier.total else NO_VALUE,
            f"{tier.budget_left:.1%}",
            format_causes(tier) or NO_VALUE,
        )
        for tier in tiers
    ]
    return format_table(header, rows)


def _window_table(tiers: Sequence[TierBurn]) -> str:
    header = [
        "burn over",
        "tier",
        *(format_duration(window_s) for window_s in WINDOWS_S),
    ]
    rows = [
        [tier.brand, tier.tier, *(format_burn(window.burn) for window in tier.windows)]
        for tier in tiers
    ]
    return format_table(header, rows)


def _alert_lines(tiers: Sequence[TierBurn]) -> str:
    lines = [
        f"ALERT {tier.brand} {tier.tier}: {format_alert_rule(alert.rule)}"
        for tier in tiers
        for alert in tier.alerts
        if alert.firing
    ]
    return "\n".join(lines) or "no alert"


def _prefill_table(brands: Sequence[BrandPrefill]) -> str:
    header = ("brand", "prefill tokens", "wasted", "share", "cost", "reasons")
    rows = [
        (
            brand.brand,
            f"{brand.tokens:.0f}",
            f"{brand.wasted:.0f}",
            f"{brand.wasted / brand.tokens:.2%}" if brand.tokens else NO_VALUE,
            f"{brand.cost:.4f}",
            format_causes(brand) or NO_VALUE,
        )
        for brand in brands
    ]
    return format_table(header, rows)


def _replace_infinities(value: Any) -> Any:
    if isinstance(value, dict):
        return {name: _replace_infinities(item) for name, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [_replace_infinities(item) for item in value]
    if isinstance(value, float) and not math.isfinite(value):
        return "-inf" if value < 0 else "inf"
    return value
