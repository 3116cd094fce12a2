"""Generated histories of a cell, checked against a simple oracle.

The oracle models requests, decisions and ends, but no queues, fair shares or
learned speeds. It checks that:

- each request gets exactly one decision, unless it is withdrawn or its entry
  dies; a duplicate within the retention time of endings gets no different one;
- the requests in flight are those that were granted and have not ended;
- no upstream exceeds its capacity or gets new requests while it is leaving;
- a lower tier is granted an upstream only if no request of a higher tier is
  queued that could meet its deadline on the same upstream if that were idle;
- a request is dropped for overload only when no lower tier is queued;
- right after a request is refused for load, no lower tier is admitted.
"""

from hypothesis import HealthCheck, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    initialize,
    invariant,
    rule,
)

from baobabwing.pools.catalogue import Pool, PoolKind, Upstream, UpstreamState
from baobabwing.pools.cell import Cell
from baobabwing.pools.permits import (
    Grant,
    InflightPermit,
    Outcome,
    PermitEnd,
    PlacementRequest,
    RefusalCode,
)
from baobabwing.pools.placements import ENDING_RETENTION_S

CAPACITIES = {"u0": 1, "u1": 3, "u2": 5, "u3": 8}
QUEUE_LIMIT = 6
FOR_LOAD = (RefusalCode.OVERLOADED, RefusalCode.QUEUE_TOO_LONG)
LONGEST_ORPHAN_S = 31.0
TOKENS = 10
STEP_S = 0.008
PREFILL_TOKENS_PER_S = 8000.0
SERVICE_S = 0.02
SERVICE_ESTIMATE_FACTOR = 0.9
ENTRIES = ("n1#1", "n2#1", "n3#1")


class Oracle:
    """The expected state of the cell, derived from messages alone."""

    def __init__(self):
        self.waiting = {}
        self.running = {}
        self.decided = {}
        self.submitted = {}


class CellHistories(RuleBasedStateMachine):
    requests = Bundle("requests")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.count = 0
        self.oracle = Oracle()
        self.closed_below = None
        self.states = dict.fromkeys(CAPACITIES, UpstreamState.ACTIVE)

    @initialize(kind=st.sampled_from(PoolKind))
    def start(self, kind):
        self.pool = Pool(name="p", kind=kind, queue_limit=QUEUE_LIMIT)
        self.make_home()

    def make_home(self):
        self.cell = Cell(name="c", now=self.now)
        self.check_decisions(self.cell.configure(self.pool, self.upstreams(), self.now))

    def upstreams(self):
        return [
            Upstream(
                name=name,
                pool="p",
                address=f"127.0.0.1:{9000 + i}",
                capacity=CAPACITIES[name],
                state=state,
            )
            for i, (name, state) in enumerate(self.states.items())
            if state is not None
        ]

    def check_decisions(self, decisions):
        """Check decisions against the rules, in the order they were made."""
        oracle = self.oracle
        for decision in decisions:
            request_id = decision.request_id
            assert request_id in oracle.waiting, (
                "decision on a request that is not waiting"
            )
            request = oracle.waiting.pop(request_id)
            oracle.decided[request_id] = self.now
            assert decision.entry == request.entry
            if isinstance(decision, Grant):
                assert decision.upstream not in request.exclude
                assert self.states[decision.upstream] is UpstreamState.ACTIVE
                oracle.running[request_id] = (decision.upstream, request)
                self.check_no_inversion(decision.upstream, request)
            else:
                assert decision.retry_after_s > 0.0
                if decision.code == RefusalCode.OVERLOADED:
                    lower = [
                        other
                        for other in oracle.waiting.values()
                        if other.tier_rank > request.tier_rank
                    ]
                    assert not lower, "dropped with lower tiers queued"

    def check_no_inversion(self, upstream, request):
        for other in self.oracle.waiting.values():
            if other.tier_rank < request.tier_rank:
                useless = upstream in other.exclude or self.too_slow_for(other)
                assert useless, "a lower tier was granted first"

    def too_slow_for(self, request):
        """Whether not even an idle upstream could meet the deadline."""
        return (
            SERVICE_ESTIMATE_FACTOR * self.run_time(request)
            > request.deadline - self.now
        )

    def run_time(self, request):
        if self.pool.kind is PoolKind.SERVICE:
            return SERVICE_S
        return request.prompt_tokens / PREFILL_TOKENS_PER_S + TOKENS * STEP_S

    def check_event(self, decisions):
        """Check the decisions that follow an event that may free slots."""
        self.closed_below = None
        self.check_decisions(decisions)

    @rule(
        target=requests,
        rank=st.integers(0, 3),
        organisation=st.sampled_from(["a", "b", "c"]),
        entry=st.sampled_from(ENTRIES),
        budget=st.sampled_from([0.0001, 0.3, 2.0, 100.0, 1000.0]),
        prompt=st.sampled_from([0, 50, 3000, 20000]),
        exclude=st.sampled_from([(), (), (), ("u0", "u1"), ("u3",)]),
    )
    def submit(self, rank, organisation, entry, budget, prompt, exclude):
        self.count += 1
        request = PlacementRequest(
            request_id=f"r{self.count}",
            entry=entry,
            pool="p",
            organisation=organisation,
            tier_rank=rank,
            deadline=self.now + budget,
            prompt_tokens=prompt,
            output_tokens=TOKENS,
            exclude=exclude,
            key=f"k{self.count}",
        )
        self.oracle.submitted[request.request_id] = request
        self.oracle.waiting[request.request_id] = request
        decisions = self.cell.submit(request, self.now)
        self.check_decisions(decisions)
        self.check_closed(request, decisions)
        return request

    def check_closed(self, request, decisions):
        refused = {d.request_id: d for d in decisions if not isinstance(d, Grant)}
        if self.closed_below is not None and request.tier_rank > self.closed_below:
            assert request.request_id in refused, "admitted below a refused tier"
        for request_id, refusal in refused.items():
            if refusal.code in FOR_LOAD:
                rank = self.oracle.submitted[request_id].tier_rank
                before = self.closed_below
                self.closed_below = rank if before is None else min(before, rank)
                assert self.cell.floor() < rank

    @rule(request=requests)
    def repeat(self, request):
        """The same request arrives again."""
        waiting = request.request_id in self.oracle.waiting
        decisions = self.cell.submit(request, self.now)
        running = self.oracle.running.get(request.request_id)
        if waiting:
            assert decisions == []
        elif running is not None:
            assert [d.upstream for d in decisions] == [running[0]]
        elif self.is_remembered(request):
            assert not any(isinstance(d, Grant) for d in decisions)
        else:
            # Withdrawn, released unused, or ended before the retention time.
            self.oracle.waiting[request.request_id] = request
            self.check_decisions(decisions)
            self.closed_below = None

    def is_remembered(self, request):
        """Whether the cell must still have the decision on the request."""
        decided_at = self.oracle.decided.get(request.request_id, -ENDING_RETENTION_S)
        return self.now < decided_at + ENDING_RETENTION_S

    @rule(request=requests, outcome=st.sampled_from(Outcome))
    def end(self, request, outcome):
        running = self.oracle.running.pop(request.request_id, None)
        upstream = running[0] if running else "u0"
        end = PermitEnd(
            request_id=request.request_id,
            upstream=upstream,
            outcome=outcome,
            first_token_s=request.prompt_tokens / PREFILL_TOKENS_PER_S,
            tokens=TOKENS + 1,
            duration_s=self.run_time(request),
            prompt_tokens=request.prompt_tokens,
        )
        if running and outcome in (Outcome.UNUSED, Outcome.NOT_ADMITTED):
            self.oracle.decided.pop(request.request_id, None)
        self.check_event(self.cell.end_permit(end, self.now))

    @rule(request=consumes(requests))
    def withdraw(self, request):
        self.oracle.waiting.pop(request.request_id, None)
        self.oracle.running.pop(request.request_id, None)
        self.check_event(
            self.cell.withdraw(request.request_id, request.entry, self.now)
        )

    @rule(seconds=st.sampled_from([0.02, 0.3, 3.0]))
    def wait(self, seconds):
        self.now += seconds
        self.check_event(self.cell.tick(self.now))

    @rule(
        name=st.sampled_from(sorted(CAPACITIES)),
        state=st.sampled_from([UpstreamState.ACTIVE, UpstreamState.LEAVING, None]),
    )
    def reconfigure(self, name, state):
        self.states[name] = state
        self.check_event(self.cell.configure(self.pool, self.upstreams(), self.now))

    @rule(entry=st.sampled_from(ENTRIES))
    def entry_dies(self, entry):
        oracle = self.oracle
        for request_id, request in list(oracle.waiting.items()):
            if request.entry == entry:
                del oracle.waiting[request_id]
        self.check_event(self.cell.remove_entry(entry, self.now))
        self.now += LONGEST_ORPHAN_S
        for request_id, (_, request) in list(oracle.running.items()):
            if request.entry == entry:
                del oracle.running[request_id]
        self.check_event(self.cell.tick(self.now))

    @rule(name=st.sampled_from(sorted(CAPACITIES)))
    def engine_restarts(self, name):
        self.check_event(self.cell.apply_cache_events(name, self.now, cleared=True))

    @rule()
    def home_is_replaced(self):
        """A new home gets reports of requests in flight and the queued requests.

        It has no record of ended requests. Their entries do not submit them
        again.
        """
        self.oracle.decided.clear()
        reports = [
            InflightPermit(
                request_id=request_id,
                entry=request.entry,
                upstream=upstream,
                key=request.key,
                prompt_tokens=request.prompt_tokens,
                output_tokens=request.output_tokens,
                organisation=request.organisation,
                tier_rank=request.tier_rank,
            )
            for request_id, (upstream, request) in self.oracle.running.items()
        ]
        self.closed_below = None
        self.make_home()
        self.cell.hold(self.now + 5.0)
        self.check_decisions(self.cell.adopt(reports, self.now))
        for request in list(self.oracle.waiting.values()):
            self.check_decisions(self.cell.submit(request, self.now))
        self.check_event(self.cell.release())

    @invariant()
    def in_flight_is_granted_minus_ended(self):
        if not hasattr(self, "cell"):
            return
        snapshot = self.cell.snapshot()
        assert snapshot.in_flight == len(self.oracle.running)
        assert sum(t.count for t in snapshot.queued) == len(self.oracle.waiting)
        assert len(self.oracle.waiting) <= QUEUE_LIMIT

    @invariant()
    def capacity_is_kept(self):
        for name, capacity in CAPACITIES.items():
            used = sum(u == name for u, _ in self.oracle.running.values())
            assert used <= capacity, f"{used} on {name}"

    @invariant()
    def running_requests_are_found_by_key(self):
        for request_id, (upstream, request) in self.oracle.running.items():
            placement = self.cell.last_placement(request.key)
            assert (placement.request_id, placement.upstream) == (request_id, upstream)


CellHistories.TestCase.settings = settings(
    max_examples=100,
    stateful_step_count=60,
    deadline=None,
    database=None,
    derandomize=True,
    report_multiple_bugs=False,
    suppress_health_check=list(HealthCheck),
)
TestCellHistories = seed(20261202)(CellHistories.TestCase)
