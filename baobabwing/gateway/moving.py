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
_CHECK_S = 0.25
_AFTER = 0.2
_GROWTH = 1.5
_LEFT = 0.6
_BUDGET = 3


class StreamMoves:
    """Decides which streams move, and finds them a place.

    An output that is longer than its caller guessed would be cut at its deadline on a
    slow engine, after all the work for it. Reading its prompt and what it has generated
    again takes some 50 ms.

    :param state: what this node believes.
    :param ask: returns what a request wants, given the tokens that it has made.
    """

    def __init__(self, *, state: GatewayState, ask: Callable[[Call, int], Ask]) -> None:
        self._state = state
        self._ask = ask

    def goes_on_elsewhere(
        self, call: Call, pool: PoolRuntime, grant: Grant, now: float
    ) -> bool:
        """Whether a stream goes on at ``call.next_grant`` from here on.

        Asked after each event; looks for a place from time to time.
        """
        if call.next_grant is not None:
            pool.budget.take(now, self._state.nodes)
            return True
        if self._may_move(call, now) and self._is_too_slow(call, pool, grant, now):
            call.move_asked = True
            ask = self._ask(call, _made(call, pool))
            pool.move(ask, grant, lambda place: _take_place(call, pool, place))
        return False

    def _may_move(self, call: Call, now: float) -> bool:
        route = call.route
        if not route.resumable or call.runs >= route.attempts or call.move_asked:
            return False
        if now - call.move_checked_at < _CHECK_S:
            return False
        call.move_checked_at = now
        return now - call.arrived >= _AFTER * (call.ends_at - call.arrived)

    def _is_too_slow(
        self, call: Call, pool: PoolRuntime, grant: Grant, now: float
    ) -> bool:
        # Half as much again is the least that an output goes on which has gone on
        # for so long already.
        made = _made(call, pool)
        whole = max(call.envelope.expected_out, int(_GROWTH * made))
        left_s = call.ends_at - now
        if pool.scheduler.output_s(whole - made, grant.track) < _LEFT * left_s:
            return False
        return pool.budget.left(self._state.nodes) >= _BUDGET


def _made(call: Call, pool: PoolRuntime) -> int:
    """Return how many tokens a stream has had."""
    return call.splitter.events * pool.scheduler.engine.tokens_per_event


def _take_place(
    call: Call, pool: PoolRuntime, place: Grant | NoPlaceError | None
) -> None:
    """Take the answer to the question for a faster engine."""
    call.move_asked = False
    if not isinstance(place, Grant):
        return
    if call.over or call.next_grant is not None:
        pool.free(place, NoteKind.RELEASED)
        return
    call.next_grant = place
