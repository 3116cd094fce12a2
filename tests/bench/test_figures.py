"""Metrics are computed from callers' answers and upstreams' records."""

from dataclasses import replace

import pytest

from baobabwing.bench.answers import Answer, Verdict
from baobabwing.bench.arrivals import draw_arrivals
from baobabwing.bench.demo import demo_faults, safety_faults
from baobabwing.bench.executions import Executed, by_request, merge_records
from baobabwing.bench.figures import (
    INVERSION_WINDOW_S,
    Run,
    count_inversions,
    prefill_figures,
    quantiles,
    run_figures,
    safety_figures,
)
from baobabwing.bench.scenarios import get_scenario
from baobabwing.bench.shapes import tijera
from baobabwing.bench.tables import figures_text

SECONDS = 3.0
PREFILLED_TOKENS = 100


def _executed(index, *, started_s=1.0, state="finished", upstream="engine-1"):
    return Executed(
        upstream=upstream,
        attempt=f"r{index}.{upstream}",
        key=f"k{index}",
        prompt_tokens=PREFILLED_TOKENS,
        cached_tokens=0,
        prefilled_tokens=PREFILLED_TOKENS,
        output_tokens=10,
        state=state,
        started_s=started_s,
        finished_s=started_s + 0.1,
    )


def _answer(arrival, *, verdict=Verdict.WHOLE, took_s=0.5, code=""):
    end_s = arrival.at_s + took_s
    return Answer(
        index=arrival.index,
        verdict=verdict,
        key=f"k{arrival.index}",
        request_id=f"r{arrival.index}",
        status=200,
        tries=1,
        code=code,
        sent_s=arrival.at_s,
        first_s=end_s,
        end_s=end_s,
    )


@pytest.fixture
def clean_run():
    """Return a run in which every request was answered by one execution."""
    shape = tijera()
    streams = get_scenario("tijera-day").streams
    arrivals = draw_arrivals(shape, streams, seed=1, seconds=SECONDS)
    return Run(
        shape=shape,
        policy="baobabwing",
        fault="",
        seconds=SECONDS,
        arrivals=arrivals,
        answers=[_answer(arrival) for arrival in arrivals],
        executions=[
            _executed(arrival.index, started_s=arrival.at_s) for arrival in arrivals
        ],
        node_cpu_s=1.0,
    )


def _with_answer(run, index, **changes):
    answers = list(run.answers)
    answers[index] = replace(answers[index], **changes)
    return replace(run, answers=answers)


def _first_arrival(run, work):
    return next(one for one in run.arrivals if one.work == work)


def _count_inversions(run):
    return count_inversions(run, by_request(run.answers, run.executions))


def _prefill_figures(run):
    return prefill_figures(run, by_request(run.answers, run.executions))


def _safety_figures(run):
    return safety_figures(run, by_request(run.answers, run.executions))


def test_clean_run_is_all_good(clean_run):
    figures = run_figures(clean_run)
    assert sum(tier.good for tier in figures.tiers) == len(clean_run.arrivals)
    assert figures.prefill.wasted == 0
    assert figures.capacity.share == pytest.approx(1.0)
    assert demo_faults(clean_run, {"node-1": 0}) == []
    assert "wasted prefill: 0 of" in figures_text(figures)


def test_upper_tiers_weigh_more_in_goodput(clean_run):
    lost = {
        work: _with_answer(
            clean_run, _first_arrival(clean_run, work).index, verdict=Verdict.SHED
        )
        for work in ("chat-turn", "colour-history")
    }
    chat, summary = (1.0 - run_figures(run).weighted_goodput for run in lost.values())
    assert run_figures(clean_run).weighted_goodput == pytest.approx(1.0)
    assert chat == pytest.approx(2.0 * summary)


def test_calls_of_services_do_not_count_as_goodput_of_engines(clean_run):
    run = _with_answer(
        clean_run, _first_arrival(clean_run, "slot-check").index, verdict=Verdict.SHED
    )
    assert run_figures(run).weighted_goodput < 1.0
    assert run_figures(run).engine_goodput == pytest.approx(1.0)


def test_whole_answer_past_its_deadline_is_late(clean_run):
    arrival = _first_arrival(clean_run, "chat-turn")
    end_s = arrival.at_s + arrival.deadline_ms / 1_000 + 0.01
    run = _with_answer(clean_run, arrival.index, end_s=end_s)
    chat = next(tier for tier in run_figures(run).tiers if tier.tier == "chat")
    assert (chat.late, chat.good) == (1, chat.offered - 1)
    assert _prefill_figures(run).late == PREFILLED_TOKENS
    assert _prefill_figures(run).wasted == 0


def test_prefill_is_wasted_by_reason(clean_run):
    chat = _first_arrival(clean_run, "chat-turn").index
    rota = _first_arrival(clean_run, "colour-history").index
    run = _with_answer(clean_run, rota, verdict=Verdict.UNKNOWN)
    again = [
        _executed(chat, started_s=9.0, upstream="engine-2"),
        _executed(chat, started_s=0.0, upstream="engine-3", state="cancelled"),
    ]
    figures = _prefill_figures(replace(run, executions=[*run.executions, *again]))
    assert figures.dropped == PREFILLED_TOKENS
    assert figures.duplicated == PREFILLED_TOKENS
    assert figures.recomputed == PREFILLED_TOKENS


@pytest.mark.parametrize(
    ("lower_after_s", "code", "sheds", "inverted"),
    [
        (INVERSION_WINDOW_S / 2, "overloaded", 1, 1),
        (INVERSION_WINDOW_S * 2, "overloaded", 1, 0),
        (-0.01, "overloaded", 1, 0),
        (INVERSION_WINDOW_S / 2, "over_limit", 0, 0),
    ],
)
def test_inversion_is_lower_tier_work_started_soon_after_a_shed(
    clean_run, lower_after_s, code, sheds, inverted
):
    """Guard against missing a priority inversion.

    A chat request is shed, and shortly afterwards an engine of its pool starts a
    lower-tier request, which was therefore admitted when the chat was not.
    """
    chat = _first_arrival(clean_run, "chat-turn")
    lower = _first_arrival(clean_run, "colour-history")
    shed = _answer(chat, verdict=Verdict.SHED, code=code)
    run = replace(
        clean_run,
        answers=[shed if one.index == chat.index else one for one in clean_run.answers],
        executions=[_executed(lower.index, started_s=shed.end_s + lower_after_s)],
    )
    found = _count_inversions(run)
    assert (found.sheds, found.inverted) == (sheds, inverted)


def test_refused_request_that_ran_is_found(clean_run):
    run = _with_answer(clean_run, 0, verdict=Verdict.SHED)
    assert _safety_figures(run).not_run_but_ran == 1


def test_demo_names_what_is_wrong(clean_run):
    """The demonstration must report every violated guarantee.

    One request has no execution, one has two, one answer belongs to another request,
    and one node did not stop gracefully.
    """
    executions = [*clean_run.executions[1:], _executed(2, upstream="engine-2")]
    run = _with_answer(
        replace(clean_run, executions=executions), 1, verdict=Verdict.WRONG, code="x"
    )
    faults = "\n".join(demo_faults(run, {"node-1": 0, "node-2": -9}))
    assert "request 1: wrong x" in faults
    assert "request 0: no execution" in faults
    assert "request 2: ['finished', 'finished']" in faults
    assert "node-2: exit status -9" in faults
    assert "node-1" not in faults


def test_safety_faults_spare_load_but_name_what_must_never_be(clean_run):
    """Late and refused answers are no faults under overload.

    An execution of a refused request and an execution without a request always are.
    """
    refused = _with_answer(clean_run, 3, verdict=Verdict.SHED, code="overloaded")
    kept = [one for one in clean_run.executions if one.key != "k3"]
    assert safety_faults(replace(refused, executions=kept), {"node-1": 0}) == []
    stray = replace(kept[0], key="", attempt="stray", upstream="service-1")
    broken = replace(refused, executions=[*clean_run.executions, stray])
    faults = "\n".join(safety_faults(broken, {"node-1": 0}))
    assert "request 3: overloaded" in faults
    assert "service-1: stray" in faults


def test_executions_without_a_key_are_matched_by_attempt(clean_run):
    without_key = [replace(one, key="") for one in clean_run.executions]
    found = by_request(clean_run.answers, without_key)
    assert set(found) == {one.index for one in clean_run.arrivals}
    unmatched = replace(without_key[0], attempt="other.engine-1")
    assert list(by_request(clean_run.answers, [unmatched])) == [-1]


def test_record_of_a_killed_upstream_keeps_what_was_prefilled():
    """Guard against losing the token counts of a killed engine.

    Its file contains only the entry from the start of the request, without counts,
    which must not override the record fetched just before the kill.
    """
    item = {
        "attempt": "r1.engine-1",
        "key": "k1",
        "prompt_tokens": 50,
        "cached_tokens": 0,
        "prefilled_tokens": 50,
        "output_tokens": 3,
        "state": "running",
        "started_at": 11.0,
        "finished_at": 0.0,
    }
    started = {**item, "prefilled_tokens": 0, "output_tokens": 0, "state": "waiting"}
    (found,) = merge_records("engine-1", [item, started], epoch_s=10.0)
    assert found.prefilled_tokens == 50
    assert found.started_s == 1.0
    ended = {**item, "state": "finished", "finished_at": 12.0}
    (found,) = merge_records("engine-1", [started, ended], epoch_s=10.0)
    assert found.finished


def test_attempt_that_reached_its_upstream_twice_is_two_executions(clean_run):
    """Guard against merging a duplicate dispatch to the same upstream.

    Both executions have the same attempt id but different start times in the record.
    """
    item = {
        "attempt": "r0.engine-1",
        "key": "k0",
        "prompt_tokens": 50,
        "cached_tokens": 0,
        "prefilled_tokens": 50,
        "output_tokens": 3,
        "state": "finished",
        "started_at": 11.0,
        "finished_at": 12.0,
    }
    record = [item, {**item, "started_at": 11.5, "finished_at": 12.5}]
    executions = merge_records("engine-1", record, epoch_s=10.0)
    assert (
        _safety_figures(replace(clean_run, executions=executions)).executed_twice == 1
    )


def test_quantiles_are_nearest_rank():
    found = quantiles([float(value) for value in range(1, 101)])
    assert (found.p50, found.p95, found.p99) == (50.0, 95.0, 99.0)
    assert quantiles([]).count == 0
