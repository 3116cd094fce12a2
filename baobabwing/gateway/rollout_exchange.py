"""Exchange of evidence on rollouts between nodes, and of the phases they are in.

While a rollout runs, each node reports its answers by version to two nodes of a
ranking, the deciders, which add them up and tell all nodes the phase. The reports of
the deciders are a lease as well: a node that hears none of them sends no canary
requests. Nothing is sent without an order.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from time import monotonic

from baobabwing.gateway.decisions.rollouts import RolloutPhase, next_phase
from baobabwing.gateway.decisions.version_evidence import EvidenceBook, SeriesCounts
from baobabwing.gateway.members import Members
from baobabwing.gateway.model import RolloutOrder
from baobabwing.gateway.placement.codec import name_crc
from baobabwing.gateway.placement.gateway_link import GatewayLink
from baobabwing.gateway.placement.messages import RolloutEvidence, RolloutReport
from baobabwing.gateway.rollouts import PoolRollout, Rollouts

__all__ = ["RolloutExchange"]

_RESOURCE = "rollouts"
# Two, so that one may fail without any effect.
_DECIDERS = 2
_INTERVAL_S = 0.25
# Time for which a final phase is repeated, for nodes that missed it.
_REPEAT_S = 5.0
# Time after which a node that sent no report does not count as heard.
_HEARD_S = 1.5
# Time after its last look at the stored verdict for which a decider that does not hear
# most nodes still allows canary requests.
_CHECKED_S = 2.0
_MAJORITY = 0.5
# Series that fit a datagram that is not fragmented.
_MAX_PER_DATAGRAM = 20


class RolloutExchange:
    """Reports this node's evidence, and decides on rollouts where it is a decider.

    :param rollouts: of this node.
    :param members: rank the deciders and list the other nodes.
    :param link: carries the messages.
    :ivar on_verdict: called at a decider with each order and the phase that is to be
        stored, again and again until :meth:`stored` is called.
    """

    def __init__(
        self, *, rollouts: Rollouts, members: Members, link: GatewayLink
    ) -> None:
        self._rollouts = rollouts
        self._members = members
        self._link = link
        self._node = Random().getrandbits(32)
        self._books: dict[tuple[str, int], EvidenceBook] = {}
        self._heard: dict[tuple[str, int], dict[int, float]] = {}
        self._final_since: dict[tuple[str, int], float] = {}
        self._checked: dict[str, float] = {}
        self._stored: dict[str, tuple[int, RolloutPhase]] = {}
        self._reported_to: tuple[str, ...] = ()
        self._wake = asyncio.Event()
        self.on_verdict: Callable[[RolloutOrder, RolloutPhase], None] = (
            lambda order, phase: None
        )
        rollouts.on_order = self._wake.set
        link.handle(RolloutEvidence, self._handle_evidence)
        link.handle(RolloutReport, self._handle_report)

    async def run(self) -> None:
        """Report and decide while there are rollouts."""
        if self._any_active(monotonic()):
            self._wake.set()
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._any_active(monotonic()):
                self._exchange(monotonic())
                await asyncio.sleep(_INTERVAL_S)
            self._books.clear()
            self._heard.clear()

    @property
    def decides(self) -> bool:
        """Whether this node is one of those that decide."""
        return self._members.work in self._deciders()

    def undecided(self) -> list[RolloutOrder]:
        """Return the orders whose stored verdict a decider has to look at."""
        if not self.decides:
            return []
        return [
            known.rollout.order
            for _, known in self._rollouts.items()
            if not known.rollout.phase.is_final
        ]

    def stored(
        self, order: RolloutOrder, phase: RolloutPhase | None, now: float
    ) -> None:
        """Apply the verdict that the store has on an order.

        :param phase: ``None`` if it has none.
        """
        self._checked[order.pool] = now
        if phase is None:
            return
        self._stored[order.pool] = (order.number, phase)
        if phase.is_final:
            self._rollouts.take_verdict(order.pool, order.number, phase, now)

    def forget_stored(self) -> None:
        """Treat all stored verdicts as possibly lost."""
        self._stored.clear()
        self._wake.set()

    def _deciders(self) -> list[str]:
        return self._members.homes(_RESOURCE, _DECIDERS)

    def _any_active(self, now: float) -> bool:
        return any(self._is_active(known, now) for _, known in self._rollouts.items())

    def _is_active(self, known: PoolRollout, now: float) -> bool:
        order = known.rollout.order
        key = (order.pool, order.number)
        if not known.rollout.phase.is_final:
            return True
        if now < self._final_since.setdefault(key, now) + _REPEAT_S:
            return True
        return self.decides and self._is_unstored(known)

    def _is_unstored(self, known: PoolRollout) -> bool:
        order, phase = known.rollout.order, _stored_phase(known.rollout.phase)
        return self._stored.get(order.pool) != (order.number, phase)

    def _exchange(self, now: float) -> None:
        deciders = tuple(self._deciders())
        others = [one for one in deciders if one != self._members.work]
        new_deciders = deciders != self._reported_to
        self._reported_to = deciders
        for pool, known in self._rollouts.items():
            if not self._is_active(known, now):
                self._forget(known)
                continue
            changed = known.evidence.take_changed()
            self._send_evidence(
                others, known, known.evidence.all() if new_deciders else changed
            )
            if self._members.work in deciders:
                self._add(self._node, known, known.evidence.all(), now)
                self._decide(pool, known, now)
                self._tell_all(pool, known, now)

    def _forget(self, known: PoolRollout) -> None:
        """Drop the evidence on a rollout that has ended."""
        order = known.rollout.order
        self._books.pop((order.pool, order.number), None)
        self._heard.pop((order.pool, order.number), None)

    def _send_evidence(
        self, deciders: list[str], known: PoolRollout, series: list[SeriesCounts]
    ) -> None:
        """Send evidence to the deciders; they hear of this node also without any."""
        order = known.rollout.order
        for first in range(0, max(len(series), 1), _MAX_PER_DATAGRAM):
            message = RolloutEvidence(
                node=self._node,
                pool=name_crc(order.pool),
                order=order.number,
                series=tuple(series[first : first + _MAX_PER_DATAGRAM]),
            )
            for decider in deciders:
                self._link.send(decider, message)

    def _decide(self, pool: str, known: PoolRollout, now: float) -> None:
        rollout, order = known.rollout, known.rollout.order
        book = self._book(order)
        majority = self._hears_most(order, now)
        if majority or now - self._checked.get(pool, now - _CHECKED_S) < _CHECKED_S:
            rollout.renew_lease(now)
        phase = next_phase(rollout, book, now, majority=majority)
        if phase is not RolloutPhase.DONE:
            self._rollouts.advance(
                pool,
                phase,
                now,
                reason="decided",
                answers=book.new_answers,
                bad=book.new_bad,
                score=round(book.score, 1),
                nodes=len(self._heard.get((pool, order.number), ())),
            )
        if self._stored.get(pool) != (order.number, _stored_phase(phase)):
            self.on_verdict(order, _stored_phase(phase))

    def _tell_all(self, pool: str, known: PoolRollout, now: float) -> None:
        rollout = known.rollout
        if not rollout.phase.is_final and not rollout.is_leased(now):
            return
        report = _report(pool, known, now)
        for host in self._members.others():
            self._link.send(host.work, report)

    def _hears_most(self, order: RolloutOrder, now: float) -> bool:
        """Whether most nodes that may be running report to this one."""
        heard = self._heard.get((order.pool, order.number), {})
        recent = sum(now - at < _HEARD_S for at in heard.values())
        return recent > _MAJORITY * self._members.total

    def _book(self, order: RolloutOrder) -> EvidenceBook:
        return self._books.setdefault((order.pool, order.number), EvidenceBook())

    def _add(
        self, node: int, known: PoolRollout, series: list[SeriesCounts], now: float
    ) -> None:
        order = known.rollout.order
        self._book(order).hear(node, series)
        self._heard.setdefault((order.pool, order.number), {})[node] = now

    def _handle_evidence(self, message: RolloutEvidence, address: str) -> None:
        found = self._find(message.pool, message.order)
        if found is None:
            return
        pool, known = found
        now = monotonic()
        if known.rollout.phase.is_final:
            # The sender missed the end: it was cut off, or stood still.
            self._link.send(address, _report(pool, known, now))
        else:
            self._add(message.node, known, list(message.series), now)

    def _handle_report(self, message: RolloutReport, address: str) -> None:
        found = self._find(message.pool, message.order)
        if found is not None:
            self._rollouts.hear(found[0], message.phase, message.age_s, monotonic())

    def _find(self, pool: int, order: int) -> tuple[str, PoolRollout] | None:
        """Return the rollout of an order, by the CRC-32 of its pool."""
        for name, known in self._rollouts.items():
            if name_crc(name) == pool and known.rollout.order.number == order:
                return name, known
        return None


def _report(pool: str, known: PoolRollout, now: float) -> RolloutReport:
    rollout = known.rollout
    return RolloutReport(
        pool=name_crc(pool),
        order=rollout.order.number,
        phase=rollout.phase,
        age_s=now - rollout.started_at,
    )


def _stored_phase(phase: RolloutPhase) -> RolloutPhase:
    """Return the phase as it is stored: only the final ones are told apart."""
    return phase if phase.is_final else RolloutPhase.CANARY
