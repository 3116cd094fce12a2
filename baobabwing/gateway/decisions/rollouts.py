"""Rollout of a version: who may be sent to its upstreams, and within which budget."""

from __future__ import annotations

import math
import zlib
from collections import Counter
from collections.abc import Iterable, Sequence
from enum import IntEnum
from random import Random

from baobabwing.gateway.decisions.version_evidence import EvidenceBook
from baobabwing.gateway.model import RolloutOrder, UpstreamEntry
from baobabwing.gateway.settings import RolloutSettings

__all__ = ["Rollout", "RolloutPhase", "next_phase"]

# Share of the exposure budget that canary requests use. The rest is for the moment
# after the promotion, while the new version may still turn out to be bad.
_CANARY_SHARE = 0.5
# A further share, up to a part of the slack: a rollout with few requests needs more of
# its budget as evidence.
_EXTRA_SHARE = 0.25
_EXTRA_SLACK_SHARE = 0.6
# Share of the budget's slack that all nodes together may use before they have sent
# enough requests to earn canary requests. Nodes that start anew use it once more each;
# where there are few nodes, each one's part is smaller for that.
_SLACK_SHARE = 0.3
_MIN_NODES = 10
# Largest share of a route's requests that are canary requests while there are any.
# Routes with few requests get a higher share, so that each route yields evidence.
_MAX_ROUTE_SHARE = 0.8
# Routes with less than this share of the requests are not counted as routes.
_MIN_ROUTE_SHARE = 0.01
# Time for which canary requests go to the same few upstreams. They come in a part of it
# only, in which these upstreams get as much load as the others: faults under load would
# not show otherwise.
_WINDOW_S = 1.0
# Time without a report from the nodes that decide after which a node sends no canary
# requests, as a share of the time in which a bad version has to be stopped.
_LEASE_SHARE = 0.4
# Time before the deadline at which a good version is promoted, as a share of the time
# from the order to the deadline, and its bounds. Before, it may still turn bad.
_MARGIN_SHARE = 0.2
_MIN_MARGIN_S = 1.5
_MAX_MARGIN_S = 3.0
_MAX_MARGIN_SHARE = 0.5
# The same for the last moment at which a verdict can still be stored in time.
_LAST_SHARE = 0.12
_MIN_LAST_S = 1.0
# Time from the promotion to the verdict, as a share and at least. The new version gets
# all requests meanwhile: what is left of the exposure budget covers that. While the
# evidence is doubtful it takes longer, by this factor at most.
_PROMOTED_SHARE = 0.03
_MIN_PROMOTED_S = 0.3
_DOUBTFUL_FACTOR = 2.0
# Scores of the evidence. A version is bad at the first. From the second on it is
# neither promoted nor done before the last moment; from the third on it is not promoted
# even then, and from the fourth on not done. The requests after the promotion are
# evidence as well, so that a doubtful version may be promoted. The requests after the
# promotion have to speak for it: ten good answers, the fewest for a verdict in favour,
# lower a score by 1.7. With less, a version could be done although hardly any answer of
# the route in doubt had come since.
_BAD_SCORE = 11.0
_DOUBTFUL_SCORE = 2.0
_MAX_PROMOTED_SCORE = 5.5
_MAX_DONE_SCORE = _MAX_PROMOTED_SCORE - 1.7


class RolloutPhase(IntEnum):
    """Phase of a rollout; a later one replaces an earlier one, never the reverse.

    ``CANARY``: some requests go to the new version. ``PROMOTED``: all new requests do,
    while those at the old version end. ``ROLLED_BACK``: none do any more. ``DONE``: the
    verdict for the new version is stored, and the old upstreams are about to stop.
    """

    CANARY = 1
    PROMOTED = 2
    ROLLED_BACK = 3
    DONE = 4

    @property
    def is_final(self) -> bool:
        """Whether the rollout has ended."""
        return self >= RolloutPhase.ROLLED_BACK


class Rollout:
    """One rollout at one node; does no I/O and reads no clock.

    Each node keeps the canary requests below its share of the budget by its own
    counts: the sum over all nodes is within the budget, whoever hears whom. A node that
    starts anew counts from the beginning; the unused part of the slack covers that.

    :param order: what the operator ordered.
    :param settings: the exposure budget.
    :param rng: draws the canary requests.
    :param now: when this node received the order.
    :ivar started_at: when the first node received the order, as far as known here.
    :ivar promoted_at: when the version was promoted.
    """

    def __init__(
        self,
        *,
        order: RolloutOrder,
        settings: RolloutSettings,
        rng: Random,
        now: float,
    ) -> None:
        self.order = order
        self.phase = RolloutPhase.CANARY
        self.started_at = now
        self.promoted_at = now
        self._settings = settings
        self._rng = rng
        self._lease_until = float("-inf")
        self._requests: Counter[str] = Counter()
        self._exposed = 0
        # Rounds the node's part of the budget up or down: many nodes with less than one
        # canary request each would otherwise send none.
        self._rounding = rng.random()
        self._replaced: set[str] = set()
        self._window_share = 1.0

    def advance(self, phase: RolloutPhase, now: float) -> bool:
        """Enter a phase, unless it is earlier; return whether it is another one."""
        if phase <= self.phase:
            return False
        if phase is RolloutPhase.PROMOTED:
            self.promoted_at = now
        self.phase = phase
        return True

    def hear(self, phase: RolloutPhase, age_s: float, now: float) -> bool:
        """Apply a report of a node that decides; return whether the phase changed.

        :param age_s: time since the first node received the order.
        """
        self.started_at = min(self.started_at, now - age_s)
        self.renew_lease(now)
        return self.advance(phase, now)

    def renew_lease(self, now: float) -> None:
        """Allow canary requests for a while longer."""
        self._lease_until = now + _LEASE_SHARE * self._settings.stop_s

    def is_leased(self, now: float) -> bool:
        """Whether a node that decides was heard lately."""
        return now < self._lease_until

    def list_versions(self, entries: Sequence[UpstreamEntry]) -> None:
        """Record which versions the upstreams of the pool have before the verdict."""
        if self.phase.is_final:
            return
        self._replaced |= {entry.version for entry in entries}
        self._replaced.discard(self.order.version)
        old = sum(not self.is_new(entry) for entry in entries)
        usual_load = _CANARY_SHARE * self._settings.share * old
        self._window_share = min(usual_load / self._width(old), 1.0) or 1.0

    @property
    def knows_other_versions(self) -> bool:
        """Whether upstreams of other versions have been listed since the order."""
        return bool(self._replaced)

    def is_new(self, entry: UpstreamEntry) -> bool:
        """Whether an upstream has the version that is rolled out."""
        return entry.version == self.order.version

    def serves(self, entry: UpstreamEntry) -> bool:
        """Whether requests other than canary requests may go to an upstream."""
        if self.phase in (RolloutPhase.CANARY, RolloutPhase.ROLLED_BACK):
            return not self.is_new(entry)
        return entry.version not in self._replaced

    def may_expose(self, now: float, *, nodes: int) -> bool:
        """Whether one more canary request is within this node's part of the budget.

        :param nodes: number of nodes that may be running.
        """
        if self.phase is not RolloutPhase.CANARY or not self.is_leased(now):
            return False
        return self._exposed + 1 <= self._allowance(nodes)

    def draw(self, route: str, now: float, *, nodes: int) -> bool:
        """Whether a request of a route is to be a canary request."""
        if not self.may_expose(now, nodes=nodes):
            return False
        in_window = (now - self.started_at) % _WINDOW_S / _WINDOW_S
        if in_window >= self._window_share:
            return False
        return self._rng.random() < self._route_share(route, nodes)

    def sent(self, route: str, *, is_new: bool) -> None:
        """Count a request that is sent to an upstream of the pool."""
        self._requests[route] += 1
        self._exposed += is_new

    def canary_instances(
        self, entries: Iterable[UpstreamEntry], now: float
    ) -> set[str]:
        """Return the new upstreams that get canary requests now.

        All nodes use the same ones at about the same time, and all in turn.
        """
        listed = list(entries)
        new = sorted(
            (entry.instance for entry in listed if self.is_new(entry)),
            key=lambda instance: zlib.crc32(instance.encode()),
        )
        if not new:
            return set()
        old = len(listed) - len(new)
        width = min(self._width(old), len(new))
        first = int((now - self.started_at) / _WINDOW_S) * width
        return {new[(first + index) % len(new)] for index in range(width)}

    def _width(self, old: int) -> int:
        """Return the number of upstreams that get canary requests at a time.

        :param old: number of upstreams of other versions.
        """
        return max(math.ceil(self._settings.share * old), 1)

    def _allowance(self, nodes: int) -> float:
        """Return how many canary requests this node may have sent until now."""
        budget = self._settings.share * self._requests.total()
        slack = self._settings.slack / max(nodes, _MIN_NODES)
        extra = min(_EXTRA_SHARE * budget, _EXTRA_SLACK_SHARE * slack)
        earned = _CANARY_SHARE * budget + extra
        return earned + _SLACK_SHARE * slack + self._rounding

    def _route_share(self, route: str, nodes: int) -> float:
        """Return the share of a route's requests that are canary requests."""
        total = self._requests.total() + 1
        routes = sum(
            count >= _MIN_ROUTE_SHARE * total for count in self._requests.values()
        )
        expected = self._allowance(nodes) / max(routes, 1) / self._window_share
        return min(expected / (self._requests[route] + 1), _MAX_ROUTE_SHARE)


def next_phase(
    rollout: Rollout, evidence: EvidenceBook, now: float, *, majority: bool
) -> RolloutPhase:
    """Return the phase that a rollout is to be in, from the evidence of all nodes.

    ``DONE`` takes effect once it is stored.

    :param evidence: evaluated here; to be called a few times a second.
    :param majority: whether most nodes that may be running report to this one. The
        others must not end a rollout for want of evidence.

    Notes
    -----
    A score is a cumulative sum of log likelihood ratios: a good version reaches a score
    of s within any answer with a probability of about exp(-s).

    """
    score = evidence.evaluate()
    age_s = now - rollout.started_at
    duration_s = rollout.order.duration_s
    if rollout.phase.is_final:
        return rollout.phase
    if score >= _BAD_SCORE:
        return RolloutPhase.ROLLED_BACK
    if rollout.phase is RolloutPhase.PROMOTED:
        return _after_promotion(score, now - rollout.promoted_at, duration_s)
    if not majority or age_s < duration_s - _margin_s(duration_s):
        return RolloutPhase.CANARY
    if evidence.is_sufficient() and score < _DOUBTFUL_SCORE:
        return RolloutPhase.PROMOTED
    if age_s < duration_s - max(_LAST_SHARE * duration_s, _MIN_LAST_S):
        return RolloutPhase.CANARY
    good = evidence.new_answers > 0 and score < _MAX_PROMOTED_SCORE
    return RolloutPhase.PROMOTED if good else RolloutPhase.ROLLED_BACK


def _after_promotion(
    score: float, promoted_s: float, duration_s: float
) -> RolloutPhase:
    """Return the phase of a promoted version that is not clearly bad.

    :param promoted_s: time since the promotion.
    """
    usual_s = max(_PROMOTED_SHARE * duration_s, _MIN_PROMOTED_S)
    if promoted_s < usual_s:
        return RolloutPhase.PROMOTED
    if score < _DOUBTFUL_SCORE:
        return RolloutPhase.DONE
    if promoted_s < _DOUBTFUL_FACTOR * usual_s:
        return RolloutPhase.PROMOTED
    good = score < _MAX_DONE_SCORE
    return RolloutPhase.DONE if good else RolloutPhase.ROLLED_BACK


def _margin_s(duration_s: float) -> float:
    margin_s = min(max(_MARGIN_SHARE * duration_s, _MIN_MARGIN_S), _MAX_MARGIN_S)
    return min(margin_s, _MAX_MARGIN_SHARE * duration_s)
