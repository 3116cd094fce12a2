"""Works out what each role costs at the target's size, from measured slopes."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from baobabwing.bench.slopes.fitting import Slope
from baobabwing.bench.slopes.size import TARGET
from baobabwing.brands.slices import SLICE_VALID_S
from baobabwing.homes.cells import REVIEW_S, TICK_S
from baobabwing.homes.limits import RENEW_S
from baobabwing.node.node import RETENTION_S
from baobabwing.node.spread import FLEET_LOOKS_PER_S, WHOLE_LOOK_EVERY
from baobabwing.pools.placements import ENDING_RETENTION_S, PLACEMENT_RETENTION_S
from baobabwing.pools.prefix_digest import BLOCK_TOKENS

__all__ = ["Flow", "State", "asked_slices", "flows", "home_flows", "states"]

Slopes = Mapping[str, Slope]

QUEUE_LIMIT = 512
MOST_PLACEMENTS = 65_536
MOST_DIGESTS = 65_536
HOST_LIST_S = 10.0
US_PER_S = 1e6
MS_PER_S = 1e3


@dataclass(frozen=True, kw_only=True)
class State:
    """What a role keeps.

    :param count: how many there are in one node.
    :param reason: where the count comes from.
    :param each: bytes of one.
    :param control: whether it counts against the bound on control's memory.
    """

    role: str
    item: str
    count: float
    reason: str
    each: float
    slope: str
    module: str
    control: bool = True

    @property
    def total(self) -> float:
        """Bytes of all."""
        return self.count * self.each


@dataclass(frozen=True, kw_only=True)
class Flow:
    """What goes between processes again and again, seen from one node.

    :param per_s: a second that this node takes part in, at either end.
    :param reason: where the rate comes from.
    :param each_bytes: sent and received by this node for one, headers included.
    :param each_us: processor time of this node for one.
    :param on_request: whether it belongs to a request and not to control alone.
    :param platform: whether the other end is the platform or an upstream.
    """

    role: str
    what: str
    per_s: float
    reason: str
    each_bytes: float
    each_us: float
    slopes: str
    module: str
    on_request: bool = False
    platform: bool = False

    @property
    def bytes_per_s(self) -> float:
        """Bytes a second, sent and received."""
        return self.per_s * self.each_bytes

    @property
    def core_share(self) -> float:
        """Share of one core."""
        return self.per_s * self.each_us / US_PER_S


def blocks() -> float:
    """Return the digests that a permit request carries."""
    return TARGET.prompt_tokens // BLOCK_TOKENS


def open_per_node() -> float:
    """Return the requests open at one entry."""
    return TARGET.open_requests / TARGET.nodes


def open_per_cell() -> float:
    """Return the permits of one cell in use."""
    return TARGET.open_requests / TARGET.cells


def organisations_per_entry() -> float:
    """Return the organisations with requests open at one entry.

    If all organisations are of one size; the larger some are, the fewer.
    """
    return _distinct(TARGET.organisations, open_per_node())


def entries_per_organisation() -> float:
    """Return the entries with open requests of one organisation."""
    return organisations_per_entry() * TARGET.nodes / TARGET.organisations


def renewal_s() -> float:
    """Return how long after a lease the next one is asked for ahead.

    At the first look, each half second, that is within one and a half of them of the
    end of its validity.
    """
    due_s = SLICE_VALID_S - 1.5 * RENEW_S
    return math.ceil(due_s / RENEW_S) * RENEW_S


def slices_asked_per_s() -> float:
    """Return the leases a second that one entry asks for as requests come.

    A request asks unless one of its organisation did within the validity.
    """
    rate = TARGET.node_requests_per_s / TARGET.organisations
    return TARGET.node_requests_per_s / (1 + rate * SLICE_VALID_S)


def entries_asking() -> float:
    """Return the entries with a lease of one organisation, by what they asked."""
    per_organisation = slices_asked_per_s() * TARGET.nodes / TARGET.organisations
    return per_organisation * SLICE_VALID_S


def holders_per_cell() -> float:
    """Return the entries that hold permits of one cell."""
    return _distinct(TARGET.nodes, open_per_cell())


def permits_per_report() -> float:
    """Return the permits of one cell that such an entry holds."""
    return open_per_cell() / holders_per_cell()


def states(slopes: Slopes) -> list[State]:
    """Return what a node keeps that is an entry and home of one cell."""
    rate, cell_rate = TARGET.node_requests_per_s, TARGET.cell_requests_per_s
    peers = TARGET.nodes - 1
    rows = [
        (
            "entry",
            "open request",
            open_per_node(),
            "tokens/s x 55 ms / nodes",
            "memory: open request at its entry",
            "requests/registry.py",
            False,
        ),
        (
            "entry",
            "closed request with a key",
            rate * RETENTION_S,
            f"{rate:.1f}/s x {RETENTION_S:.0f} s, if all have keys",
            "memory: closed request with a key at its entry",
            "requests/registry.py",
            False,
        ),
        (
            "entry",
            "open stream in the relay",
            open_per_node(),
            "as open requests",
            "memory: relay",
            "entry/relay.py",
            False,
        ),
        (
            "home of a cell",
            "permit in use",
            open_per_cell(),
            "open requests / cells",
            "memory: permit in use",
            "pools/state.py",
            True,
        ),
        (
            "home of a cell",
            "queued request",
            QUEUE_LIMIT,
            "limit of the queue",
            "memory: queued request",
            "pools/queues.py",
            True,
        ),
        (
            "home of a cell",
            "placement of a key",
            min(MOST_PLACEMENTS, cell_rate * PLACEMENT_RETENTION_S),
            f"{cell_rate:.1f}/s x {PLACEMENT_RETENTION_S:.0f} s",
            "memory: placement of a key",
            "pools/placements.py",
            True,
        ),
        (
            "home of a cell",
            "ending of a request",
            cell_rate * ENDING_RETENTION_S,
            f"{cell_rate:.1f}/s x {ENDING_RETENTION_S:.0f} s",
            "memory: ending of a request",
            "pools/placements.py",
            True,
        ),
        (
            "home of a cell",
            "digest in the prefix index",
            MOST_DIGESTS,
            "its bound",
            "memory: digest in a prefix index",
            "pools/prefix_index.py",
            True,
        ),
        (
            "home of a cell",
            "upstream watched",
            TARGET.cell_size,
            "size of a cell",
            "memory: polling",
            "homes/watching.py",
            True,
        ),
        (
            "home of an organisation",
            "lease of a slice",
            TARGET.organisations / TARGET.nodes * entries_per_organisation(),
            "organisations / nodes x entries with a slice",
            "memory: lease of a slice at its home",
            "brands/slices.py",
            True,
        ),
        (
            "member",
            "member",
            TARGET.nodes,
            "nodes",
            "memory: member",
            "fleet/table.py",
            True,
        ),
        (
            "member",
            "remembered home",
            TARGET.cells + TARGET.organisations,
            "cells and organisations",
            "memory: remembered home",
            "fleet/homes.py",
            True,
        ),
        (
            "member",
            "connection to a peer, opened and accepted",
            peers,
            "every entry asks every home",
            "memory: connection between two nodes",
            "wire/peers.py",
            True,
        ),
        (
            "member",
            "configuration with its index",
            1,
            "the whole",
            "memory: configuration with its index",
            "settings/keeper.py",
            True,
        ),
        (
            "member",
            "peak while taking another",
            1,
            "beside the one in force",
            "memory: peak while inflating a configuration",
            "settings/documents.py",
            True,
        ),
    ]
    return [
        State(
            role=role,
            item=item,
            count=count,
            reason=reason,
            each=slopes[name].slope,
            slope=name,
            module=module,
            control=control,
        )
        for role, item, count, reason, name, module, control in rows
    ]


def flows(slopes: Slopes) -> list[Flow]:
    """Return what goes to and from a mean node.

    Of an exchange between two nodes each takes part twice on average: once as the
    one that asks and once as the one that answers. So a rate is that of asking, and
    bytes and time are those of both ends together.
    """
    rate = TARGET.node_requests_per_s
    cells_per_node = TARGET.cells_per_node
    reports = cells_per_node * holders_per_cell() / REVIEW_S
    return [
        _between(
            "entry and home of a cell",
            "permit",
            rate,
            "requests/s / nodes",
            _permit_bytes(slopes),
            _permit_us(slopes),
            "permit; permit and its return at a cell",
            "homes/permits.py, pools/cell.py",
            on_request=True,
        ),
        _between(
            "entry and home of a cell",
            "return of a permit",
            rate,
            "requests/s / nodes",
            slopes["bytes: return of a permit"].at(1),
            slopes["time: return of a permit, both ends"].at(1),
            "return of a permit",
            "homes/permits.py",
            on_request=True,
        ),
        _between(
            "entry and home of a cell",
            "report of permits",
            reports,
            f"{holders_per_cell():.0f} entries of a cell each {REVIEW_S:.0f} s",
            slopes["bytes: report of permits"].at(permits_per_report()),
            slopes["time: report of permits, both ends"].at(permits_per_report()),
            "report of permits",
            "homes/cells.py",
        ),
        _between(
            "entry and home of an organisation",
            "slice, open requests bounded",
            organisations_per_entry() / renewal_s(),
            f"{organisations_per_entry():.0f} organisations each {renewal_s()} s",
            slopes["bytes: slice"].at(1),
            _slice_us(slopes, entries_per_organisation()),
            "slice; slice lease at its home",
            "homes/limits.py, brands/slices.py",
        ),
        Flow(
            role="member",
            what="probes and news, with a change each 16 s",
            per_s=1.0,
            reason="line over 3 to 48 processes",
            each_bytes=_no_less(
                slopes["bytes: membership with changes, a second"], TARGET.nodes
            ),
            each_us=_no_less(slopes["core: membership with changes"], TARGET.nodes)
            / 100
            * US_PER_S,
            slopes="membership",
            module="fleet/",
        ),
        Flow(
            role="member",
            what="placing cells by a new view",
            per_s=TARGET.views_per_s,
            reason="deaths and restarts, out and in",
            each_bytes=0.0,
            each_us=_view_us(slopes),
            slopes="homes carried to a new view; placing cells",
            module="fleet/homes.py, homes/cells.py",
        ),
        _between(
            "member",
            "configuration from a peer",
            1 / TARGET.change_every_s,
            f"{TARGET.changes_per_day} changes a day, of one item each",
            _change_bytes(slopes),
            _change_us(slopes),
            "change of a configuration; taking and noting; index; in force",
            "node/spread.py, settings/deltas.py",
        ),
        Flow(
            role="entry",
            what="address answer",
            per_s=rate,
            reason="if each request's caller asks anew; they keep answers 10 s",
            each_bytes=0.0,
            each_us=slopes["time: address answer"].at(TARGET.nodes),
            slopes="address answer",
            module="fleet/addresses.py",
            on_request=True,
        ),
        Flow(
            role="platform's share",
            what="look for a configuration",
            per_s=FLEET_LOOKS_PER_S / WHOLE_LOOK_EVERY / TARGET.nodes,
            reason=(
                f"{FLEET_LOOKS_PER_S:.0f} looks/s over all nodes, one in "
                f"{WHOLE_LOOK_EVERY} whole; the others ask for a row that is not there"
            ),
            each_bytes=slopes["bytes: configuration as JSON"].at(1),
            each_us=slopes["time: inflating and checking a configuration"].at(1)
            * US_PER_S
            / MS_PER_S,
            slopes="configuration as JSON; inflating and checking",
            module="node/spread.py, settings/fetch.py",
            platform=True,
        ),
        Flow(
            role="platform's share",
            what="list of hosts",
            per_s=1 / HOST_LIST_S,
            reason=f"each {HOST_LIST_S:.0f} s, whole",
            each_bytes=slopes["bytes: list of hosts"].at(TARGET.nodes),
            each_us=0.0,
            slopes="list of hosts",
            module="platform/hosts.py",
            platform=True,
        ),
        _polling(slopes, cells_per_node),
        _ticks(slopes, cells_per_node),
    ]


def asked_slices(slopes: Slopes) -> Flow:
    """Return the slices of organisations whose open requests are not bounded."""
    return _between(
        "entry and home of an organisation",
        "slice, rates bounded only",
        slices_asked_per_s(),
        "a request asks that finds none in force",
        slopes["bytes: slice"].at(1),
        _slice_us(slopes, entries_asking()),
        "slice; slice lease at its home",
        "homes/limits.py, brands/slices.py",
    )


def home_flows(slopes: Slopes) -> list[Flow]:
    """Return what goes to and from the home of one cell, for that cell alone.

    Of the time of both ends one half is put down to the home.
    """
    rate = TARGET.cell_requests_per_s
    decision = slopes["time: permit and its return at a cell"].at(0)
    permit = slopes["time: permit, both ends"].at(blocks()) / 2 + decision
    done = slopes["time: return of a permit, both ends"].at(1) / 2
    size = permits_per_report()
    return [
        Flow(
            role="home of a cell",
            what="permit",
            per_s=rate,
            reason="requests/s / cells",
            each_bytes=slopes["bytes: permit"].at(blocks()),
            each_us=permit,
            slopes="permit; permit and its return at a cell",
            module="pools/cell.py",
            on_request=True,
        ),
        Flow(
            role="home of a cell",
            what="return of a permit",
            per_s=rate,
            reason="requests/s / cells",
            each_bytes=slopes["bytes: return of a permit"].at(1),
            each_us=done,
            slopes="return of a permit",
            module="pools/cell.py",
            on_request=True,
        ),
        Flow(
            role="home of a cell",
            what="report of permits",
            per_s=holders_per_cell() / REVIEW_S,
            reason=f"{holders_per_cell():.0f} entries each {REVIEW_S:.0f} s",
            each_bytes=slopes["bytes: report of permits"].at(size),
            each_us=slopes["time: report of permits, both ends"].at(size) / 2,
            slopes="report of permits",
            module="homes/cells.py",
        ),
        _polling(slopes, 1.0),
        _ticks(slopes, 1.0),
    ]


def _between(
    role: str,
    what: str,
    per_s: float,
    reason: str,
    wire_bytes: float,
    both_us: float,
    slopes: str,
    module: str,
    *,
    on_request: bool = False,
) -> Flow:
    return Flow(
        role=role,
        what=what,
        per_s=per_s,
        reason=reason,
        each_bytes=2 * wire_bytes,
        each_us=both_us,
        slopes=slopes,
        module=module,
        on_request=on_request,
    )


def _polling(slopes: Slopes, cells: float) -> Flow:
    watched = TARGET.cell_size * cells
    return Flow(
        role="home of a cell",
        what="polling of upstreams",
        per_s=watched,
        reason=f"{watched:.1f} upstreams, load twice and caches once a second",
        each_bytes=slopes["bytes: polling, a second"].slope,
        each_us=slopes["time: polling, of a core"].slope * US_PER_S,
        slopes="polling",
        module="homes/watching.py",
        platform=True,
    )


def _ticks(slopes: Slopes, cells: float) -> Flow:
    return Flow(
        role="home of a cell",
        what="tick",
        per_s=cells / TICK_S,
        reason=f"{cells:.2f} cells each {TICK_S * MS_PER_S:.0f} ms",
        each_bytes=0.0,
        each_us=slopes["time: tick of a cell"].at(0),
        slopes="tick of a cell",
        module="pools/cell.py",
    )


def _permit_bytes(slopes: Slopes) -> float:
    return slopes["bytes: permit"].at(blocks())


def _permit_us(slopes: Slopes) -> float:
    both = slopes["time: permit, both ends"].at(blocks())
    return both + slopes["time: permit and its return at a cell"].at(0)


def _slice_us(slopes: Slopes, entries: float) -> float:
    lease = slopes["time: slice lease at its home"].at(entries)
    return slopes["time: slice, both ends"].at(1) + lease


def _view_us(slopes: Slopes) -> float:
    carried = slopes["time: homes carried to a new view"].at(TARGET.nodes)
    placed = slopes["time: placing cells after a change of the view"].at(1)
    return carried + placed * US_PER_S / MS_PER_S


def _change_bytes(slopes: Slopes) -> float:
    size = slopes["bytes: change of a configuration"].at(1)
    return slopes["bytes: configuration"].at(size)


def _change_us(slopes: Slopes) -> float:
    work_ms = sum(
        slopes[name].at(1)
        for name in (
            "time: taking and noting a change",
            "time: index of a configuration",
            "time: putting a configuration in force, again",
        )
    )
    size = slopes["bytes: change of a configuration"].at(1)
    moved_us = slopes["time: configuration, both ends"].at(size)
    return work_ms * US_PER_S / MS_PER_S + moved_us


def _no_less(slope: Slope, size: float) -> float:
    """Return a cost at a size, but no less than was measured at any.

    Where a cost does not grow, the line through its points may point downward.
    """
    return max(slope.at(size), *(cost for _, cost in slope.points))


def _distinct(kinds: float, draws: float) -> float:
    """Return how many of equally likely kinds are met in so many draws."""
    return kinds * -math.expm1(-draws / kinds)
