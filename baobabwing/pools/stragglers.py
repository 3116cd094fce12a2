"""Detection and ejection of slow upstreams, and their return to service.

An upstream is compared with its peers of the same hardware generation over a
short window. Load, model and prompt mix are common to them and cancel out. An
ejected upstream gets one probe request at a time. A probe that is fast enough
returns it to service with a small limit, which doubles up to its capacity.
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

__all__ = ["StragglerDetector"]

_WINDOW_S = 10.0
_MIN_SAMPLES = 3
_SLOW_FACTOR = 2.0
_MIN_SLOWNESS = 1.3
_RECOVERED_FACTOR = 1.5
_MAX_EJECTED_SHARE = 0.34
_DRIFT_SHARE = 0.02
_FAILURES_TO_EJECT = 3
_STUCK_BASE_S = 1.0
_STUCK_FACTOR = 4.0
_FIRST_PROBE_DELAY_S = 2.0
_MAX_PROBE_DELAY_S = 16.0
_PROBE_RETRY_DELAY_S = 0.5
_RAMP_INTERVAL_S = 1.0
_RAMP_START_DIVISOR = 8
_RESTART_DIVISOR = 4
_MIN_GENERATION_SAMPLES = 50


@dataclass(frozen=True, kw_only=True, slots=True)
class _SlownessWindow:
    """Number and median slowness of an upstream's answers within the window."""

    samples: int
    median_slowness: float


_EMPTY_WINDOW = _SlownessWindow(samples=0, median_slowness=0.0)


class StragglerDetector:
    """Ejects slow, stuck or failing upstreams of a cell.

    :param state: the state of the cell, whose upstream limits it sets.
    """

    def __init__(self, *, state: CellState) -> None:
        self._state = state
        self._normal_slowness: dict[str, float] = {}

    def record_end(
        self, permit: Permit, outcome: str, slowness: float, now: float
    ) -> None:
        """Record the end of a permit.

        :param slowness: measured time divided by the time expected of the
            hardware generation; 0 if the request was not answered.
        """
        upstream = permit.upstream
        if outcome == Outcome.ANSWERED:
            upstream.failures = 0
            upstream.slowness_samples.append((now, slowness))
        elif outcome in (Outcome.FAILED, Outcome.NOT_ADMITTED):
            upstream.failures += 1
        if permit.probe and upstream.standing is Standing.EJECTED:
            self._handle_probe_end(upstream, outcome, slowness, now)
        elif upstream.failures >= _FAILURES_TO_EJECT:
            self._eject(upstream, "failures", now)

    def record_grant(self, permit: Permit) -> None:
        """Mark a permit on an ejected upstream as its only probe."""
        upstream = permit.upstream
        if upstream.standing is Standing.EJECTED:
            permit.probe = True
            self._state.set_limit(upstream, 0)
            self._state.probes.remove(upstream)

    def handle_restart(self, upstream: TrackedUpstream, now: float) -> None:
        """Ramp a restarted upstream up from a small limit, as its cache is cold."""
        self._set_standing(upstream, Standing.RAMPING)
        limit = max(upstream.capacity // _RESTART_DIVISOR, 1)
        self._state.set_limit(upstream, limit)
        upstream.ramp_at = now + _RAMP_INTERVAL_S
        upstream.slowness_samples.clear()
        upstream.failures = 0
        self._state.defer_event(UPSTREAM_RESTARTED, upstream.name)

    def review(self, now: float) -> None:
        """Evaluate all upstreams; to be called a few times a second.

        Notes: linear in the upstreams and their permits in use.
        """
        windows = {u.name: _slowness_window(u, now) for u in self._state.active}
        self._update_normal_slowness(windows)
        for upstream in self._state.active:
            if upstream.standing is Standing.EJECTED:
                self._offer_probe(upstream, now)
                continue
            if upstream.standing is Standing.RAMPING:
                self._ramp(upstream, now)
            if upstream.last_done_at < now - _WINDOW_S:
                # After one or two slow answers other upstreams are preferred.
                # Without this, an upstream that gets no more requests would
                # keep its outdated estimate.
                upstream.speed.drift_to(upstream.generation_speed, _DRIFT_SHARE)
            if self._is_slow(upstream, windows):
                self._eject(upstream, "slow", now)
            elif _is_stuck(upstream, now) and self._peers_make_progress(upstream, now):
                self._eject(upstream, "stuck", now)
        self._limit_ejected_share()

    def _update_normal_slowness(self, windows: dict[str, _SlownessWindow]) -> None:
        by_generation: dict[str, list[float]] = {}
        for upstream in self._state.active:
            window = windows[upstream.name]
            if window.samples:
                group = by_generation.setdefault(upstream.generation, [])
                group.append(window.median_slowness)
        self._normal_slowness = {
            generation: median(medians) for generation, medians in by_generation.items()
        }

    def _is_slow(
        self, upstream: TrackedUpstream, windows: dict[str, _SlownessWindow]
    ) -> bool:
        own = windows[upstream.name]
        if own.samples < _MIN_SAMPLES or own.median_slowness < _MIN_SLOWNESS:
            return False
        peers = [
            windows[peer.name].median_slowness
            for peer in self._state.active
            if peer is not upstream
            and peer.generation == upstream.generation
            and windows[peer.name].samples
        ]
        if peers:
            return own.median_slowness >= _SLOW_FACTOR * median(peers)
        if upstream.generation_speed.samples < _MIN_GENERATION_SAMPLES:
            return False
        return own.median_slowness >= _SLOW_FACTOR

    def _peers_make_progress(self, upstream: TrackedUpstream, now: float) -> bool:
        return any(
            peer.last_done_at > now - _WINDOW_S
            for peer in self._state.active
            if peer is not upstream
        )

    def _eject(self, upstream: TrackedUpstream, reason: str, now: float) -> None:
        active = self._state.active
        max_ejected = int(len(active) * _MAX_EJECTED_SHARE)
        ejected = sum(u.standing is Standing.EJECTED for u in active)
        if upstream.standing is Standing.EJECTED or ejected >= max_ejected:
            return
        self._set_standing(upstream, Standing.EJECTED)
        self._state.set_limit(upstream, 0)
        upstream.ejected_at = now
        upstream.probe_delay_s = _FIRST_PROBE_DELAY_S
        upstream.probe_at = now + _FIRST_PROBE_DELAY_S
        upstream.slowness_samples.clear()
        upstream.failures = 0
        self._state.defer_event(UPSTREAM_RELIEVED, upstream.name, reason)

    def _offer_probe(self, upstream: TrackedUpstream, now: float) -> None:
        if now < upstream.probe_at or upstream in self._state.probes:
            return
        if any(permit.probe for permit in upstream.permits.values()):
            return
        self._state.probes.append(upstream)

    def _handle_probe_end(
        self, upstream: TrackedUpstream, outcome: str, slowness: float, now: float
    ) -> None:
        normal = self._normal_slowness.get(upstream.generation, 1.0)
        if outcome in (Outcome.UNUSED, Outcome.CANCELLED):
            upstream.probe_at = now + _PROBE_RETRY_DELAY_S
        elif outcome == Outcome.ANSWERED and slowness < _RECOVERED_FACTOR * normal:
            self._set_standing(upstream, Standing.RAMPING)
            limit = max(upstream.capacity // _RAMP_START_DIVISOR, 1)
            self._state.set_limit(upstream, limit)
            upstream.ramp_at = now + _RAMP_INTERVAL_S
            upstream.slowness_samples.clear()
            self._state.defer_event(UPSTREAM_RESTORED, upstream.name)
        else:
            upstream.probe_delay_s = min(2 * upstream.probe_delay_s, _MAX_PROBE_DELAY_S)
            upstream.probe_at = now + upstream.probe_delay_s

    def _ramp(self, upstream: TrackedUpstream, now: float) -> None:
        if now < upstream.ramp_at:
            return
        limit = min(upstream.limit * 2, upstream.capacity)
        self._state.set_limit(upstream, limit)
        upstream.ramp_at = now + _RAMP_INTERVAL_S
        if upstream.limit == upstream.capacity:
            self._set_standing(upstream, Standing.NORMAL)

    def _limit_ejected_share(self) -> None:
        # Upstreams may leave while others are ejected. Without this, all that
        # remain of a shrinking cell could be ejected with requests waiting.
        active = self._state.active
        ejected = [u for u in active if u.standing is Standing.EJECTED]
        ejected.sort(key=lambda u: u.ejected_at)
        for upstream in ejected[: len(ejected) - int(len(active) * _MAX_EJECTED_SHARE)]:
            self._set_standing(upstream, Standing.NORMAL)
            self._state.set_limit(upstream, upstream.capacity)

    def _set_standing(self, upstream: TrackedUpstream, standing: Standing) -> None:
        upstream.standing = standing
        if upstream in self._state.probes:
            self._state.probes.remove(upstream)


def _slowness_window(upstream: TrackedUpstream, now: float) -> _SlownessWindow:
    since = now - _WINDOW_S
    ratios = [
        ratio for ended_at, ratio in upstream.slowness_samples if ended_at > since
    ]
    if not ratios:
        return _EMPTY_WINDOW
    return _SlownessWindow(samples=len(ratios), median_slowness=median(ratios))


def _is_stuck(upstream: TrackedUpstream, now: float) -> bool:
    return any(
        permit.expected_s
        and now - permit.granted_at > _STUCK_BASE_S + _STUCK_FACTOR * permit.expected_s
        and upstream.last_done_at <= permit.granted_at
        for permit in upstream.permits.values()
    )
