"""The burn report as one self-contained HTML page."""

from __future__ import annotations

from collections.abc import Sequence
from html import escape

from baobabwing.reports.burn import ALERT_RULES, WINDOWS_S, BurnReport, TierBurn
from baobabwing.reports.burn_text import (
    format_alert_rule,
    format_burn,
    format_causes,
    format_coverage,
    format_duration,
)
from baobabwing.reports.html_charts import Threshold, line_chart

__all__ = ["burn_html"]

STYLE = """
body { font: 14px/1.4 system-ui, sans-serif; margin: 2em; max-width: 60em; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { padding: .2em .7em; text-align: right; border-bottom: 1px solid #ccc; }
th:first-child, td:first-child { text-align: left; }
svg { width: 100%; max-width: 640px; font-size: 10px; }
.axis { stroke: #666; } .limit { stroke: #b00; stroke-dasharray: 4 3; }
.burn { fill: none; stroke: #06c; stroke-width: 1.5; }
.alert { color: #b00; font-weight: bold; } .none { color: #666; }
"""
THRESHOLDS = tuple(
    Threshold(value=rule.factor, label=f"{rule.severity} {rule.factor:g}")
    for rule in ALERT_RULES
)


def burn_html(report: BurnReport) -> str:
    """Return the report as an HTML page with tables and plots."""
    parts = (
        "<!doctype html>",
        '<html lang="en"><head><meta charset="utf-8">',
        f"<title>Service-level burn</title><style>{STYLE}</style></head><body>",
        "<h1>Service-level burn</h1>",
        f"<p>{escape(format_coverage(report))}</p>",
        _alerts(report.tiers),
        "<h2>Error budgets</h2>",
        _budgets(report.tiers),
        "<h2>Burn rates</h2>",
        _windows(report.tiers),
        *(_chart(tier) for tier in report.tiers if tier.total),
        "<h2>Wasted prefill</h2>",
        _prefill(report),
        "<h2>Alert thresholds</h2>",
        _rules(),
        "</body></html>",
    )
    return "\n".join(parts)


def _alerts(tiers: Sequence[TierBurn]) -> str:
    lines = [
        f'<p class="alert">{escape(tier.brand)} {escape(tier.tier)}:'
        f" {escape(format_alert_rule(alert.rule))}</p>"
        for tier in tiers
        for alert in tier.alerts
        if alert.firing
    ]
    return "\n".join(lines) or "<p>No alert.</p>"


def _budgets(tiers: Sequence[TierBurn]) -> str:
    header = ("brand", "tier", "objective", "answers", "good", "budget left", "causes")
    rows = [
        (
            tier.brand,
            tier.tier,
            f"{tier.objective:.2%}",
            f"{tier.total:.0f}",
            f"{tier.good / tier.total:.2%}" if tier.total else "",
            f"{tier.budget_left:.1%}",
            format_causes(tier),
        )
        for tier in tiers
    ]
    return _table(header, rows)


def _windows(tiers: Sequence[TierBurn]) -> str:
    header = ["brand", "tier", *(format_duration(window_s) for window_s in WINDOWS_S)]
    rows = [
        [tier.brand, tier.tier, *(format_burn(window.burn) for window in tier.windows)]
        for tier in tiers
    ]
    return _table(header, rows)


def _chart(tier: TierBurn) -> str:
    points = [(point.at_s, point.burn) for point in tier.history]
    title = f"Burn rate of {tier.brand}, {tier.tier}"
    chart = line_chart(points, title=title, thresholds=THRESHOLDS)
    return f"<h3>{escape(title)}</h3>\n{chart}"


def _prefill(report: BurnReport) -> str:
    header = ("brand", "prefill tokens", "wasted", "share", "cost", "reasons")
    rows = [
        (
            brand.brand,
            f"{brand.tokens:.0f}",
            f"{brand.wasted:.0f}",
            f"{brand.wasted / brand.tokens:.2%}" if brand.tokens else "",
            f"{brand.cost:.4f}",
            format_causes(brand),
        )
        for brand in report.brands
    ]
    return _table(header, rows)


def _rules() -> str:
    items = "".join(
        f"<li>{escape(format_alert_rule(rule))}</li>" for rule in ALERT_RULES
    )
    return (
        f"<ul>{items}</ul><p>Both windows must exceed the factor, after"
        ' <cite>The Site Reliability Workbook</cite>, chapter 5, "Alerting on SLOs".'
        "</p>"
    )


def _table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    top = "".join(f"<th>{escape(cell)}</th>" for cell in header)
    body = "\n".join(
        "<tr>" + "".join(f"<td>{escape(cell)}</td>" for cell in row) + "</tr>"
        for row in rows
    )
    return f"<table><tr>{top}</tr>\n{body}</table>"
