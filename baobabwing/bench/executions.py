"""Executions according to the records of the upstreams."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from baobabwing.bench.answers import Answer

__all__ = ["Executed", "by_request", "merge_records", "read_record_file"]

FINISHED = "finished"


@dataclass(frozen=True, kw_only=True)
class Executed:
    """Execution of a request by an upstream.

    Times are in seconds from the start of the run.

    :param state: ``waiting``, ``running``, ``finished`` or ``cancelled``.
    """

    upstream: str
    attempt: str
    key: str
    prompt_tokens: int
    cached_tokens: int
    prefilled_tokens: int
    output_tokens: int
    state: str
    started_s: float
    finished_s: float

    @property
    def finished(self) -> bool:
        """Whether the upstream completed the execution."""
        return self.state == FINISHED


def merge_records(
    upstream: str, documents: Iterable[Mapping[str, Any]], *, epoch_s: float
) -> list[Executed]:
    """Return the executions of an upstream, each with its last known state.

    :param documents: entries in the order in which they were written; an execution
        may have several.
    :param epoch_s: wall-clock time of the start of the run.
    """
    latest: dict[tuple[str, float], Mapping[str, Any]] = {}
    for document in documents:
        # The attempt alone is not sufficient: if an attempt reached its upstream
        # twice, both executions would be merged and the fault would go undetected.
        execution_id = document["attempt"], document["started_at"]
        previous = latest.get(execution_id)
        # An entry fetched over HTTP is more detailed for a running request than one
        # from the file.
        if (
            previous is None
            or document["finished_at"]
            or not previous["prefilled_tokens"]
        ):
            latest[execution_id] = document
    return [_executed(upstream, item, epoch_s) for item in latest.values()]


def read_record_file(path: Path) -> list[dict[str, Any]]:
    """Read the record file of a stand-in, which remains after its process ends.

    Incomplete lines are ignored.
    """
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8").splitlines()
    return [json.loads(line) for line in lines if line.endswith("}")]


def by_request(
    answers: Iterable[Answer], executions: Iterable[Executed]
) -> dict[int, list[Executed]]:
    """Group executions by the index of the arrival that caused them.

    They are matched by idempotency key or, if the upstream recorded none, by the
    request id with which the attempt id starts. Executions that match no request
    have the index -1.
    """
    by_key: dict[str, int] = {}
    by_id: dict[str, int] = {}
    for answer in answers:
        by_key[answer.key] = answer.index
        if answer.request_id:
            by_id[answer.request_id] = answer.index
    matched: dict[int, list[Executed]] = defaultdict(list)
    for execution in sorted(executions, key=lambda item: item.started_s):
        request_id = execution.attempt.partition(".")[0]
        index = by_key.get(execution.key) if execution.key else by_id.get(request_id)
        matched[-1 if index is None else index].append(execution)
    return matched


def _executed(upstream: str, item: Mapping[str, Any], epoch_s: float) -> Executed:
    finished_at = item["finished_at"]
    return Executed(
        upstream=upstream,
        attempt=item["attempt"],
        key=item["key"],
        prompt_tokens=item["prompt_tokens"],
        cached_tokens=item["cached_tokens"],
        prefilled_tokens=item["prefilled_tokens"],
        output_tokens=item["output_tokens"],
        state=item["state"],
        started_s=item["started_at"] - epoch_s,
        finished_s=finished_at - epoch_s if finished_at else 0.0,
    )
