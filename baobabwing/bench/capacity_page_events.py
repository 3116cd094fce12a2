"""Tables of the configuration, the table service and what happens seldom."""

from __future__ import annotations

from baobabwing.bench.capacity_page_registry import Measured, table
from baobabwing.bench.capacity_page_text import markdown_table, short
from baobabwing.bench.capacity_page_workings import permits_per_report
from baobabwing.bench.slopes.size import DAY_S, TARGET
from baobabwing.homes.cells import HOLD_S
from baobabwing.node.spread import (
    FLEET_LOOKS_PER_S,
    PEERS_TRIED,
    RETRY_PAUSE_S,
    WHOLE_LOOK_EVERY,
)

__all__: list[str] = []

MEGABYTE = 1e6
# The version before and the new one to the history, and the new one in its place.
PUBLISHING_WRITES = 3
PERCENT = 100.0
HOUR_S = 3_600.0
MICROSECONDS = 1e6
MS_PER_S = 1e3


@table("configuration")
def _configuration(measured: Measured) -> list[str]:
    per_change_ms = sum(
        measured.at(name, 1)
        for name in (
            "time: taking and noting a change",
            "time: index of a configuration",
            "time: putting a configuration in force, again",
        )
    )
    json_bytes = measured.at("bytes: configuration as JSON", 1)
    packed = measured.at("bytes: configuration deflated", 1)
    heard_s = measured.at("seconds: version known to all", TARGET.nodes)
    whole_ms = measured.at("time: inflating and checking a configuration", 1)
    change_bytes = measured.at("bytes: change of a configuration", 1)
    deflate_ms = measured.at("time: deflating a configuration", 1)
    rows = [
        ("as JSON, MB", json_bytes / MEGABYTE),
        ("deflated, KB", packed / 1e3),
        ("deflating, once at a node that read the store, ms", deflate_ms),
        ("inflating and checking the whole, at a start, ms", whole_ms),
        ("one change of an organisation's limits, packed, bytes", change_bytes),
        ("taking it, index and in force, ms", per_change_ms),
        (
            "in force for the first time (all homes looked up), ms",
            measured.at("time: putting a configuration in force, first", 1),
        ),
        (
            "fleet's traffic between nodes for one change, MB",
            change_bytes * TARGET.nodes / MEGABYTE,
        ),
        (
            "fleet's processor time for one change, s",
            per_change_ms * TARGET.nodes / MS_PER_S,
        ),
        (
            "reads of the whole row from the table service, MB/s",
            FLEET_LOOKS_PER_S / WHOLE_LOOK_EVERY * json_bytes / MEGABYTE,
        ),
        (
            "history in the table service, GB a day",
            json_bytes * TARGET.changes_per_day / 1e9,
        ),
        (
            "publishing a change, in the operator's process, ms",
            measured.at("time: publishing a configuration", 1),
        ),
        (
            "written to the table service for one change, MB",
            PUBLISHING_WRITES * json_bytes / MEGABYTE,
        ),
        (
            "the whole handed to a peer, both ends, ms",
            measured.at("time: configuration, both ends", packed) / MS_PER_S,
        ),
        (
            "in force on the last node after, s: number heard, change taken",
            heard_s + per_change_ms / MS_PER_S,
        ),
    ]
    return markdown_table(("one configuration", "is"), [(a, short(b)) for a, b in rows])


@table("store")
def _store(measured: Measured) -> list[str]:
    changes = TARGET.changes_per_day / DAY_S
    starts = (TARGET.restarts_per_day + TARGET.deaths_per_day) / DAY_S
    claims = TARGET.store_writes_per_s / TARGET.requests_per_s
    rows = [
        ("looks for a configuration", FLEET_LOOKS_PER_S, 0.0, "`node/spread.py`"),
        (
            "publishing: 2 reads, 2 inserts of history, 1 write",
            2 * changes,
            PUBLISHING_WRITES * changes,
            "`settings/publish.py`",
        ),
        ("list of hosts, each 10 s", TARGET.nodes / 10, 0.0, "`platform/hosts.py`"),
        ("registration of a started node", 0.0, starts, "`node/node.py`"),
        ("starting nodes read the configuration", starts, 0.0, "`node/spread.py`"),
        (
            "claims on callers' own keys, 1 request in 100",
            0.0,
            TARGET.requests_per_s / 100,
            "`requests/claims.py`",
        ),
    ]
    reads, writes = sum(row[1] for row in rows), sum(row[2] for row in rows)
    body = [(a, short(r), short(w), m) for a, r, w, m in rows]
    limits = (
        f"limit: {TARGET.store_reads_per_s:.0f}",
        f"taken as {TARGET.store_writes_per_s:.0f}",
    )
    return markdown_table(
        ("what", "reads/s", "writes/s", "carried by"),
        [
            *body,
            ("sum", short(reads), short(writes), ""),
            ("the service gives", *limits, ""),
            (
                "largest share of requests with callers' own keys",
                "",
                f"{PERCENT * claims:.1f}%",
                "",
            ),
            (
                "cold start with nothing published yet",
                short(TARGET.nodes / RETRY_PAUSE_S),
                "",
                "`node/spread.py`",
            ),
        ],
    )


@table("events")
def _events(measured: Measured) -> list[str]:
    lost = TARGET.nodes / TARGET.zones
    left = TARGET.nodes - lost
    report_us = measured.at("time: report of permits, both ends", permits_per_report())
    report_bytes = measured.at("bytes: report of permits", permits_per_report())
    view_ms = measured.at(
        "time: homes carried to a new view", TARGET.nodes
    ) / MS_PER_S + measured.at("time: placing cells after a change of the view", 1)
    moved = TARGET.cells / TARGET.zones
    packed = measured.at("bytes: configuration deflated", 1)
    document = measured.at("bytes: configuration as JSON", 1)
    start = measured.at("bytes: membership, a start", TARGET.nodes)
    inflate_ms = measured.at("time: inflating and checking a configuration", 1)
    first_ms = measured.at("time: putting a configuration in force, first", 1)
    rows = [
        ("a zone lost", "nodes and cells without a home", f"{lost:.0f}, {moved:.0f}"),
        ("", "open requests an entry then has", short(TARGET.open_requests / left)),
        ("", "tokens/s an entry then relays", short(TARGET.tokens_per_s / left)),
        ("", "views to take in, s of a core a node", short(lost * view_ms / MS_PER_S)),
        ("", "reports asked for by a new home", short(left)),
        ("", "and s of a core at both ends", short(left * report_us / MICROSECONDS)),
        ("", "and KB", short(left * report_bytes / 1e3)),
        ("", "cell held at most, s", short(HOLD_S)),
        (
            "a region cut off for an hour",
            "configuration changes missed on the side without the store",
            short(TARGET.changes_per_day * HOUR_S / DAY_S),
        ),
        ("", "limits of an organisation, together at most", "2 times"),
        ("", "cells with a home on either side", str(TARGET.cells)),
        (
            "2,100 restarts and 96 deaths a day",
            "bytes of membership a start",
            short(start),
        ),
        (
            "",
            f"KB of configuration a start, from up to {PEERS_TRIED} peers",
            short(PEERS_TRIED * packed / 1e3),
        ),
        ("", "MB from the table service a start", short(document / MEGABYTE)),
        (
            "",
            "ms of a core a start for the configuration",
            short((PEERS_TRIED + 1) * inflate_ms + first_ms),
        ),
        (
            "",
            "reports of permits asked for, a second over the fleet",
            short(TARGET.views_per_s * TARGET.cells_per_node * (TARGET.nodes - 1)),
        ),
        (
            "a cold start of everything",
            "read from the table service, MB",
            short(document * TARGET.nodes / MEGABYTE),
        ),
        ("", "registrations, writes", str(TARGET.nodes)),
        (
            "",
            "connections between nodes, opened",
            str(TARGET.nodes * (TARGET.nodes - 1)),
        ),
        ("", "reports of permits", str(TARGET.cells * (TARGET.nodes - 1))),
    ]
    return markdown_table(("event", "what", "costs"), rows)
