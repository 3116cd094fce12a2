"""Correctness checks of a finished run."""

from __future__ import annotations

from collections.abc import Sequence

from baobabwing.bench.answers import Answer, Verdict
from baobabwing.bench.executions import Executed, by_request
from baobabwing.bench.figures import Run

__all__ = ["demo_faults", "safety_faults"]

MAX_LISTED = 5


def demo_faults(run: Run, exits: dict[str, int]) -> list[str]:
    """Return the violations of a run under light load, including safety violations.

    Every request must have been answered completely with its own text and executed
    exactly once to completion, and every node must have stopped gracefully. The
    executions are taken from the upstreams' records.
    """
    executed = by_request(run.answers, run.executions)
    messages = []
    if len(run.answers) != len(run.arrivals):
        messages.append(
            f"{len(run.arrivals) - len(run.answers)} requests have no answer"
        )
    messages += _format_faults("not whole", [_not_whole(item) for item in run.answers])
    messages += _format_faults(
        "not executed exactly once",
        [
            _not_executed_once(item, executed.get(item.index, []))
            for item in run.answers
        ],
    )
    return messages + safety_faults(run, exits)


def safety_faults(run: Run, exits: dict[str, int]) -> list[str]:
    """Return the violations that are errors under any load and any fault.

    These are: a request executed more than once, or executed although its caller was
    told "not run"; a caller that received the text of another request; an execution
    without a request; a node that did not stop gracefully.
    """
    executed = by_request(run.answers, run.executions)
    answers = {answer.index: answer for answer in run.answers}
    messages = _format_faults(
        "executed more than once",
        [
            f"request {index}: {[item.attempt for item in executions]}"
            for index, executions in executed.items()
            if index >= 0 and len(executions) > 1
        ],
    )
    messages += _format_faults(
        '"not run" but executed',
        [
            f"request {index}: {answers[index].code}"
            for index in executed
            if index >= 0 and answers[index].verdict is Verdict.SHED
        ],
    )
    messages += _format_faults(
        "another text than the request's own",
        [
            f"request {item.index}"
            for item in run.answers
            if item.verdict is Verdict.WRONG
        ],
    )
    messages += _format_faults(
        "executed for no request",
        [f"{item.upstream}: {item.attempt}" for item in executed.get(-1, [])],
    )
    return messages + _format_faults(
        "no graceful stop",
        [f"{name}: exit status {status}" for name, status in exits.items() if status],
    )


def _not_whole(answer: Answer) -> str:
    if answer.verdict is Verdict.WHOLE:
        return ""
    return f"request {answer.index}: {answer.verdict} {answer.code}".rstrip()


def _not_executed_once(answer: Answer, executions: Sequence[Executed]) -> str:
    states = [item.state for item in executions]
    if len(executions) == 1 and executions[0].finished:
        return ""
    return f"request {answer.index}: {states or 'no execution'}"


def _format_faults(label: str, faults: Sequence[str]) -> list[str]:
    present = [fault for fault in faults if fault]
    if not present:
        return []
    more = (
        f", and {len(present) - MAX_LISTED} more" if len(present) > MAX_LISTED else ""
    )
    return [f"{label}: {'; '.join(present[:MAX_LISTED])}{more}"]
