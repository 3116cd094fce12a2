"""What upstreams' reports of their load say about their speed and their requests.

Measured times outweigh it: reports may be false, or frozen.
"""

from __future__ import annotations

import math
from collections.abc import Collection

from baobabwing.gateway.decisions.told_load import USUAL_PERCENT
from baobabwing.gateway.decisions.tracking import UpstreamTrack

__all__ = ["forget_reports", "weigh_reports"]

# Bound of the ratio of an upstream's speed to the pool's, and of its reciprocal. Above
# it a report is more likely false than true.
_MAX_SLOWNESS = 4.0


def weigh_reports(
    tracks: Collection[UpstreamTrack],
    *,
    typical_s: float | None,
    plain: bool,
    independent: bool,
    now: float,
) -> None:
    """Set what the upstreams' reports say about their speed and load.

    :param typical_s: median event interval, or answer time of plain services.
    :param plain: whether they are plain services.
    :param independent: whether other nodes place requests there that are not counted
        here.
    """
    typical_percent = _typical_percent(tracks)
    for track in tracks:
        percent = track.usual_work.percent
        if percent is None:
            continue
        ratio = percent / typical_percent
        ratio = min(max(ratio, 1 / _MAX_SLOWNESS), _MAX_SLOWNESS)
        track.told_slowness = ratio ** track.usual_work.confidence(now)
        if plain and typical_s:
            track.told_answer_s = typical_s * track.told_slowness
        track.told_others = (
            _others(track, typical_s, now) if plain and independent else 0.0
        )


def forget_reports(tracks: Collection[UpstreamTrack]) -> None:
    """Undo :func:`weigh_reports`."""
    for track in tracks:
        track.told_slowness, track.told_answer_s, track.told_others = 1.0, None, 0.0


def _typical_percent(tracks: Collection[UpstreamTrack]) -> float:
    """Return the median reported work time of the upstreams with measurements.

    The pool's typical interval is the median of the same upstreams.
    """
    percents = sorted(
        track.usual_work.percent
        for track in tracks
        if track.usual_work.percent is not None and track.event_interval_s is not None
    )
    return percents[len(percents) // 2] if percents else USUAL_PERCENT


def _others(track: UpstreamTrack, typical_s: float | None, now: float) -> float:
    """Return how many requests of other nodes a service has at least.

    Those that it reported end at the rate of its answers.
    """
    told = track.told
    answer_s = track.event_interval_s or typical_s
    if told is None or not answer_s:
        return 0.0
    reported = (told.running or 0) + (told.waiting or 0) - track.own_when_told
    return max(reported, 0) * math.exp(min(told.at - now, 0.0) / answer_s)
