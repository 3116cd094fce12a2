"""Generator of the fault matrix page, with one row per fault and one column per step.

Cells are filled from test results. This module lists the combinations that cannot
occur, with the reason, and the tests of other directories that cover a cell.

Run as ``python -m baobabwing.bench.matrix.table PAGE RESULTS...``; result files are
written by the tests with the option ``--results``.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

__all__ = ["COLUMNS", "REASONS", "ROWS", "render_page"]

REQUEST_STEPS = (
    "before it arrives",
    "while it is queued",
    "once it is permitted",
    "at its dispatch",
    "while it streams",
    "after its answer",
)
CHANGE_STEPS = (
    "while a change is written",
    "once a change is written",
    "while orders are given",
)
COLUMNS = (*REQUEST_STEPS, *CHANGE_STEPS)

_FUZZ = "tests/matrix/test_fuzz_in_process.py::test_any_order_of_faults"
_PUBLISH = "tests/settings/test_publish.py"
_LEASE = "tests/orders/test_lease.py"
_MOVER = "tests/orders/test_mover.py"
_EXECUTION = "tests/orders/test_execution.py"
_MEMBERS = "tests/fleet/test_membership.py"
_CHANGE = "tests/features/test_operators.py::test_a_change_is_met_by_a_fault"

_NOT_YET = "cannot occur: there is no connection yet"
_ADMITTED = "cannot occur: it was admitted before"
_BEGUN = "cannot occur: its answer began before"
_NO_ANSWER = "cannot occur: there is no answer yet"
_FINISHED = "cannot occur: the upstream has no part in it any more"
_NO_PART = "cannot occur: has no part in a change"

ROWS = (
    "its host is killed",
    "its host is frozen",
    "its host is frozen until the others think it dead",
    "its host is stopped",
    "the home of its cell is killed",
    "the home of its cell is frozen",
    "its host and the home of its cell are killed",
    "the home of its cell is killed, and its host once there is a new home",
    "its upstream is killed",
    "its upstream is frozen for a while",
    "its host and its upstream are killed",
    "its caller's connection is cut",
    "its caller vanishes",
    "its upstream's connection is cut",
    "its upstream is slow",
    "its upstream refuses",
    "all its upstreams refuse",
    "its upstream fails after the effect",
    "its upstream answers late",
    "its upstream answers twice",
    "its upstream drops the answer after the effect",
    "the platform is killed",
    "the platform is down",
    "the platform is slow",
    "the platform loses the answer of a write that took effect",
    "the platform's list of hosts is wrong",
    "the platform is down and its host is killed",
    "a node's link is cut, one way or both",
    "a lease lapsed while its holder is frozen and acts on",
    "two operators race",
)

_LEASE_ROW = "a lease lapsed while its holder is frozen and acts on"
_CALLER_ROWS = ("its caller's connection is cut", "its caller vanishes")
_ANSWER_ROWS = (
    "its upstream fails after the effect",
    "its upstream answers late",
    "its upstream answers twice",
    "its upstream drops the answer after the effect",
)
_REFUSING_ROWS = ("its upstream refuses", "all its upstreams refuse")
_CUT_ROW = "its upstream's connection is cut"
_REQUEST_ROWS = (*_CALLER_ROWS, *_ANSWER_ROWS, *_REFUSING_ROWS, _CUT_ROW)

REASONS: dict[tuple[str, str], str] = {
    **{(row, "before it arrives"): _NOT_YET for row in _CALLER_ROWS},
    **{
        (row, step): _ADMITTED
        for row in _REFUSING_ROWS
        for step in ("at its dispatch", "while it streams", "after its answer")
    },
    **{
        (row, step): _BEGUN
        for row in _ANSWER_ROWS
        for step in ("while it streams", "after its answer")
    },
    **{
        (_CUT_ROW, step): _NO_ANSWER for step in (*REQUEST_STEPS[:3], "at its dispatch")
    },
    (_CUT_ROW, "after its answer"): _FINISHED,
    **{(row, step): _NO_PART for row in _REQUEST_ROWS for step in CHANGE_STEPS},
    **{
        (row, step): "cannot occur: no change and no lease in a request"
        for row in ("two operators race", _LEASE_ROW)
        for step in REQUEST_STEPS
    },
}

_REFERENCES: dict[tuple[str, str], tuple[str, ...]] = {
    **{
        (row, "once it is permitted"): (_FUZZ,)
        for row in (
            "its host is killed",
            "its host is stopped",
            "the home of its cell is killed",
            *_CALLER_ROWS,
            *_REFUSING_ROWS,
            *_ANSWER_ROWS[:1],
            "its upstream answers twice",
            "its upstream drops the answer after the effect",
            "its upstream is killed",
            "the platform is down",
            "the platform loses the answer of a write that took effect",
        )
    },
    (_CUT_ROW, "while it streams"): (
        "tests/features/test_outcomes.py::"
        "test_a_chat_turn_is_met_by_a_fault_and_the_caller_tries_again"
        "[its upstream's connection is cut-before it arrives-the whole answer]",
    ),
    ("the platform loses the answer of a write that took effect", CHANGE_STEPS[0]): (
        f"{_CHANGE}[the store loses the answer-while a change is written]",
        f"{_PUBLISH}::test_answer_lost_once",
    ),
    ("the platform is down", CHANGE_STEPS[0]): (f"{_PUBLISH}::test_store_down",),
    ("the platform is down", CHANGE_STEPS[1]): (
        f"{_CHANGE}[the store goes down-once a change is written]",
    ),
    ("the platform is down", CHANGE_STEPS[2]): (
        f"{_MOVER}::test_store_goes_down_at_the_switch",
    ),
    ("the platform is slow", CHANGE_STEPS[0]): (
        f"{_CHANGE}[the store is slow-while a change is written]",
    ),
    ("the platform's list of hosts is wrong", CHANGE_STEPS[0]): (
        f"{_CHANGE}[the store's list of hosts is wrong-while a change is written]",
        f"{_MEMBERS}::test_wrong_or_missing_list_kills_nobody",
    ),
    ("its host is killed", CHANGE_STEPS[1]): (
        f"{_CHANGE}[a host is killed-once a change is written]",
    ),
    ("its host is killed", CHANGE_STEPS[2]): (
        f"{_MOVER}::test_next_holder_finishes_what_a_dead_one_left",
    ),
    ("its host is frozen", CHANGE_STEPS[1]): (
        f"{_CHANGE}[a host is frozen-once a change is written]",
    ),
    ("its upstream is killed", CHANGE_STEPS[2]): (
        f"{_MOVER}::test_engine_unreachable_after_the_switch_is_left_open",
    ),
    ("its upstream drops the answer after the effect", CHANGE_STEPS[2]): (
        f"{_EXECUTION}::test_lost_order_is_given_again_until_it_is_seen",
    ),
    ("all its upstreams refuse", CHANGE_STEPS[2]): (
        f"{_EXECUTION}::test_refusal_is_reported",
    ),
    ("a node's link is cut, one way or both", "before it arrives"): (
        f"{_MEMBERS}::test_node_whose_link_is_cut_kills_nobody",
        f"{_MEMBERS}::test_zone_cut_off_is_declared_by_the_others_only",
    ),
    ("a lease lapsed while its holder is frozen and acts on", CHANGE_STEPS[2]): (
        f"{_LEASE}::test_paused_holder_stops",
        f"{_EXECUTION}::test_engine_that_checks_refuses_an_order_on_its_way",
        f"{_EXECUTION}::test_late_order_to_an_engine_that_does_not_check_is_corrected",
        f"{_MOVER}::test_paused_mover_does_not_undo_what_its_successor_did",
    ),
    ("two operators race", CHANGE_STEPS[0]): (
        "tests/features/test_operators.py::"
        "test_two_operators_race_to_change_the_same_thing",
        f"{_PUBLISH}::test_two_operators_race",
    ),
    ("two operators race", CHANGE_STEPS[2]): (
        f"{_MOVER}::test_conflict_at_the_switch_undoes_the_loads",
    ),
}

_PAGE_HEADER = """\
# Fault matrix

Written by `make matrix`; each cell names the tests that bring the fault about at
the step, with their result in the run that wrote this page. "chat" is
`tests/matrix/test_every_fault.py::test_chat` and "booking" is `test_booking` of the
same file (a call that may not be repeated, with a key of the caller's own), each
with the row and the column as parameters. They run over real processes: three
nodes, three engines, two services and a platform. The judge compares the
upstreams' own records with what callers saw: at most one execution of a key,
nothing told "not run" that ran, no answer but the upstream's own.

"not proved" means that no test brings this about.
"""


def cell_of(nodeid: str) -> tuple[str, str, str] | None:
    """Return test name, row and column of a matrix test, parsed from its node id."""
    name, _, rest = nodeid.partition("[")
    if "test_every_fault" not in name:
        return None
    test_name = name.rpartition("test_")[2]
    for column in REQUEST_STEPS:
        if rest.endswith(f"-{column}]"):
            return test_name, rest.removesuffix(f"-{column}]"), column
    return None


def render_page(results: Mapping[str, str]) -> str:
    """Render the page in Markdown.

    :param results: outcome by node id of each test that was run.
    """
    results_by_cell: dict[tuple[str, str], list[str]] = {}
    for nodeid, outcome in results.items():
        cell = cell_of(nodeid)
        if cell is not None:
            test_name, row, column = cell
            results_by_cell.setdefault((row, column), []).append(
                f"{test_name} {outcome}"
            )
    lines = [_PAGE_HEADER]
    for title, columns in (
        ("Steps of a request", REQUEST_STEPS),
        ("Steps of an operator's change", CHANGE_STEPS),
    ):
        lines += ["", f"## {title}", "", _markdown_row(("fault", *columns))]
        lines.append(_markdown_row(["---"] * (len(columns) + 1)))
        lines += [
            _markdown_row(
                (row, *(_cell(results_by_cell, results, row, one) for one in columns))
            )
            for row in ROWS
        ]
    lines += ["", _summary(results_by_cell, results)]
    return "\n".join(lines) + "\n"


def _cell(
    results_by_cell: Mapping[tuple[str, str], Sequence[str]],
    results: Mapping[str, str],
    row: str,
    column: str,
) -> str:
    tests = list(results_by_cell.get((row, column), ()))
    tests += [
        f"`{_short_name(one)}` {_outcome(results, one)}"
        for one in _REFERENCES.get((row, column), ())
    ]
    return "; ".join(tests) or REASONS.get((row, column), "not proved")


def _outcome(results: Mapping[str, str], name: str) -> str:
    outcomes = {
        outcome
        for nodeid, outcome in results.items()
        if nodeid == name or nodeid.startswith(f"{name}[")
    }
    if not outcomes:
        return "not run"
    return "failed" if "failed" in outcomes else "passed"


def _short_name(name: str) -> str:
    path, _, test = name.partition("::")
    return f"{path.removeprefix('tests/')}::{test.partition('[')[0]}"


def _markdown_row(cells: Sequence[str]) -> str:
    return f"| {' | '.join(cells)} |"


def _summary(
    results_by_cell: Mapping[tuple[str, str], Sequence[str]], results: Mapping[str, str]
) -> str:
    cells = [
        _cell(results_by_cell, results, row, column)
        for row in ROWS
        for column in COLUMNS
    ]
    unproved = cells.count("not proved")
    impossible = sum(cell.startswith("cannot occur") for cell in cells)
    failed = sum("failed" in cell for cell in cells)
    return (
        f"{len(cells)} cells: {len(cells) - unproved - impossible} with tests,"
        f" of which {failed} failed; {impossible} cannot occur; {unproved} not proved."
    )


def main(page: str, *results: str) -> None:
    """Merge the result files of one or several runs and write the page."""
    merged: dict[str, str] = {}
    for path in results:
        merged.update(json.loads(Path(path).read_text(encoding="utf-8")))
    Path(page).write_text(render_page(merged), encoding="utf-8")


if __name__ == "__main__":
    main(*sys.argv[1:])
