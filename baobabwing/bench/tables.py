"""Formatting of the metrics of a run as text tables."""

from __future__ import annotations

from collections.abc import Sequence

from baobabwing.bench.figures import RunFigures, TierFigures
from baobabwing.reports.tables import format_table

__all__ = ["figures_text"]


def figures_text(figures: RunFigures) -> str:
    """Format the metrics of a run as text."""
    fault = f", fault {figures.fault}" if figures.fault else ""
    parts = [
        f"policy {figures.policy}{fault}, {figures.seconds:g} s of load",
        _tier_table(figures.tiers),
        _time_table(figures.tiers),
        *_summary(figures),
    ]
    return "\n\n".join(parts)


def _tier_table(tiers: Sequence[TierFigures]) -> str:
    header = (
        "tier",
        "offered",
        "whole, in time",
        "share",
        "late",
        "shed",
        "unknown",
        "wrong",
        "error",
    )
    rows = [
        (
            tier.tier,
            str(tier.offered),
            str(tier.good),
            _percentage(tier.good, tier.offered),
            str(tier.late),
            str(tier.shed),
            str(tier.unknown),
            str(tier.wrong),
            str(tier.error),
        )
        for tier in tiers
    ]
    return format_table(header, rows)


def _time_table(tiers: Sequence[TierFigures]) -> str:
    header = [
        "times in ms: p50/p95/p99",
        "first token",
        "between tokens",
        "whole answer",
    ]
    rows = [
        [
            tier.tier,
            *(
                f"{quantiles.p50:.0f}/{quantiles.p95:.0f}/{quantiles.p99:.0f}"
                if quantiles.count
                else "-"
                for quantiles in (tier.first_token, tier.between_tokens, tier.whole)
            ),
        ]
        for tier in tiers
    ]
    return format_table(header, rows)


def _summary(figures: RunFigures) -> list[str]:
    prefill = figures.prefill
    safety = figures.safety
    inversions = figures.inversions
    capacity = figures.capacity
    codes = ", ".join(f"{code} {count}" for code, count in figures.codes.items())
    return [
        f"wasted prefill: {prefill.wasted} of {prefill.total} tokens"
        f" ({_percentage(prefill.wasted, prefill.total)}):"
        f" dropped {prefill.dropped}, duplicated {prefill.duplicated},"
        f" recomputed {prefill.recomputed}; for late answers {prefill.late}",
        f"good work {capacity.good:.2f} of at most {capacity.limit:.2f} pool-seconds"
        f" ({capacity.share:.1%}); offered {capacity.offered:.2f};"
        f" goodput weighted by tier {figures.weighted_goodput:.1%},"
        f" of engines alone {figures.engine_goodput:.1%}",
        f"tier inversions: {inversions.inverted} of {inversions.sheds} sheds;"
        f" executed twice: {safety.executed_twice};"
        f' "not run" but ran: {safety.not_run_but_ran};'
        f" wrong text: {safety.wrong_text};"
        f" executions of no request: {safety.unmatched}",
        f"processor time of nodes a request: {figures.node_ms_per_request:.2f} ms;"
        f" load client late by p99 {figures.sending_lag.p99:.1f} ms",
        f"asked again after a break: {figures.asked_again},"
        f" then whole: {figures.recovered}",
        f"not whole: {codes or 'none'}",
    ]


def _percentage(part: int, whole: int) -> str:
    return f"{part / whole:.1%}" if whole else "-"
