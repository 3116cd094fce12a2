"""Carry out one order: bring one engine into one state."""

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

    :param order_s: longest time an order can be on its way; the timeout of
        whoever gives it must not be longer.
    :param load_s: longest time in which an engine loads a model.
    :param poll_s: time between two looks at an engine that loads.
    :param load_spacing_s: least time between two orders to load, which keeps
        within the weight store's limit.
    :param settle_s: time after a switch in which nodes take it up and requests
        under way end, before models are unloaded.
    :param attempts: how often an order is given before it counts as failed.
    """

    order_s: float = 2.0
    load_s: float = 600.0
    poll_s: float = 0.5
    load_spacing_s: float = 1.0
    settle_s: float = 30.0
    attempts: int = 3


class OrderExecution:
    """Gives orders under a lease and reads back what they did.

    :param engines: how orders reach engines.
    :param holder: the lease under which they are given.
    :param clock: gives seconds of a monotonic clock.
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
        self._is_settled = True

    @property
    def may_release(self) -> bool:
        """Whether no order, of this holder or an earlier one, can be on its way."""
        lease = self._holder.lease
        if lease is None or not self._is_settled:
            return False
        return self._clock() >= lease.taken_over_at + self._timing.order_s

    def bring_to(
        self, upstream: Upstream, models: tuple[str, ...], *, order_id: str
    ) -> None:
        """Bring an engine to hold some models, and wait until it does.

        :raises LeaseLostError: if another holder is or may be at work.
        :raises OrderRefusedError: if the engine refused every time.
        :raises OrderError: if it did not get there in time.
        """
        failure: OrderError | None = None
        for _ in range(self._timing.attempts):
            try:
                self._bring_once(upstream, models, order_id)
                return
            except OrderError as exc:
                # The order may have taken effect although its answer was lost.
                # It names a state, so giving it again is harmless, and the next
                # round first looks whether the engine is there already.
                failure = exc
                self.pause(self._timing.poll_s)
        raise failure

    def pause(self, seconds: float) -> None:
        """Wait while keeping the lease.

        :raises LeaseLostError: if it cannot be kept.
        """
        end = self._clock() + seconds
        while (left := end - self._clock()) > 0:
            self._sleep(min(left, self._timing.poll_s))
            self._holder.require(0.0, step="wait")

    def holds(self, upstream: Upstream, models: tuple[str, ...]) -> bool:
        """Tell whether an engine was ordered to hold just these models.

        :raises LeaseLostError: if it follows a later holder.
        :raises OrderError: if it does not answer.
        """
        return self._read(upstream).models == frozenset(models)

    def _bring_once(
        self, upstream: Upstream, models: tuple[str, ...], order_id: str
    ) -> None:
        wanted = frozenset(models)
        state = self._read(upstream)
        lease = self._holder.require(self._timing.order_s, step="order")
        if state.models != wanted or state.fence != lease.token:
            lease = self._wait_for_turn(upstream, loads=not wanted <= state.loaded)
            order = EngineOrder(fence=lease.token, order_id=order_id, models=models)
            self._give(upstream, order)
        self._wait_until_loaded(upstream, wanted)

    def _give(self, upstream: Upstream, order: EngineOrder) -> None:
        try:
            self._engines.order(upstream, order)
        except OrderRefusedError:
            raise
        except OrderError:
            self._is_settled = False
            raise

    def _wait_for_turn(self, upstream: Upstream, *, loads: bool) -> Lease:
        lease = self._holder.require(self._timing.order_s, step="order")
        if not upstream.checks_fencing:
            # An order of the earlier holder can still be on its way when its
            # lease has lapsed; this engine would take it after ours. The lease
            # was taken over only after it lapsed, so the longest order is left
            # to wait for.
            quiet_at = lease.taken_over_at + self._timing.order_s
            self.pause(quiet_at - self._clock())
        if loads:
            self.pause(self._next_load_at - self._clock())
            self._next_load_at = self._clock() + self._timing.load_spacing_s
        return self._holder.require(self._timing.order_s, step="order")

    def _wait_until_loaded(self, upstream: Upstream, wanted: frozenset[str]) -> None:
        deadline = self._clock() + self._timing.load_s
        while True:
            state = self._read(upstream)
            if state.models != wanted:
                raise OrderError(
                    "engine is in another state", step="read back", peer=upstream.name
                )
            if wanted <= state.loaded:
                return
            if self._clock() >= deadline:
                raise OrderRefusedError(
                    "models not loaded in time", step="load", peer=upstream.name
                )
            self.pause(self._timing.poll_s)

    def _read(self, upstream: Upstream) -> EngineState:
        state = self._engines.state(upstream)
        lease = self._holder.lease
        if lease is not None and state.fence > lease.token:
            # Engines that do not check fencing numbers still show them: a higher
            # one means that a successor is at work.
            raise StaleFenceError(
                "a later holder gave orders", step="read back", peer=upstream.name
            )
        return state
