"""The rollouts of all pools at one node: which upstreams a request may go to."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable, Sequence
from random import Random

from baobabwing.gateway.decisions.policies import make_scheduler
from baobabwing.gateway.decisions.rollouts import Rollout, RolloutPhase
from baobabwing.gateway.decisions.scheduling import (
    Grant,
    PlacementRequest,
    PoolScheduler,
)
from baobabwing.gateway.decisions.stream_origins import software_crc
from baobabwing.gateway.decisions.tracking import FIRST_EVENT_S, PREFILL_TOKENS_PER_S
from baobabwing.gateway.decisions.version_evidence import (
    Aspect,
    EvidenceCounts,
    SeriesKey,
    time_class,
)
from baobabwing.gateway.events import ROLLOUT_ORDERED, ROLLOUT_PHASE
from baobabwing.gateway.model import EngineSpec, RolloutOrder, Route, UpstreamEntry
from baobabwing.gateway.placement.codec import name_crc
from baobabwing.gateway.settings import GatewaySettings
from baobabwing.reports.events import log

__all__ = ["PoolRollout", "Rollouts"]

_MS_PER_S = 1000.0
# A first event that takes as long as the baseline is in the middle of the classes.
_BASELINE_UNITS = 64.0


class PoolRollout:
    """The rollout of one pool, its new upstreams and this node's evidence on them.

    :param scheduler: places requests at the upstreams that only some requests may go
        to: the new ones for canary requests, and the old ones, once all others go to
        the new version, for streams that they began. These are in no cell: so few
        requests go there that a node need not ask a home.
    """

    def __init__(self, *, rollout: Rollout, scheduler: PoolScheduler) -> None:
        self.rollout = rollout
        self.scheduler = scheduler
        self.evidence = EvidenceCounts()
        self._entries: tuple[UpstreamEntry, ...] = ()

    def list_upstreams(self, entries: Sequence[UpstreamEntry]) -> list[UpstreamEntry]:
        """Take the pool's upstreams; return those for all but the canary requests."""
        rollout = self.rollout
        self._entries = tuple(entries)
        rollout.list_versions(entries)
        if rollout.phase is RolloutPhase.CANARY and not rollout.knows_other_versions:
            # The version is in service already, by an earlier order.
            self.scheduler.set_upstreams(entries)
            return list(entries)
        self.scheduler.set_upstreams(
            entry for entry in entries if not rollout.serves(entry)
        )
        return [entry for entry in entries if rollout.serves(entry)]

    def place_canary(self, request: PlacementRequest, now: float) -> Grant | None:
        """Grant a request a slot at a new upstream, if one is free at once."""
        allowed = self.rollout.canary_instances(self._entries, now)
        canary_request = dataclasses.replace(
            request, excluded=request.excluded | (set(self.scheduler.tracks) - allowed)
        )
        return self._place_now(canary_request, now)

    def place_begun(
        self, request: PlacementRequest, now: float, *, nodes: int
    ) -> Grant | None:
        """Grant a stream that goes on a slot at its version, if one is free at once.

        One of the new version counts as a canary request.
        """
        is_new = request.software == software_crc(self.rollout.order.version)
        if is_new and not self.rollout.may_expose(now, nodes=nodes):
            return None
        return self._place_now(request, now)

    def _place_now(self, request: PlacementRequest, now: float) -> Grant | None:
        self.scheduler.submit(request)
        grants = self.scheduler.grants(now)
        if not grants:
            self.scheduler.withdraw(request)
        return grants[0] if grants else None


class Rollouts:
    """Rollouts by pool.

    :param settings: exposure budget, and the policy of schedulers.
    :param rng: draws the canary requests.
    :ivar settings: applied to orders that come from now on.
    :ivar on_change: called with the name of a pool whose requests may now go to other
        upstreams.
    :ivar on_order: called with each new order.
    """

    def __init__(self, *, settings: GatewaySettings, rng: Random) -> None:
        self.settings = settings
        self._rng = rng
        self._by_pool: dict[str, PoolRollout] = {}
        self._verdicts: dict[str, tuple[int, RolloutPhase]] = {}
        self.on_change: Callable[[str], None] = lambda pool: None
        self.on_order: Callable[[], None] = lambda: None

    def __bool__(self) -> bool:
        return bool(self._by_pool)

    @property
    def running(self) -> int:
        """Number of rollouts without a verdict."""
        return sum(not known.rollout.phase.is_final for known in self._by_pool.values())

    def get(self, pool: str) -> PoolRollout | None:
        """Return the rollout of a pool; ``None`` without an order."""
        return self._by_pool.get(pool)

    def items(self) -> list[tuple[str, PoolRollout]]:
        """Return all rollouts, with the names of their pools."""
        return list(self._by_pool.items())

    def take_orders(
        self,
        orders: Iterable[RolloutOrder],
        engines: Callable[[str], EngineSpec | None],
        now: float,
    ) -> None:
        """Apply the operator's present orders.

        A rollout whose order is gone is rolled back if it has no verdict yet, and
        forgotten otherwise.

        :param engines: returns the figures of a pool's engines.
        """
        present = {order.pool: order for order in orders}
        for pool, order in present.items():
            known = self._by_pool.get(pool)
            if known is None or order.number > known.rollout.order.number:
                self._begin(order, engines(pool), now)
        for pool in set(self._by_pool) - set(present):
            rollout = self._by_pool[pool].rollout
            if rollout.phase.is_final:
                del self._by_pool[pool]
                self.on_change(pool)
            else:
                self.advance(pool, RolloutPhase.ROLLED_BACK, now, reason="order gone")

    def set_engine(self, pool: str, engine: EngineSpec) -> None:
        """Replace the figures of a pool's engines."""
        known = self._by_pool.get(pool)
        if known is not None:
            known.scheduler.set_engine(engine)

    def take_verdict(
        self, pool: str, number: int, phase: RolloutPhase, now: float
    ) -> None:
        """Apply a stored verdict; one on an order that is not known yet is kept."""
        self._verdicts[pool] = (number, phase)
        known = self._by_pool.get(pool)
        if known is not None and known.rollout.order.number == number:
            self.advance(pool, phase, now, reason="stored")

    def advance(
        self, pool: str, phase: RolloutPhase, now: float, *, reason: str, **figures
    ) -> bool:
        """Enter a phase of a pool's rollout; return whether it is a later one.

        :param reason: of the change, for the log.
        :param figures: behind the change, for the log.
        """
        rollout = self._by_pool[pool].rollout
        before = rollout.phase
        if not rollout.advance(phase, now):
            return False
        self._log_phase(pool, rollout, before, now, reason=reason, **figures)
        self.on_change(pool)
        return True

    def hear(self, pool: str, phase: RolloutPhase, age_s: float, now: float) -> None:
        """Apply a report of a node that decides."""
        rollout = self._by_pool[pool].rollout
        before = rollout.phase
        if rollout.hear(phase, age_s, now):
            self._log_phase(pool, rollout, before, now, reason="heard")
            self.on_change(pool)

    def list_upstreams(
        self, pool: str, entries: Sequence[UpstreamEntry]
    ) -> Sequence[UpstreamEntry]:
        """Return the upstreams of a pool for all but the canary requests."""
        known = self._by_pool.get(pool)
        return entries if known is None else known.list_upstreams(entries)

    def place_canary(
        self,
        pool: str,
        route: Route,
        request: PlacementRequest,
        now: float,
        *,
        nodes: int,
    ) -> Grant | None:
        """Place a request at a new upstream if it is drawn as a canary request."""
        known = self._by_pool.get(pool)
        if known is None or not known.rollout.draw(route.name, now, nodes=nodes):
            return None
        return known.place_canary(request, now)

    def place_begun(
        self, pool: str, request: PlacementRequest, now: float, *, nodes: int
    ) -> Grant | None:
        """Place a stream that goes on at an upstream that others may not go to."""
        known = self._by_pool.get(pool)
        return known and known.place_begun(request, now, nodes=nodes)

    def sent(self, pool: str, route: Route, entry: UpstreamEntry) -> None:
        """Count a request that is sent to an upstream of a pool."""
        known = self._by_pool.get(pool)
        if known is not None:
            known.rollout.sent(route.name, is_new=known.rollout.is_new(entry))

    def answered(
        self,
        pool: str,
        route: Route,
        grant: Grant,
        *,
        answer_s: float | None,
        interval_s: float | None = None,
    ) -> None:
        """Count an answer as evidence.

        :param answer_s: time to its first event, or to the whole answer of a plain
            service; ``None`` for a failure.
        :param interval_s: mean time between the events of a stream.
        """
        known = self._by_pool.get(pool)
        if known is None or known.rollout.phase.is_final:
            return
        new = known.rollout.is_new(grant.track.entry)
        crc = name_crc(route.name)
        key = SeriesKey(route=crc, aspect=Aspect.ANSWER, new=new)
        known.evidence.add(
            key, None if answer_s is None else _answer_class(grant, answer_s)
        )
        if interval_s is not None:
            key = SeriesKey(route=crc, aspect=Aspect.INTERVAL, new=new)
            known.evidence.add(key, time_class(interval_s * _MS_PER_S))

    def _begin(
        self, order: RolloutOrder, engine: EngineSpec | None, now: float
    ) -> None:
        rollout = Rollout(
            order=order, settings=self.settings.rollouts, rng=self._rng, now=now
        )
        scheduler = make_scheduler(self.settings.policy, engine=engine, rng=self._rng)
        self._by_pool[order.pool] = PoolRollout(rollout=rollout, scheduler=scheduler)
        number, phase = self._verdicts.get(order.pool, (0, RolloutPhase.CANARY))
        if number == order.number:
            rollout.advance(phase, now)
        log(
            ROLLOUT_ORDERED,
            pool=order.pool,
            to=order.version,
            duration_s=order.duration_s,
            order=order.number,
            phase=rollout.phase.name.lower(),
        )
        self.on_change(order.pool)
        self.on_order()

    def _log_phase(
        self,
        pool: str,
        rollout: Rollout,
        before: RolloutPhase,
        now: float,
        **figures: object,
    ) -> None:
        log(
            ROLLOUT_PHASE,
            pool=pool,
            to=rollout.order.version,
            phase=rollout.phase.name.lower(),
            before=before.name.lower(),
            age_s=round(now - rollout.started_at, 2),
            duration_s=rollout.order.duration_s,
            **figures,
        )


def _answer_class(grant: Grant, answer_s: float) -> int:
    """Return the class of an answer's time.

    The first event of an engine is compared with the time that its prompt takes.
    """
    if grant.track.engine is None:
        return time_class(answer_s * _MS_PER_S)
    prompt_s = grant.request.prompt_tokens / PREFILL_TOKENS_PER_S
    return time_class(_BASELINE_UNITS * answer_s / (FIRST_EVENT_S + prompt_s))
