"""Whether a request may be sent to another upstream."""

from __future__ import annotations

import time

from baobabwing.gateway.call import AttemptResult, Call
from baobabwing.gateway.pool import PoolRuntime
from baobabwing.gateway.state import GatewayState

__all__ = ["RETURN_TRIP_S", "Retries"]

# Latency of an answer from this node to the caller, subtracted from the time that an
# upstream gets.
RETURN_TRIP_S = 0.01
# Limit on sends of one request, including those that upstreams provably did not run.
_MAX_SENDS = 4
# Retries that have to be left for a stream to move, and the share of what the budget
# holds at most, where that is less.
_MIN_MOVE_BUDGET = 3.0
_MIN_MOVE_SHARE = 0.9


class Retries:
    """Applies the bounds on sends, runs and retries to the requests of this node.

    :param state: holds quarantined requests and the number of nodes that share the
        retry budgets.
    """

    def __init__(self, *, state: GatewayState) -> None:
        self._state = state

    def ends_at(self, call: Call) -> float:
        """Return when a call ends: by its deadline, or as this node stops."""
        return min(call.ends_at, self._state.shutdown.stops_at)

    def quarantined_s(self, call: Call) -> float:
        """Return how long a request stays quarantined; 0 if it may be sent.

        While it waited, upstreams may have crashed while running the same request, or
        others with a part of its prompt, sent by this node or another one.
        """
        now = time.monotonic()
        quarantine, parts = self._state.quarantine, self._state.parts
        held_s = quarantine.held_s(call.digest, now) if quarantine.any_held(now) else 0
        held = parts.held_in(call.parts)
        if held == [call.tried_part] and not call.passed_on:
            return held_s
        return max(held_s, parts.retry_after_s(held, now)) if held else held_s

    def obstacle(self, call: Call, result: AttemptResult) -> str:
        """Return why a request may not be sent again, whatever the budget; or nothing.

        :param result: how its last attempt ended.
        """
        if call.passed_through:
            return "answer has begun"
        if self.quarantined_s(call) > 0:
            return "quarantined"
        if time.monotonic() >= call.ends_at - RETURN_TRIP_S:
            return "deadline"
        if call.sends >= _MAX_SENDS:
            return "all sends used"
        ran = result not in (AttemptResult.UNSENT, AttemptResult.NOT_RUN)
        may_run_again = call.route.repeatable and call.runs < call.route.attempts
        if ran and not may_run_again:
            return "all runs used"
        return ""

    def budget_left(self, pool: PoolRuntime) -> float:
        """Return the retries that are left for a pool at this node."""
        return pool.budget.remaining(time.monotonic())

    def may_move(self, pool: PoolRuntime) -> bool:
        """Whether a stream that runs may use a retry to go on elsewhere.

        Failed requests go first: only a bucket that is almost full has some to spare.
        """
        needed = min(_MIN_MOVE_BUDGET, _MIN_MOVE_SHARE * pool.budget.capacity)
        return self.budget_left(pool) >= max(needed, 1.0)

    def take(self, call: Call, pool: PoolRuntime, result: AttemptResult) -> str:
        """Set a retry aside for a call; return why there is none, or nothing.

        A request that was never passed on is no retry when it is sent.

        :param result: how the last attempt ended.
        """
        obstacle = self.obstacle(call, result)
        if obstacle or not call.passed_on or call.has_retry:
            return obstacle
        if not pool.budget.try_take(time.monotonic()):
            return "retry budget used up"
        call.has_retry = True
        return ""

    def sending(self, call: Call, pool: PoolRuntime) -> None:
        """Count a send, about to be made over an open connection."""
        if call.has_retry:
            pool.budget.spend()
            call.has_retry = False
        call.passed_on += 1

    def over(self, call: Call, pool: PoolRuntime) -> None:
        """Give back the retry of a request that has ended before it was sent again."""
        if call.has_retry:
            pool.budget.give_back()
            call.has_retry = False
