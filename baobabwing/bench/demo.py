"""Checks that a run went as it must."""

from __future__ import annotations

from collections.abc import Sequence

from baobabwing.bench.answers import Answer, Verdict
from baobabwing.bench.executions import Executed, by_request
from baobabwing.bench.figures import Run

__all__ = ["demo_faults", "safety_faults"]

NAMED = 5


def demo_faults(run: Run, exits: dict[str, int]) -> list[str]:
    """Return what is wrong with a run under light load; nothing if all is well.

    Every request must have been answered whole with its own text, executed by
    exactly one upstream exactly once and to its end, and every node must have
    stopped gracefully. What was executed is taken from the upstreams' records.
    """
    executed = by_request(run.answers, run.executions)
    found = []
    if len(run.answers) != len(run.arrivals):
        found.append(f"{len(run.arrivals) - len(run.answers)} requests have no answer")
    found += _name("not whole", [_not_whole(one) for one in run.answers])
    found += _name(
        "not executed exactly once",
        [_not_once(one, executed.get(one.index, [])) for one in run.answers],
    )
    return found + safety_faults(run, exits)


def safety_faults(run: Run, exits: dict[str, int]) -> list[str]:
    """Return what must never be in any run, whatever the load and the fault.

    A request was executed twice, or although its caller was told "not run"; a caller
    got another text than its own; an upstream executed what nobody asked for; a node
    did not stop gracefully.
    """
    executed = by_request(run.answers, run.executions)
    answers = {answer.index: answer for answer in run.answers}
    found = _name(
        "executed more than once",
        [
            f"request {index}: {[one.attempt for one in executions]}"
            for index, executions in executed.items()
            if index >= 0 and len(executions) > 1
        ],
    )
    found += _name(
        '"not run" but executed',
        [
            f"request {index}: {answers[index].code}"
            for index in executed
            if index >= 0 and answers[index].verdict is Verdict.SHED
        ],
    )
    found += _name(
        "another text than the request's own",
        [f"request {one.index}" for one in run.answers if one.verdict is Verdict.WRONG],
    )
    found += _name(
        "executed for no request",
        [f"{one.upstream}: {one.attempt}" for one in executed.get(-1, [])],
    )
    return found + _name(
        "no graceful stop",
        [f"{name}: exit status {status}" for name, status in exits.items() if status],
    )


def _not_whole(answer: Answer) -> str:
    if answer.verdict is Verdict.WHOLE:
        return ""
    return f"request {answer.index}: {answer.verdict} {answer.code}".rstrip()


def _not_once(answer: Answer, executions: Sequence[Executed]) -> str:
    states = [one.state for one in executions]
    if len(executions) == 1 and executions[0].finished:
        return ""
    return f"request {answer.index}: {states or 'no execution'}"


def _name(label: str, faults: Sequence[str]) -> list[str]:
    there = [fault for fault in faults if fault]
    if not there:
        return []
    more = f", and {len(there) - NAMED} more" if len(there) > NAMED else ""
    return [f"{label}: {'; '.join(there[:NAMED])}{more}"]
