"""Moves slow streams to a faster engine before their deadline."""

from __future__ import annotations

from collections.abc import Callable

from baobabwing.exceptions import NoSlotError
from baobabwing.gateway.call import Call
from baobabwing.gateway.decisions.cell_queue import UpdateKind
from baobabwing.gateway.decisions.scheduling import Grant, PlacementRequest
from baobabwing.gateway.pool import PoolRuntime
from baobabwing.gateway.state import GatewayState

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
# A move uses the retry budget too; it needs this much of it, so that failed requests
# can still be retried.
_MIN_RETRY_BUDGET = 3


class StreamMoves:
    """Decides which streams move, and requests a slot for them.

    On a slow engine an output that is longer than its caller estimated would be cut at
    its deadline, and all work on it wasted. Reading the prompt and the output so far
    again takes some 50 ms.

    :param state: state of this node.
    :param placement_request: returns the placement request of a call, given the number
        of tokens generated so far.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        placement_request: Callable[[Call, int], PlacementRequest],
    ) -> None:
        self._state = state
        self._placement_request = placement_request

    def should_move(
        self, call: Call, pool: PoolRuntime, grant: Grant, now: float
    ) -> bool:
        """Whether the stream now continues at the upstream of ``call.next_grant``.

        Called after each event; requests a slot at a faster engine if the stream is
        too slow.
        """
        if call.next_grant is not None:
            pool.budget.try_take(now, self._state.nodes)
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
        # An output that has run for so long is expected to grow by half at least.
        generated = _generated_tokens(call, pool)
        expected_total = max(
            call.request_head.expected_out, int(_MIN_OUTPUT_GROWTH * generated)
        )
        left_s = call.ends_at - now
        if (
            pool.scheduler.generation_s(expected_total - generated, grant.track)
            < _MAX_REMAINING_SHARE * left_s
        ):
            return False
        return pool.budget.remaining(self._state.nodes) >= _MIN_RETRY_BUDGET


def _generated_tokens(call: Call, pool: PoolRuntime) -> int:
    """Return the number of tokens generated so far."""
    return call.splitter.events * pool.scheduler.engine.tokens_per_event


def _handle_move_grant(
    call: Call, pool: PoolRuntime, result: Grant | NoSlotError | None
) -> None:
    """Handle the response to the request for a slot at a faster engine."""
    call.move_requested = False
    if not isinstance(result, Grant):
        return
    if call.finished or call.next_grant is not None:
        pool.free(result, UpdateKind.RELEASED)
        return
    call.next_grant = result
