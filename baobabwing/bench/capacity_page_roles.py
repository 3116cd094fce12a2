"""Tables of roles: what they keep, send and spend, against the bounds."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from math import ceil

from baobabwing.bench.capacity_page_registry import Measured, table
from baobabwing.bench.capacity_page_text import markdown_table, short
from baobabwing.bench.capacity_page_workings import (
    Flow,
    State,
    asked_slices,
    flows,
    home_flows,
    open_per_node,
    organisations_per_entry,
    states,
)
from baobabwing.bench.slopes.size import TARGET
from baobabwing.settings.schema import NodeLimits

__all__: list[str] = []

# Of 207 cells over 460 equal nodes by rendezvous hashing, on the busiest node.
MOST_CELLS = 3
MEGABYTE = 1e6
PERCENT = 100.0
MICROSECONDS = 1e6
MS_PER_S = 1e3
THREADS = NodeLimits().worker_threads


@table("load")
def _load(measured: Measured) -> list[str]:
    rows = [
        ("requests a second an entry owns", TARGET.node_requests_per_s),
        ("tokens a second an entry relays", TARGET.node_tokens_per_s),
        ("requests open at an entry (tokens/s x 55 ms / nodes)", open_per_node()),
        ("cells (9 pools of 733 upstreams, 32 a cell)", TARGET.cells),
        ("nodes a cell", 1 / TARGET.cells_per_node),
        ("requests a second a cell orders", TARGET.cell_requests_per_s),
        ("permits of a cell in use", TARGET.open_requests / TARGET.cells),
        ("organisations with requests open at an entry", organisations_per_entry()),
        ("seconds between two configuration changes", TARGET.change_every_s),
        ("changes of the view a second, on an ordinary day", TARGET.views_per_s),
    ]
    return markdown_table(("at the size", "is"), [(text, short(n)) for text, n in rows])


@table("state")
def _state(measured: Measured) -> list[str]:
    rows = [
        (
            one.role,
            one.item,
            short(one.count),
            one.reason,
            short(one.each),
            short(one.total / MEGABYTE),
            "yes" if one.control else "no",
            f"`{one.module}`",
        )
        for one in states(measured.slopes)
    ]
    head = (
        "role",
        "item",
        "a node",
        "from",
        "bytes each",
        "MB",
        "control",
        "carried by",
    )
    return markdown_table(head, rows)


@table("flows")
def _flows(measured: Measured) -> list[str]:
    return _flow_table([*flows(measured.slopes), asked_slices(measured.slopes)])


@table("home")
def _home(measured: Measured) -> list[str]:
    return _flow_table(home_flows(measured.slopes))


@table("budget")
def _budget(measured: Measured) -> list[str]:
    mean, home = flows(measured.slopes), home_flows(measured.slopes)
    rows = []
    for label, cells in (
        ("mean", TARGET.cells_per_node),
        ("home of one cell", 1.0),
        (f"home of {MOST_CELLS} cells, the busiest", float(MOST_CELLS)),
    ):
        for counted in (False, True):
            for platform in (False, True):
                rows.append(_budget_row(label, cells, mean, home, counted, platform))
    head = (
        "node",
        "permits counted",
        "platform and upstreams counted",
        "KB/s",
        "times 4.1 KB/s",
        "core %",
        "times 4.1%",
    )
    return markdown_table(head, rows)


@table("memory")
def _memory(measured: Measured) -> list[str]:
    kept = states(measured.slopes)
    base = measured.runs[0].resident_bytes
    cells = [one for one in kept if one.role == "home of a cell"]
    rest = [one for one in kept if one.control and one.role != "home of a cell"]
    data = [one for one in kept if not one.control]
    rows = []
    for label, count in (("of no cell", 0), ("of one cell", 1), ("of 3 cells", 3)):
        control = _bytes_of(rest) + count * _bytes_of(cells)
        rows.append(
            (
                f"home {label}",
                short(control / MEGABYTE),
                short(control / TARGET.memory_bytes),
                short(_bytes_of(data) / MEGABYTE),
                short((control + _bytes_of(data) + base) / MEGABYTE),
            )
        )
    head = (
        "node",
        "control MB",
        "of 128 MB",
        "requests and relay MB",
        f"with {base / MEGABYTE:.0f} MB of a node of the bench, MB",
    )
    return markdown_table(head, rows)


@table("relay")
def _relay(measured: Measured) -> list[str]:
    relay = measured.slopes["core: relay"]
    core = relay.at(TARGET.node_tokens_per_s) / MICROSECONDS
    request_ms = [run.request_ms for run in measured.runs]
    mean_ms = sum(request_ms) / len(request_ms)
    calls = TARGET.node_requests_per_s * mean_ms / MS_PER_S
    rows = [
        ("relay: us a token, by the line", short(relay.slope)),
        ("relay: cores at 10,000 tokens/s", short(core)),
        ("processes a host for the relay alone, half of a lock each", ceil(core / 0.5)),
        ("whole node: ms a request of the bench, tokens included", short(mean_ms)),
        ("whole node: cores at 21.7 such requests/s", short(calls)),
        ("threads of an entry with its open streams", short(open_per_node())),
        ("threads set by default", THREADS),
        (
            "memory of so many threads with a stream each, MB",
            short(measured.slopes["memory: relay"].slope * THREADS / MEGABYTE),
        ),
    ]
    return markdown_table(
        ("what", "figure"), [(text, str(value)) for text, value in rows]
    )


@table("end-to-end")
def _end_to_end(measured: Measured) -> list[str]:
    rows = [
        (
            str(run.nodes),
            f"{run.whole}/{run.requests}",
            str(run.tokens),
            f"{run.load_s:.1f}",
            short(run.request_ms),
            short(run.request_bytes),
            short(PERCENT * run.idle_core / run.nodes),
            short(run.idle_bytes_per_s / run.nodes),
            short(run.resident_bytes / MEGABYTE),
            short(run.threads),
        )
        for run in measured.runs
    ]
    head = (
        "nodes",
        "whole",
        "tokens",
        "s",
        "ms a request",
        "control bytes a request",
        "core % a node, no load",
        "control B/s a node, no load",
        "MB a node",
        "threads a node",
    )
    return markdown_table(head, rows)


def _flow_table(found: Iterable[Flow]) -> list[str]:
    rows = [
        (
            one.role,
            one.what,
            short(one.per_s),
            one.reason,
            short(one.each_bytes),
            short(one.bytes_per_s / 1e3),
            short(one.each_us),
            short(PERCENT * one.core_share),
            one.slopes,
            f"`{one.module}`",
        )
        for one in found
    ]
    head = (
        "role",
        "what",
        "a second",
        "from",
        "bytes each",
        "KB/s",
        "us each",
        "core %",
        "slopes",
        "carried by",
    )
    return markdown_table(head, rows)


def _budget_row(
    label: str,
    cells: float,
    mean: Sequence[Flow],
    home: Sequence[Flow],
    counted: bool,
    platform: bool,
) -> tuple[str, ...]:
    """Return a node's sum; a mean node is home of part of a cell already."""
    more = cells - TARGET.cells_per_node

    def taken(one: Flow) -> bool:
        return (counted or not one.on_request) and (platform or not one.platform)

    def together(value: Callable[[Flow], float]) -> float:
        own = sum(value(one) for one in mean if taken(one))
        return own + more * sum(value(one) for one in home if taken(one))

    moved = together(lambda one: one.bytes_per_s)
    core = together(lambda one: one.core_share)
    return (
        label,
        "yes" if counted else "no",
        "yes" if platform else "no",
        short(moved / 1e3),
        short(moved / TARGET.control_bytes_per_s),
        short(PERCENT * core),
        short(core / TARGET.core_share),
    )


def _bytes_of(kept: Iterable[State]) -> float:
    return sum(one.total for one in kept)
