"""Carries out single orders: each brings one engine into one state."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from baobabwing.orders.engines import EngineOrder, Engines, EngineState
from baobabwing.orders.errors import OrderError, OrderRefusedError, StaleFenceError
from baobabwing.orders.lease import Lease, Leaseholder
from baobabwing.pools.catalogue import Upstream

__all__ = ["OrderExecution", "OrderTiming"]


@dataclass(frozen=True, kw_only=True)
class OrderTiming:
    """Times of orders.

    :param order_s: longest time that an order can be in transit; the timeout of
        the sender must not be longer.
    :param load_s: longest time in which an engine loads its models.
    :param poll_s: time between two reads of the state of an engine that loads.
    :param load_spacing_s: shortest time between two orders to load, which keeps
        within the weight store's limit.
    :param settle_s: time after a switch in which nodes apply it and open requests
        end, before models are unloaded.
    :param attempts: number of times an order is sent before it counts as failed.
    """

    order_s: float = 2.0
    load_s: float = 600.0
    poll_s: float = 0.5
    load_spacing_s: float = 1.0
    settle_s: float = 30.0
    attempts: int = 3


class OrderExecution:
    """Sends orders under a lease and reads back their effect.

    :param engines: sends orders to engines.
    :param holder: holds the lease under which they are sent.
    :param timing: times of orders.
    :param clock: returns the seconds of a monotonic clock.
    :param sleep: waits for some seconds.
    """

    def __init__(
        self,
        *,
        engines: Engines,
        holder: Leaseholder,
        timing: OrderTiming,
        clock: Callable[[], float],
        sleep: Callable[[float], None],
    ) -> None:
        self._engines = engines
        self._holder = holder
        self._timing = timing
        self._clock = clock
        self._sleep = sleep
        self._next_load_at = float("-inf")
        self._outcomes_known = True

    @property
    def may_release(self) -> bool:
        """Whether no order of this holder or an earlier one can be in transit."""
        lease = self._holder.lease
        if lease is None or not self._outcomes_known:
            return False
        return self._clock() >= lease.taken_over_at + self._timing.order_s

    def ensure_models(
        self, upstream: Upstream, models: tuple[str, ...], *, order_id: str
    ) -> None:
        """Order an engine to hold some models, and wait until it has loaded them.

        :param order_id: identifies the step of the plan.
        :raises LeaseLostError: if another holder gives orders or may do so.
        :raises OrderRefusedError: if the engine refused the last attempt, or did
            not load the models in time.
        :raises OrderError: if the last attempt failed otherwise.
        """
        failure: OrderError | None = None
        for _ in range(self._timing.attempts):
            try:
                self._attempt(upstream, models, order_id)
                return
            except OrderError as exc:
                # The order may have taken effect although its answer was lost.
                # It specifies a state, so sending it again is harmless, and the
                # next attempt first reads whether the engine is in that state.
                failure = exc
                self.pause(self._timing.poll_s)
        raise failure

    def pause(self, seconds: float) -> None:
        """Wait while keeping the lease.

        :raises LeaseLostError: if the lease cannot be kept.
        """
        end = self._clock() + seconds
        while (remaining_s := end - self._clock()) > 0:
            self._sleep(min(remaining_s, self._timing.poll_s))
            self._holder.require(0.0, step="wait")

    def has_models(self, upstream: Upstream, models: tuple[str, ...]) -> bool:
        """Whether the last order of an engine was to hold exactly these models.

        :raises LeaseLostError: if that order was of a later holder.
        :raises OrderError: if the engine does not answer.
        """
        return self._read_state(upstream).models == frozenset(models)

    def _attempt(
        self, upstream: Upstream, models: tuple[str, ...], order_id: str
    ) -> None:
        target = frozenset(models)
        state = self._read_state(upstream)
        lease = self._holder.require(self._timing.order_s, step="order")
        if state.models != target or state.fence != lease.token:
            lease = self._wait_before_order(upstream, loads=not target <= state.loaded)
            order = EngineOrder(fence=lease.token, order_id=order_id, models=models)
            self._send_order(upstream, order)
        self._wait_until_loaded(upstream, target)

    def _send_order(self, upstream: Upstream, order: EngineOrder) -> None:
        try:
            self._engines.order(upstream, order)
        except OrderRefusedError:
            raise
        except OrderError:
            self._outcomes_known = False
            raise

    def _wait_before_order(self, upstream: Upstream, *, loads: bool) -> Lease:
        lease = self._holder.require(self._timing.order_s, step="order")
        if not upstream.checks_fencing:
            # An order of the earlier holder can still be in transit when its
            # lease has lapsed, and this engine would accept it after ours. The
            # lease was taken over only after it had lapsed, so it is enough to
            # wait for the longest order from then on.
            earlier_orders_end_at = lease.taken_over_at + self._timing.order_s
            self.pause(earlier_orders_end_at - self._clock())
        if loads:
            self.pause(self._next_load_at - self._clock())
            self._next_load_at = self._clock() + self._timing.load_spacing_s
        return self._holder.require(self._timing.order_s, step="order")

    def _wait_until_loaded(self, upstream: Upstream, target: frozenset[str]) -> None:
        deadline = self._clock() + self._timing.load_s
        while True:
            state = self._read_state(upstream)
            if state.models != target:
                raise OrderError(
                    "engine is in another state", step="read back", peer=upstream.name
                )
            if target <= state.loaded:
                return
            if self._clock() >= deadline:
                raise OrderRefusedError(
                    "models were not loaded in time", step="load", peer=upstream.name
                )
            self.pause(self._timing.poll_s)

    def _read_state(self, upstream: Upstream) -> EngineState:
        state = self._engines.state(upstream)
        lease = self._holder.lease
        if lease is not None and state.fence > lease.token:
            # Engines that do not check fencing numbers still report them: a higher
            # one means that a later holder of the lease has given orders.
            raise StaleFenceError(
                "a later holder gave orders", step="read back", peer=upstream.name
            )
        return state
