"""Whether a request can be whole before its node stops."""

from __future__ import annotations

import math
from collections.abc import Iterable

from baobabwing.gateway.decisions.scheduling import PlacementRequest, PoolScheduler
from baobabwing.gateway.decisions.tracking import UpstreamTrack

__all__ = [
    "expected_answer_s",
    "fits_before_stop",
    "longest_answer_s",
    "shortest_answer_s",
]

# Callers' estimates of their outputs are often exceeded, and engines slow down under
# load.
_OUTPUT_MARGIN = 2.0
_TIME_MARGIN = 2.0
# Time for which a sound engine may send nothing.
_MAX_SILENCE_S = 2.0


def expected_answer_s(
    scheduler: PoolScheduler,
    request: PlacementRequest,
    track: UpstreamTrack,
    now: float,
    *,
    max_output_tokens: int,
) -> float:
    """Return how long a whole answer takes at an upstream, with a margin.

    A request whose caller expects no number of tokens is expected to take as long as
    others have kept their slots, longer on a slow engine.

    :param max_output_tokens: the most that it may generate; 0 if not stated.
    """
    tokens = _OUTPUT_MARGIN * request.expected_output_tokens
    if max_output_tokens:
        tokens = min(tokens, max_output_tokens)
    scheduler.update_typical()
    answer_s = scheduler.first_event_s(request, track, now)
    output_s = (
        scheduler.generation_s(int(tokens), track)
        if tokens
        else scheduler.usual_output_s(track)
    )
    return _TIME_MARGIN * (answer_s + output_s)


def longest_answer_s(
    scheduler: PoolScheduler,
    request: PlacementRequest,
    tracks: Iterable[UpstreamTrack],
    now: float,
    *,
    streams: bool = True,
    max_output_tokens: int,
) -> float:
    """Return how long a whole answer takes at most, at the best of some upstreams.

    Its output may be as long as its caller allows, and the engine silent meanwhile. No
    speed is known of a stream of a plain service.

    :param streams: whether it is answered with a stream.
    :param max_output_tokens: the most that it may generate; 0 if not stated.
    :returns: infinity if that is not known.
    """
    scheduler.update_typical()
    answers = [
        scheduler.first_event_s(request, track, now) + output_s
        for track in tracks
        if (output_s := scheduler.generation_s(max_output_tokens, track))
        or (scheduler.engine is None and not streams)
    ]
    return _TIME_MARGIN * min(answers, default=math.inf) + _MAX_SILENCE_S


def shortest_answer_s(
    scheduler: PoolScheduler, request: PlacementRequest, wait_s: float, now: float
) -> float:
    """Return how long a whole answer takes at best, if it is as long as estimated.

    :param wait_s: expected wait for a slot.
    """
    scheduler.update_typical()
    answers = [
        scheduler.first_event_s(request, track, now)
        + scheduler.generation_s(request.expected_output_tokens, track)
        for track in scheduler.tracks.values()
        if track.is_usable(now)
    ]
    return wait_s + min(answers, default=0.0)


def fits_before_stop(
    expected_s: float,
    longest_s: float,
    *,
    now: float,
    ends_at: float,
    estimated_until: float,
    stops_at: float,
) -> bool:
    """Whether a stopping node can take a request.

    One whose caller stops waiting before the end of the node can't be cut by it. Any
    other is taken by its expected time only in the first part of the shutdown. After
    that the longest time counts, since outputs exceed their estimates and engines fall
    silent.

    :param expected_s: expected time to the whole answer.
    :param longest_s: longest time to the whole answer.
    :param ends_at: when its caller stops waiting for it.
    :param estimated_until: when the expected time ceases to count.
    :param stops_at: when the node closes its connections.
    """
    if ends_at <= stops_at:
        return True
    return now + (expected_s if now < estimated_until else longest_s) <= stops_at
