"""Tables of what does not fit, and of the slopes that all rests on."""

from __future__ import annotations

from dataclasses import dataclass

from baobabwing.bench.capacity_page_registry import Measured, table
from baobabwing.bench.capacity_page_text import markdown_table, short
from baobabwing.bench.capacity_page_workings import (
    Flow,
    asked_slices,
    flows,
    home_flows,
    organisations_per_entry,
)
from baobabwing.bench.slopes.size import TARGET
from baobabwing.settings.schema import NodeLimits

__all__: list[str] = []

# Zones of a region are about a millisecond apart one way.
ROUND_TRIP_S = 0.002
PERCENT = 100.0
MICROSECONDS = 1e6
THREADS = NodeLimits().worker_threads


@dataclass(frozen=True, kw_only=True)
class _Misfit:
    """Something that takes more than its part of what a node may spend."""

    label: str
    flow: Flow
    mend: str


@table("misfits")
def _misfits(measured: Measured) -> list[str]:
    by_name = {one.what: one for one in flows(measured.slopes)}
    home = {one.what: one for one in home_flows(measured.slopes)}
    relay = measured.at("core: relay", TARGET.node_tokens_per_s) / MICROSECONDS
    round_s = organisations_per_entry() * ROUND_TRIP_S
    lost_open = TARGET.open_requests / (TARGET.nodes * (1 - 1 / TARGET.zones))
    found = [
        _Misfit(
            label="slice, open requests bounded",
            flow=by_name["slice, open requests bounded"],
            mend=(
                "An entry keeps the places of its open requests leased, one "
                f"organisation after the other: at {ROUND_TRIP_S * 1e3:.0f} ms there "
                f"and back a round takes {round_s:.1f} s or more. Bring an "
                "organisation's callers to few entries by the seed of address answers; "
                "lease for longer where the organisation is far from its bound; ask "
                "for all slices of one home in one message."
            ),
        ),
        _Misfit(
            label="slice, rates bounded only (not in the sums)",
            flow=asked_slices(measured.slopes),
            mend=(
                "Nearly every request asks. As above, and let small organisations go "
                "unasked until the home says that they are near their bound."
            ),
        ),
        _Misfit(
            label="permits",
            flow=_sum(by_name["permit"], by_name["return of a permit"]),
            mend=(
                "If it counts as control no message of its own fits: 4 KB/s is 188 "
                "bytes a request. Send a caller to the home of its cell, so that entry "
                "and home are one process, or lease permits ahead; send the first "
                "digests only; let a return ride on the next request."
            ),
        ),
        _Misfit(
            label="report of permits",
            flow=by_name["report of permits"],
            mend=(
                "All permits are compared each 5 s. Compare a digest and a count, and "
                "ask for the items only where they differ."
            ),
        ),
        _Misfit(
            label="configuration from a peer",
            flow=by_name["configuration from a peer"],
            mend=(
                "The change alone goes round; what is left is the index of all "
                "callers and upstreams, and the look at all cells, made anew for each."
            ),
        ),
        _Misfit(
            label="look for a configuration",
            flow=by_name["look for a configuration"],
            mend=(
                "One look in so many still reads the whole row, in case a publisher "
                "died between its two writes. Peers could be asked for it instead."
            ),
        ),
        _Misfit(
            label="list of hosts",
            flow=by_name["list of hosts"],
            mend="Read it only until joined, then seldom.",
        ),
        _Misfit(
            label="polling, home of one cell",
            flow=home["polling of upstreams"],
            mend=(
                "A connection and a thread for each upstream, asked thrice a second. "
                "Have load reports ride on answers; poll only upstreams with no answer "
                "lately."
            ),
        ),
        _Misfit(
            label="membership with changes",
            flow=by_name["probes and news, with a change each 16 s"],
            mend="Fits, alone; it does not grow with the fleet.",
        ),
    ]
    lines = markdown_table(
        (
            "what",
            "KB/s",
            "times 4.1 KB/s",
            "core %",
            "times 4.1%",
            "what would mend it",
        ),
        [_misfit_row(one) for one in sorted(found, key=_rate, reverse=True)],
    )
    return [
        *lines,
        "",
        f"The relay needs {relay:.2f} cores for 10,000 tokens/s, where one interpreter "
        "lock gives one: several node processes share a host, or there are more hosts. "
        f"With a zone lost an entry has {lost_open:.0f} open requests, of "
        f"{THREADS} threads by default.",
    ]


def _rate(one: _Misfit) -> float:
    return one.flow.bytes_per_s


def _misfit_row(one: _Misfit) -> tuple[str, ...]:
    flow = one.flow
    return (
        one.label,
        short(flow.bytes_per_s / 1e3),
        short(flow.bytes_per_s / TARGET.control_bytes_per_s),
        short(PERCENT * flow.core_share),
        short(flow.core_share / TARGET.core_share),
        one.mend,
    )


def _sum(first: Flow, second: Flow) -> Flow:
    """Return two flows of the same rate as one."""
    return Flow(
        role=first.role,
        what=first.what,
        per_s=first.per_s,
        reason=first.reason,
        each_bytes=first.each_bytes + second.each_bytes,
        each_us=first.each_us + second.each_us,
        slopes=first.slopes,
        module=first.module,
    )


@table("slopes")
def _slopes(measured: Measured) -> list[str]:
    rows = [
        (
            one.name,
            one.per,
            f"{short(one.slope)} {one.unit}" if len(one.points) > 1 else "one size",
            f"{short(one.fixed)} {one.unit}",
            ", ".join(short(x) for x, _ in one.points),
            f"{PERCENT * one.worst:.0f}%" if len(one.points) > 1 else "",
        )
        for _, one in sorted(measured.slopes.items())
    ]
    head = ("measured", "per", "slope", "fixed", "sizes", "furthest point")
    return markdown_table(head, rows)


@table("commands")
def _commands(measured: Measured) -> list[str]:
    rows = [
        (f"`docs/capacity/{name}.json`", f"`{command}`")
        for name, command in sorted(measured.commands.items())
    ]
    return markdown_table(("measured input", "command that writes it"), rows)
