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


class Retries:
    """Applies the bounds on sends, runs and retries to the requests of this node.

    :param state: holds quarantined requests and the number of nodes that share the
        retry budgets.
    """

    def __init__(self, *, state: GatewayState) -> None:
        self._state = state

    def quarantined_s(self, call: Call) -> float:
        """Return how long a request stays quarantined; 0 if it may be sent.

        While it waited, upstreams may have crashed while running the same request,
        sent by this node or another one.
        """
        now = time.monotonic()
        quarantine = self._state.quarantine
        return quarantine.held_s(call.digest, now) if quarantine.any_held(now) else 0.0

    def obstacle(self, call: Call, result: AttemptResult) -> str:
        """Return why a request may not be sent again, whatever the budget; or nothing.

        :param result: how its last attempt ended.
        """
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
        return pool.budget.remaining(time.monotonic(), self._state.nodes)

    def take(self, call: Call, pool: PoolRuntime, result: AttemptResult) -> str:
        """Take a retry from the budget; return why there is none, or nothing.

        :param result: how the last attempt ended; one without a connection was no
            send, and the next one is no retry.
        """
        obstacle = self.obstacle(call, result)
        if obstacle or result is AttemptResult.UNSENT:
            return obstacle
        if not pool.budget.try_take(time.monotonic(), self._state.nodes):
            return "retry budget used up"
        return ""
