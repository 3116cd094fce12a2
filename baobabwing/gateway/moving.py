"""Streams that go on at a faster engine before their time runs out."""

from __future__ import annotations

from collections.abc import Callable

from baobabwing.exceptions import NoPlaceError
from baobabwing.gateway.call import Call
from baobabwing.gateway.decisions.cell_queue import NoteKind
from baobabwing.gateway.decisions.scheduling import Ask, Grant
from baobabwing.gateway.pool import PoolRuntime
from baobabwing.gateway.state import GatewayState

__all__ = ["StreamMoves"]

# A stream is looked at this often, from this share of its time on; it moves if the
# rest of it would take this share of the time that is left, and if so many second
# tries are left for those that fail.
_CHECK_INTERVAL_S = 0.25
_MIN_ELAPSED_SHARE = 0.2
_MIN_OUTPUT_GROWTH = 1.5
_MAX_REMAINING_SHARE = 0.6
_MIN_RETRY_BUDGET = 3


class StreamMoves:
    """Decides which streams move, and finds them a place.

    An output that is longer than its caller guessed would be cut at its deadline on a
    slow engine, after all the work for it. Reading its prompt and what it has generated
    again takes some 50 ms.

    :param state: what this node believes.
    :param placement_request: returns what a request wants, given the
        tokens that it has made.
    """

    def __init__(
        self, *, state: GatewayState, placement_request: Callable[[Call, int], Ask]
    ) -> None:
        self._state = state
        self._placement_request = placement_request

    def should_move(
        self, call: Call, pool: PoolRuntime, grant: Grant, now: float
    ) -> bool:
        """Whether a stream goes on at ``call.next_grant`` from here on.

        Asked after each event; looks for a place from time to time.
        """
        if call.next_grant is not None:
            pool.budget.take(now, self._state.nodes)
            return True
        if self._may_move(call, now) and self._is_too_slow(call, pool, grant, now):
            call.move_requested = True
            request = self._placement_request(call, _generated_tokens(call, pool))
            pool.move(
                request, grant, lambda result: _handle_move_grant(call, pool, result)
            )
        return False

    def _may_move(self, call: Call, now: float) -> bool:
        route = call.route
        if not route.resumable or call.runs >= route.attempts or call.move_requested:
            return False
        if now - call.move_checked_at < _CHECK_INTERVAL_S:
            return False
        call.move_checked_at = now
        return now - call.arrived >= _MIN_ELAPSED_SHARE * (call.ends_at - call.arrived)

    def _is_too_slow(
        self, call: Call, pool: PoolRuntime, grant: Grant, now: float
    ) -> bool:
        # Half as much again is the least that an output goes on which has gone on
        # for so long already.
        generated = _generated_tokens(call, pool)
        expected_total = max(
            call.envelope.expected_out, int(_MIN_OUTPUT_GROWTH * generated)
        )
        left_s = call.ends_at - now
        if (
            pool.scheduler.output_s(expected_total - generated, grant.track)
            < _MAX_REMAINING_SHARE * left_s
        ):
            return False
        return pool.budget.left(self._state.nodes) >= _MIN_RETRY_BUDGET


def _generated_tokens(call: Call, pool: PoolRuntime) -> int:
    """Return how many tokens a stream has had."""
    return call.splitter.events * pool.scheduler.engine.tokens_per_event


def _handle_move_grant(
    call: Call, pool: PoolRuntime, result: Grant | NoPlaceError | None
) -> None:
    """Take the answer to the question for a faster engine."""
    call.move_requested = False
    if not isinstance(result, Grant):
        return
    if call.finished or call.next_grant is not None:
        pool.free(result, NoteKind.RELEASED)
        return
    call.next_grant = result
