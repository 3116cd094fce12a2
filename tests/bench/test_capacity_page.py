"""The capacity page says what the committed figures give, and nothing else."""

from dataclasses import replace
from pathlib import Path

import pytest

from baobabwing.bench import soak
from baobabwing.bench.answers import Answer, Verdict
from baobabwing.bench.capacity_page import (
    CapacityPageError,
    read_measured,
    write_tables,
)
from baobabwing.bench.capacity_page_registry import table_names
from baobabwing.bench.capacity_page_workings import flows, states
from baobabwing.bench.slopes.configurations import configuration_of
from baobabwing.bench.slopes.fitting import fit, heap_bytes
from baobabwing.bench.slopes.relaying import RelayFiguresError, read_relay
from baobabwing.bench.slopes.rig import Look
from baobabwing.bench.slopes.size import TARGET
from baobabwing.bench.slopes.state import busy_cell
from baobabwing.settings.documents import deflate, inflate

ROOT = Path(__file__).parents[2]
FIGURES = ROOT / "docs" / "capacity"
PAGE = ROOT / "docs" / "CAPACITY.md"
MEGABYTE = 1_000_000


@pytest.fixture(scope="module")
def measured():
    return read_measured(FIGURES)


def test_the_page_is_what_the_figures_give(measured):
    """An operator plans by a table that no run gave: someone measured again, or
    changed a bound or a working, and did not write the page anew."""
    page = PAGE.read_text(encoding="utf-8")
    assert write_tables(page, measured) == page


def test_the_page_follows_a_figure_that_changes(measured):
    slope = measured.slopes["bytes: slice"]
    changed = {**measured.slopes, slope.name: replace(slope, fixed=12_345.0)}
    page = PAGE.read_text(encoding="utf-8")
    assert write_tables(page, replace(measured, slopes=changed)) != page


@pytest.mark.parametrize(
    "marks", [table_names()[1:], (*table_names(), "other"), table_names() * 2]
)
def test_a_page_that_lacks_a_table_or_has_a_strange_one_is_refused(measured, marks):
    page = "\n".join(f"<!-- table {one} -->\n<!-- end of table -->" for one in marks)
    with pytest.raises(CapacityPageError):
        write_tables(page, measured)


def test_a_line_through_points_on_it_is_exact():
    line = fit("x", unit="bytes", per="y", points=[(1, 12.0), (2, 14.0), (4, 18.0)])
    assert line.slope == pytest.approx(2.0)
    assert line.fixed == pytest.approx(10.0)
    assert line.worst == pytest.approx(0.0)
    assert line.at(460) == pytest.approx(930.0)


def test_the_furthest_point_is_told():
    line = fit("x", unit="us", per="y", points=[(0, 0.0), (1, 3.0), (2, 0.0)])
    assert (line.slope, line.fixed) == pytest.approx((0.0, 1.0))
    assert line.worst == pytest.approx(2 / 3)


def test_a_fit_needs_points():
    with pytest.raises(ValueError, match="no points"):
        fit("x", unit="us", per="y", points=[])


def test_memory_counts_what_is_kept_only():
    kept = heap_bytes(lambda: bytearray(MEGABYTE))
    assert MEGABYTE <= kept < 1.1 * MEGABYTE
    assert heap_bytes(lambda: len(bytearray(MEGABYTE))) < 0.1 * MEGABYTE


def test_every_working_rests_on_something_measured(measured):
    assert all(one.count > 0 and one.each > 0 for one in states(measured.slopes))
    assert all(one.per_s > 0 for one in flows(measured.slopes))
    assert TARGET.cells == 9 * 23


def test_a_cell_to_measure_holds_what_it_is_said_to_hold():
    cell = busy_cell(40, capacity=1)
    waiting = sum(tier.count for tier in cell.snapshot().queued)
    assert waiting + cell.snapshot().in_flight == 40
    assert waiting >= 8


def test_the_configuration_to_measure_is_one_that_nodes_accept():
    cfg = configuration_of(0.02)
    assert inflate(deflate(cfg)) == cfg
    assert len(cfg.credentials) == TARGET.tiers * len(cfg.organisations)


def test_the_line_of_our_relay_is_read():
    text = "bare 47.0 us/token, 1 tokens/s relayed, 9 MB\n" + (
        "ours         57.5 us/token,   3990 tokens/s relayed,    62 MB\n"
    )
    assert read_relay(text) == (57.5, 3990.0, 62.0)
    with pytest.raises(RelayFiguresError):
        read_relay(text.splitlines()[0])


def test_a_soak_tells_of_requests_without_an_end():
    """A caller waits for ever for a request that a killed node took with it."""
    fine = Answer(index=0, verdict=Verdict.WHOLE)
    broken = Answer(index=1, verdict=Verdict.ERROR, code="no_error_object")
    assert soak.unaccounted(1, [fine]) == []
    assert len(soak.unaccounted(3, [fine, fine, broken])) == 3
    unknown = replace(fine, verdict=Verdict.UNKNOWN, sent_s=10.0, end_s=12.0)
    assert soak.unaccounted(1, [unknown], [11.0]) == []
    assert len(soak.unaccounted(1, [unknown], [60.0])) == 1


def test_growth_counts_after_the_warm_up_only():
    def look(megabytes, threads):
        return Look(resident_bytes=megabytes * MEGABYTE, threads=threads)

    life = soak.Life(node="node-1")
    warming = range(int(soak.WARM_UP_S))
    life.looks.extend((age, look(10 + age, 30)) for age in warming)
    after = range(int(soak.WARM_UP_S), 150)
    life.looks.extend((age, look(60, 40)) for age in after)
    assert soak.grown(life) == (0.0, 0.0)
    life.looks.extend((age, look(90, 45)) for age in range(150, 220))
    memory, threads = soak.grown(life)
    assert memory > 20 * MEGABYTE
    assert threads > 3
