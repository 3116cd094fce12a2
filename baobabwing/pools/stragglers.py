"""Finding upstreams that fell behind their peers, and taking them back.

An upstream is compared with its peers of the same hardware generation over a
short window, since load, model and prompt mix are common to them and cancel
out. A relieved upstream gets single probes; a probe in time starts it on a
small share that doubles until it is whole.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median

from baobabwing.pools.events import (
    UPSTREAM_RELIEVED,
    UPSTREAM_RESTARTED,
    UPSTREAM_RESTORED,
)
from baobabwing.pools.permits import Outcome
from baobabwing.pools.state import CellState
from baobabwing.pools.tracking import Permit, Standing, TrackedUpstream

__all__ = ["StragglerWatch"]

_WINDOW_S = 10.0
_LEAST_SAMPLES = 3
_SLOW_FACTOR = 2.0
_LEAST_SLOWNESS = 1.3
_RECOVERED_FACTOR = 1.5
_MOST_SHARE = 0.34
_DRIFT_SHARE = 0.02
_MOST_FAILURES = 3
_STUCK_BASE_S = 1.0
_STUCK_FACTOR = 4.0
_FIRST_PROBE_S = 2.0
_LONGEST_PROBE_S = 16.0
_REPEAT_PROBE_S = 0.5
_RAMP_STEP_S = 1.0
_RAMP_START_SHARE = 8
_RESTART_SHARE = 4
_LEAST_POOLED_SAMPLES = 50


@dataclass(frozen=True, kw_only=True, slots=True)
class _Recent:
    """Answers of an upstream within the window and their median slowness."""

    samples: int
    slowness: float


_NOTHING_RECENT = _Recent(samples=0, slowness=0.0)


class StragglerWatch:
    """Decides which upstreams of a cell are relieved of new work.

    :param state: the account it reads and whose limits it sets.
    """

    def __init__(self, *, state: CellState) -> None:
        self._state = state
        self._normal_slowness: dict[str, float] = {}

    def ended(self, permit: Permit, outcome: str, slowness: float, now: float) -> None:
        """Take the end of a permit into account.

        :param slowness: time taken over the time expected of the generation;
            0 if the request was not answered.
        """
        upstream = permit.upstream
        if outcome == Outcome.ANSWERED:
            upstream.failures = 0
            upstream.slowness.append((now, slowness))
        elif outcome in (Outcome.FAILED, Outcome.NOT_ADMITTED):
            upstream.failures += 1
        if permit.probe and upstream.standing is Standing.RELIEVED:
            self._probed(upstream, outcome, slowness, now)
        elif upstream.failures >= _MOST_FAILURES:
            self._relieve(upstream, "failures", now)

    def granted(self, permit: Permit) -> None:
        """Mark a permit to a relieved upstream as its only probe."""
        upstream = permit.upstream
        if upstream.standing is Standing.RELIEVED:
            permit.probe = True
            self._state.set_limit(upstream, 0)
            self._state.probes.remove(upstream)

    def restarted(self, upstream: TrackedUpstream, now: float) -> None:
        """Start an upstream over on a small share: its cache is cold."""
        self._set_standing(upstream, Standing.RAMPING)
        limit = max(upstream.capacity // _RESTART_SHARE, 1)
        self._state.set_limit(upstream, limit)
        upstream.ramp_at = now + _RAMP_STEP_S
        upstream.slowness.clear()
        upstream.failures = 0
        self._state.notice(UPSTREAM_RESTARTED, upstream.name)

    def review(self, now: float) -> None:
        """Compare all upstreams; to be called a few times a second.

        Notes: linear in the upstreams and their permits in use.
        """
        recent = {u.name: _recent_slowness(u, now) for u in self._state.active}
        self._learn_normal(recent)
        for upstream in self._state.active:
            if upstream.standing is Standing.RELIEVED:
                self._offer_probe(upstream, now)
                continue
            if upstream.standing is Standing.RAMPING:
                self._ramp(upstream, now)
            if upstream.last_done_at < now - _WINDOW_S:
                # One or two slow answers make others preferred. Without this
                # an upstream that nobody tries again keeps that estimate.
                upstream.speed.drift_to(upstream.pooled, _DRIFT_SHARE)
            if self._is_slow(upstream, recent):
                self._relieve(upstream, "slow", now)
            elif _is_stuck(upstream, now) and self._peers_go_on(upstream, now):
                self._relieve(upstream, "stuck", now)
        self._keep_share()

    def _learn_normal(self, recent: dict[str, _Recent]) -> None:
        by_generation: dict[str, list[float]] = {}
        for upstream in self._state.active:
            seen = recent[upstream.name]
            if seen.samples:
                group = by_generation.setdefault(upstream.generation, [])
                group.append(seen.slowness)
        self._normal_slowness = {
            generation: median(medians) for generation, medians in by_generation.items()
        }

    def _is_slow(self, upstream: TrackedUpstream, recent: dict[str, _Recent]) -> bool:
        own = recent[upstream.name]
        if own.samples < _LEAST_SAMPLES or own.slowness < _LEAST_SLOWNESS:
            return False
        peers = [
            recent[peer.name].slowness
            for peer in self._state.active
            if peer is not upstream
            and peer.generation == upstream.generation
            and recent[peer.name].samples
        ]
        if peers:
            return own.slowness >= _SLOW_FACTOR * median(peers)
        if upstream.pooled.samples < _LEAST_POOLED_SAMPLES:
            return False
        return own.slowness >= _SLOW_FACTOR

    def _peers_go_on(self, upstream: TrackedUpstream, now: float) -> bool:
        return any(
            peer.last_done_at > now - _WINDOW_S
            for peer in self._state.active
            if peer is not upstream
        )

    def _relieve(self, upstream: TrackedUpstream, reason: str, now: float) -> None:
        active = self._state.active
        most = int(len(active) * _MOST_SHARE)
        relieved = sum(u.standing is Standing.RELIEVED for u in active)
        if upstream.standing is Standing.RELIEVED or relieved >= most:
            return
        self._set_standing(upstream, Standing.RELIEVED)
        self._state.set_limit(upstream, 0)
        upstream.relieved_at = now
        upstream.probe_after_s = _FIRST_PROBE_S
        upstream.probe_at = now + _FIRST_PROBE_S
        upstream.slowness.clear()
        upstream.failures = 0
        self._state.notice(UPSTREAM_RELIEVED, upstream.name, reason)

    def _offer_probe(self, upstream: TrackedUpstream, now: float) -> None:
        if now < upstream.probe_at or upstream in self._state.probes:
            return
        if any(permit.probe for permit in upstream.permits.values()):
            return
        self._state.probes.append(upstream)

    def _probed(
        self, upstream: TrackedUpstream, outcome: str, slowness: float, now: float
    ) -> None:
        normal = self._normal_slowness.get(upstream.generation, 1.0)
        if outcome in (Outcome.UNUSED, Outcome.CANCELLED):
            upstream.probe_at = now + _REPEAT_PROBE_S
        elif outcome == Outcome.ANSWERED and slowness < _RECOVERED_FACTOR * normal:
            self._set_standing(upstream, Standing.RAMPING)
            limit = max(upstream.capacity // _RAMP_START_SHARE, 1)
            self._state.set_limit(upstream, limit)
            upstream.ramp_at = now + _RAMP_STEP_S
            upstream.slowness.clear()
            self._state.notice(UPSTREAM_RESTORED, upstream.name)
        else:
            upstream.probe_after_s = min(2 * upstream.probe_after_s, _LONGEST_PROBE_S)
            upstream.probe_at = now + upstream.probe_after_s

    def _ramp(self, upstream: TrackedUpstream, now: float) -> None:
        if now < upstream.ramp_at:
            return
        limit = min(upstream.limit * 2, upstream.capacity)
        self._state.set_limit(upstream, limit)
        upstream.ramp_at = now + _RAMP_STEP_S
        if upstream.limit == upstream.capacity:
            self._set_standing(upstream, Standing.NORMAL)

    def _keep_share(self) -> None:
        # Upstreams may leave while others are relieved. Without this the rest
        # of a shrinking pool could all stand idle with requests waiting.
        active = self._state.active
        relieved = [u for u in active if u.standing is Standing.RELIEVED]
        relieved.sort(key=lambda u: u.relieved_at)
        for upstream in relieved[: len(relieved) - int(len(active) * _MOST_SHARE)]:
            self._set_standing(upstream, Standing.NORMAL)
            self._state.set_limit(upstream, upstream.capacity)

    def _set_standing(self, upstream: TrackedUpstream, standing: Standing) -> None:
        upstream.standing = standing
        if upstream in self._state.probes:
            self._state.probes.remove(upstream)


def _recent_slowness(upstream: TrackedUpstream, now: float) -> _Recent:
    since = now - _WINDOW_S
    ratios = [ratio for at, ratio in upstream.slowness if at > since]
    if not ratios:
        return _NOTHING_RECENT
    return _Recent(samples=len(ratios), slowness=median(ratios))


def _is_stuck(upstream: TrackedUpstream, now: float) -> bool:
    return any(
        permit.expected_s
        and now - permit.granted_at > _STUCK_BASE_S + _STUCK_FACTOR * permit.expected_s
        and upstream.last_done_at <= permit.granted_at
        for permit in upstream.permits.values()
    )
