"""Metrics of a run, computed from callers' answers and upstreams' records."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from baobabwing.bench.answers import Answer, Verdict
from baobabwing.bench.arrivals import Arrival
from baobabwing.bench.capacity import Job, max_work_within_deadlines, pool_seconds
from baobabwing.bench.executions import Executed, by_request
from baobabwing.bench.shapes import Shape
from baobabwing.pools.permits import RefusalCode

__all__ = [
    "INVERSION_WINDOW_S",
    "NON_LOAD_REFUSALS",
    "CapacityFigures",
    "Inversions",
    "PrefillFigures",
    "Quantiles",
    "Run",
    "RunFigures",
    "SafetyFigures",
    "TierFigures",
    "capacity_figures",
    "count_inversions",
    "prefill_figures",
    "quantiles",
    "run_figures",
    "safety_figures",
    "tier_figures",
    "weighted_goodput",
]

MS_PER_S = 1_000.0
# Ratio of the weight of a good answer to that of one in the next lower tier.
TIER_WEIGHT_RATIO = 2.0
# If an upstream starts lower-tier work within this time after a request to the same
# pool was shed, the lower tier was still being admitted. See docs/operators/bench.md
# for the false negatives and false positives of this heuristic.
INVERSION_WINDOW_S = 0.05
# Refusals that are not caused by load: the caller's own limits and deadline, and keys
# that are already in use or cannot be claimed.
NON_LOAD_REFUSALS = frozenset(
    {
        RefusalCode.DEADLINE,
        RefusalCode.DUPLICATE,
        RefusalCode.CLOSED,
        "over_limit",
        "first_not_run",
        "claim_unavailable",
    }
)


@dataclass(frozen=True, kw_only=True)
class Run:
    """Recorded data of a run.

    :param answers: one for each arrival that was sent.
    :param seconds: duration of the offered load.
    :param node_cpu_s: CPU time of all nodes while load was offered.
    """

    shape: Shape
    policy: str
    fault: str
    seconds: float
    arrivals: Sequence[Arrival]
    answers: Sequence[Answer]
    executions: Sequence[Executed]
    node_cpu_s: float


@dataclass(frozen=True, kw_only=True)
class Quantiles:
    """Quantiles of times in milliseconds; all zero if there are no values."""

    count: int
    p50: float
    p95: float
    p99: float


@dataclass(frozen=True, kw_only=True)
class TierFigures:
    """Results of the requests of a tier.

    :param good: complete answers within the deadline.
    :param late: complete answers after the deadline.
    :param unknown: answers that broke off, or whose outcome the system reported as
        unknown.
    :param wrong: answers with a text that does not belong to the request.
    :param error: any other answer or none.
    :param first_token: time from the scheduled sending time to the first token;
        streams only.
    :param between_tokens: time between consecutive tokens; streams only.
    :param whole: time from the scheduled sending time to the end of the answer;
        complete answers only.
    """

    tier: str
    rank: int
    offered: int
    good: int
    late: int
    shed: int
    unknown: int
    wrong: int
    error: int
    first_token: Quantiles
    between_tokens: Quantiles
    whole: Quantiles


@dataclass(frozen=True, kw_only=True)
class PrefillFigures:
    """Prompt tokens that the engines prefilled, in total and wasted.

    :param dropped: for requests whose caller received no complete answer.
    :param duplicated: for executions that completed in addition to another one.
    :param recomputed: for executions that did not complete and were repeated.
    :param late: for complete answers after their deadline; not counted as wasted.
    """

    total: int
    dropped: int
    duplicated: int
    recomputed: int
    late: int

    @property
    def wasted(self) -> int:
        """Total number of wasted tokens."""
        return self.dropped + self.duplicated + self.recomputed


@dataclass(frozen=True, kw_only=True)
class Inversions:
    """Priority inversions: requests shed while lower tiers were admitted.

    :param sheds: requests refused for lack of capacity.
    :param inverted: sheds after which lower-tier work of the same pool started within
        ``INVERSION_WINDOW_S``.
    """

    sheds: int
    inverted: int


@dataclass(frozen=True, kw_only=True)
class SafetyFigures:
    """Numbers of safety violations.

    :param executed_twice: requests that were executed more than once.
    :param not_run_but_ran: requests that ran although the caller was told "not run".
    :param wrong_text: answers with a text that does not belong to the request.
    :param unmatched: executions that belong to no request of the run.
    """

    executed_twice: int
    not_run_but_ran: int
    wrong_text: int
    unmatched: int


@dataclass(frozen=True, kw_only=True)
class CapacityFigures:
    """Engine time of good answers compared with the capacity of the engines.

    :param offered: pool-seconds of all requests to engines.
    :param limit: upper bound of the pool-seconds that can be done within deadlines.
    :param good: pool-seconds of requests answered completely within their deadline.
    """

    offered: float
    limit: float
    good: float

    @property
    def share(self) -> float:
        """Good work as a fraction of the limit."""
        return self.good / self.limit if self.limit else 0.0


@dataclass(frozen=True, kw_only=True)
class RunFigures:
    """Metrics of a run.

    :param weighted_goodput: fraction of the offered requests that were answered
        completely within the deadline; requests of a tier have twice the weight of
        those of the next lower tier.
    :param engine_goodput: the same for requests to engines only.
    :param node_ms_per_request: CPU time of all nodes per request.
    :param sending_lag: delay of the load client against its schedule.
    :param asked_again: requests that were retried because their answer broke off.
    :param recovered: retried requests that were finally answered completely.
    """

    policy: str
    fault: str
    seconds: float
    tiers: tuple[TierFigures, ...]
    prefill: PrefillFigures
    inversions: Inversions
    safety: SafetyFigures
    capacity: CapacityFigures
    weighted_goodput: float
    engine_goodput: float
    node_ms_per_request: float
    sending_lag: Quantiles
    asked_again: int
    recovered: int
    codes: dict[str, int]


def run_figures(run: Run) -> RunFigures:
    """Compute the metrics of a run."""
    executed = by_request(run.answers, run.executions)
    lags_ms = [
        (answer.sent_s - run.arrivals[answer.index].at_s) * MS_PER_S
        for answer in run.answers
        if answer.tries == 1
    ]
    retried = [answer for answer in run.answers if answer.tries > 1]
    codes = Counter(
        f"{answer.verdict}:{answer.code}"
        for answer in run.answers
        if answer.verdict is not Verdict.WHOLE
    )
    return RunFigures(
        policy=run.policy,
        fault=run.fault,
        seconds=run.seconds,
        tiers=tier_figures(run),
        prefill=prefill_figures(run, executed),
        inversions=count_inversions(run, executed),
        safety=safety_figures(run, executed),
        capacity=capacity_figures(run),
        weighted_goodput=weighted_goodput(run),
        engine_goodput=weighted_goodput(run, engines_only=True),
        node_ms_per_request=run.node_cpu_s * MS_PER_S / max(1, len(run.answers)),
        sending_lag=quantiles(lags_ms),
        asked_again=len(retried),
        recovered=sum(one.verdict is Verdict.WHOLE for one in retried),
        codes=dict(sorted(codes.items())),
    )


def quantiles(values: Sequence[float]) -> Quantiles:
    """Compute quantiles by the nearest-rank method."""
    ordered = sorted(values)
    if not ordered:
        return Quantiles(count=0, p50=0.0, p95=0.0, p99=0.0)

    def _nearest_rank(share: float) -> float:
        return round(ordered[max(0, math.ceil(share * len(ordered)) - 1)], 2)

    return Quantiles(
        count=len(ordered),
        p50=_nearest_rank(0.5),
        p95=_nearest_rank(0.95),
        p99=_nearest_rank(0.99),
    )


def tier_figures(run: Run) -> tuple[TierFigures, ...]:
    """Compute the results of each tier, highest tier first."""
    groups: dict[str, list[Answer]] = defaultdict(list)
    for answer in run.answers:
        groups[run.arrivals[answer.index].tier].append(answer)
    tiers = sorted(run.shape.tiers, key=lambda tier: tier.rank)
    return tuple(
        _figures_of_tier(run, tier.name, tier.rank, groups[tier.name]) for tier in tiers
    )


def weighted_goodput(run: Run, *, engines_only: bool = False) -> float:
    """Return the weighted fraction of good requests; 1 if there are no requests.

    :param engines_only: exclude calls of plain services, which load no engine.
    """
    ranks = {tier.name: tier.rank for tier in run.shape.tiers}
    good = offered = 0.0
    for answer in run.answers:
        arrival = run.arrivals[answer.index]
        if engines_only and not arrival.to_engine:
            continue
        weight = TIER_WEIGHT_RATIO ** -ranks[arrival.tier]
        offered += weight
        if _is_good(arrival, answer):
            good += weight
    return good / offered if offered else 1.0


def prefill_figures(
    run: Run, executed: Mapping[int, Sequence[Executed]]
) -> PrefillFigures:
    """Count the prefilled tokens by the outcome of their execution."""
    answers = {answer.index: answer for answer in run.answers}
    tokens: Counter[str] = Counter()
    for index, executions in executed.items():
        answer = answers.get(index)
        whole = answer is not None and answer.verdict is Verdict.WHOLE
        useful = _useful_execution(executions) if whole else None
        for one in executions:
            outcome = _prefill_outcome(run, answer, one, useful)
            tokens[outcome] += one.prefilled_tokens
    return PrefillFigures(
        total=sum(tokens.values()),
        dropped=tokens["dropped"],
        duplicated=tokens["duplicated"],
        recomputed=tokens["recomputed"],
        late=tokens["late"],
    )


def count_inversions(
    run: Run, executed: Mapping[int, Sequence[Executed]]
) -> Inversions:
    """Count sheds that were followed by the start of lower-tier work in the pool."""
    starts: dict[tuple[str, int], list[float]] = defaultdict(list)
    for index, executions in executed.items():
        if index < 0:
            continue
        arrival = run.arrivals[index]
        starts[arrival.pool, arrival.rank] += [one.started_s for one in executions]
    for times in starts.values():
        times.sort()
    sheds = [
        answer
        for answer in run.answers
        if answer.verdict is Verdict.SHED and answer.code not in NON_LOAD_REFUSALS
    ]
    inverted = sum(_is_inverted(run.arrivals[one.index], one, starts) for one in sheds)
    return Inversions(sheds=len(sheds), inverted=inverted)


def safety_figures(
    run: Run, executed: Mapping[int, Sequence[Executed]]
) -> SafetyFigures:
    """Count the safety violations."""
    shed = {one.index for one in run.answers if one.verdict is Verdict.SHED}
    return SafetyFigures(
        executed_twice=sum(
            len(executions) > 1 for index, executions in executed.items() if index >= 0
        ),
        not_run_but_ran=sum(index in shed for index in executed),
        wrong_text=sum(one.verdict is Verdict.WRONG for one in run.answers),
        unmatched=len(executed.get(-1, ())),
    )


def capacity_figures(run: Run) -> CapacityFigures:
    """Weight good answers by a lower bound of the engine time that they need.

    The limit is an upper bound: it assumes full batches, cached shared prompt
    prefixes, advance knowledge of all arrivals and credit for partly completed
    requests.
    """
    good = offered = 0.0
    jobs: dict[str, list[Job]] = defaultdict(list)
    for answer in run.answers:
        arrival = run.arrivals[answer.index]
        if not arrival.to_engine:
            continue
        work = pool_seconds(
            run.shape,
            arrival.pool,
            prefill_tokens=arrival.own_tokens,
            output_tokens=arrival.output_tokens,
        )
        offered += work
        if _is_good(arrival, answer):
            good += work
        deadline_s = arrival.at_s + arrival.deadline_ms / MS_PER_S
        job = Job(start_s=arrival.at_s, deadline_s=deadline_s, work=work)
        jobs[arrival.pool].append(job)
    limit = sum(max_work_within_deadlines(pool_jobs) for pool_jobs in jobs.values())
    return CapacityFigures(offered=offered, limit=limit, good=good)


def _figures_of_tier(
    run: Run, name: str, rank: int, answers: Sequence[Answer]
) -> TierFigures:
    verdicts = Counter(answer.verdict for answer in answers)
    whole = [answer for answer in answers if answer.verdict is Verdict.WHOLE]
    good = sum(_is_good(run.arrivals[one.index], one) for one in whole)
    streams = [one for one in whole if run.arrivals[one.index].stream]
    return TierFigures(
        tier=name,
        rank=rank,
        offered=len(answers),
        good=good,
        late=len(whole) - good,
        shed=verdicts[Verdict.SHED],
        unknown=verdicts[Verdict.UNKNOWN],
        wrong=verdicts[Verdict.WRONG],
        error=verdicts[Verdict.ERROR],
        first_token=quantiles([_elapsed_ms(run, one, one.first_s) for one in streams]),
        between_tokens=quantiles([gap for one in streams for gap in one.gaps_ms]),
        whole=quantiles([_elapsed_ms(run, one, one.end_s) for one in whole]),
    )


def _elapsed_ms(run: Run, answer: Answer, at_s: float) -> float:
    """Return the time since the scheduled sending time.

    It includes the delay of the load client itself.
    """
    return (at_s - run.arrivals[answer.index].at_s) * MS_PER_S


def _is_good(arrival: Arrival, answer: Answer) -> bool:
    in_time = (answer.end_s - arrival.at_s) * MS_PER_S <= arrival.deadline_ms
    return answer.verdict is Verdict.WHOLE and in_time


def _useful_execution(executions: Sequence[Executed]) -> Executed | None:
    finished = [one for one in executions if one.finished]
    return finished[0] if finished else executions[-1]


def _prefill_outcome(
    run: Run, answer: Answer | None, one: Executed, useful: Executed | None
) -> str:
    if useful is None or answer is None:
        return "dropped"
    if one is useful:
        good = _is_good(run.arrivals[answer.index], answer)
        return "good" if good else "late"
    return "duplicated" if one.finished else "recomputed"


def _is_inverted(
    arrival: Arrival,
    answer: Answer,
    starts: Mapping[tuple[str, int], Sequence[float]],
) -> bool:
    shed_s = answer.end_s
    for (pool, rank), times in starts.items():
        if pool != arrival.pool or rank <= arrival.rank:
            continue
        position = bisect_left(times, shed_s)
        if position < len(times) and times[position] <= shed_s + INVERSION_WINDOW_S:
            return True
    return False
