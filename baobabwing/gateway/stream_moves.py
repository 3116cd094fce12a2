"""Moves slow streams to a faster engine before their deadline, or the node's stop."""

from __future__ import annotations

from baobabwing.gateway.call import AttemptResult, Call
from baobabwing.gateway.decisions.scheduling import Grant
from baobabwing.gateway.pool import PoolRuntime
from baobabwing.gateway.replacements import Replacements
from baobabwing.gateway.retries import Retries

__all__ = ["StreamMoves"]

# A stream is checked this often, once this share of its time has passed.
_CHECK_INTERVAL_S = 0.25
_MIN_ELAPSED_SHARE = 0.2
# The whole output is assumed to be at least this many times as long as the part
# generated so far.
_MIN_OUTPUT_GROWTH = 1.5
# A stream moves if the rest of its output would take at least this share of the time
# that is left.
_MAX_REMAINING_SHARE = 0.6


class StreamMoves:
    """Decides which streams move, and searches for slots for them.

    On a slow engine an output that is longer than its caller estimated would be cut at
    its deadline, and all work on it wasted. Reading the prompt and the output so far
    again takes some 50 ms.

    :param retries: bounds on sends and retries.
    :param replacements: finds slots at faster engines.
    """

    def __init__(self, *, retries: Retries, replacements: Replacements) -> None:
        self._retries = retries
        self._replacements = replacements

    def should_move(
        self, call: Call, pool: PoolRuntime, grant: Grant, now: float
    ) -> bool:
        """Whether the stream now continues at ``call.replacement``.

        Called after each event; searches for a slot at a faster engine if the stream
        is too slow.
        """
        if call.search is not None:
            return call.search.done() and self._take_found(call, pool)
        if self._may_move(call, now) and self._is_too_slow(call, pool, grant, now):
            generated = _generated_tokens(call, pool)
            self._replacements.start(
                call,
                self._replacements.find_faster(call, pool, grant, generated),
            )
        return False

    def _take_found(self, call: Call, pool: PoolRuntime) -> bool:
        """Take over the result of the search; return whether it can be used."""
        if self._replacements.take_found(call):
            return True
        found, call.search = call.search.result(), None
        if found is not None:
            self._replacements.give_back(pool, found)
        return False

    def _may_move(self, call: Call, now: float) -> bool:
        if not call.route.resumable:
            return False
        if now - call.move_checked_at < _CHECK_INTERVAL_S:
            return False
        call.move_checked_at = now
        if self._retries.obstacle(call, AttemptResult.FAILED):
            return False
        time_s = self._retries.ends_at(call) - call.arrived
        return now - call.arrived >= _MIN_ELAPSED_SHARE * time_s

    def _is_too_slow(
        self, call: Call, pool: PoolRuntime, grant: Grant, now: float
    ) -> bool:
        # An output that has run for so long is expected to grow by half at least.
        generated = _generated_tokens(call, pool)
        expected_total = max(
            call.request_head.expected_out, int(_MIN_OUTPUT_GROWTH * generated)
        )
        if call.request_head.tokens_out:
            # One that may be at its end has nothing left to go on with elsewhere.
            expected_total = min(expected_total, call.request_head.tokens_out)
        left_s = self._retries.ends_at(call) - now
        if (
            pool.scheduler.generation_s(expected_total - generated, grant.track)
            < _MAX_REMAINING_SHARE * left_s
        ):
            return False
        return self._retries.may_move(pool)


def _generated_tokens(call: Call, pool: PoolRuntime) -> int:
    """Return the number of tokens generated so far."""
    return call.splitter.events * pool.scheduler.engine.tokens_per_event
