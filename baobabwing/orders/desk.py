"""Carries out confirmed plans and corrects engines under the orders lease."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from baobabwing.orders.correction import correct_engines
from baobabwing.orders.engines import Engines
from baobabwing.orders.errors import LeaseLostError
from baobabwing.orders.execution import OrderExecution, OrderTiming
from baobabwing.orders.lease import Leaseholder
from baobabwing.orders.mover import Mover
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.plans.record import Plan
from baobabwing.store.tables import Tables

__all__ = ["ORDERS_LEASE", "OrderDesk", "OrderRound"]

ORDERS_LEASE = "orders"
_LEASE_S = 15.0


@dataclass(frozen=True, kw_only=True)
class OrderRound:
    """Result of one round of work under the lease.

    :param still_open: ids of plans that could not be finished.
    :param corrected: names of engines that were ordered back to their target.
    """

    still_open: tuple[str, ...]
    corrected: tuple[str, ...]


class OrderDesk:
    """Carries out plans with orders, for operators' commands and for nodes.

    :param tables: the table service.
    :param engines: sends orders to engines.
    :param holder: name of this process, for operators to read.
    :param timing: times of orders.
    :param lease_s: duration of the lease; several times the longest order.
    :param clock: returns the seconds of a monotonic clock.
    :param sleep: waits for some seconds.
    """

    def __init__(
        self,
        *,
        tables: Tables,
        engines: Engines,
        holder: str,
        timing: OrderTiming | None = None,
        lease_s: float = _LEASE_S,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._tables = tables
        self._engines = engines
        self._timing = timing or OrderTiming()
        self._clock = clock
        self._sleep = sleep
        self._holder = Leaseholder(
            tables=tables,
            name=ORDERS_LEASE,
            holder=holder,
            duration_s=lease_s,
            clock=clock,
        )

    def carry_out(
        self, plan: Plan, author: str, *, wait_s: float = 60.0
    ) -> Configuration:
        """Carry out a plan, after the moves that earlier holders left open.

        :param plan: the confirmed plan.
        :param author: who confirmed it.
        :param wait_s: longest wait for the lease.
        :returns: the configuration that the plan put in force.
        :raises LeaseLostError: if another process holds the lease; the plan is
            recorded as an open move, which that process continues.
        :raises ConflictError: as :meth:`baobabwing.orders.mover.Mover.run`.
        :raises OrderError: likewise.
        :raises PlatformError: likewise.
        """
        deadline = self._clock() + wait_s
        self._make_mover(self._make_execution()).begin(plan, author=author)
        while self._holder.acquire() is None:
            if self._clock() >= deadline:
                raise LeaseLostError("another process holds the lease", step="lease")
            self._sleep(self._timing.poll_s)
        with self._open_execution() as execution:
            mover = self._make_mover(execution)
            mover.run_open_moves(excluded_plan_id=plan.id)
            return mover.run(plan.id)

    def run_once(self) -> OrderRound | None:
        """Finish open moves and correct engines if the lease can be acquired.

        :returns: the result, or ``None`` if another process holds the lease.
        :raises LeaseLostError: if another process took the lease.
        :raises PlatformError: if the store does not answer.
        """
        if self._holder.acquire() is None:
            return None
        with self._open_execution() as execution:
            still_open = self._make_mover(execution).run_open_moves()
            corrected = correct_engines(tables=self._tables, execution=execution)
        return OrderRound(still_open=still_open, corrected=corrected)

    @contextmanager
    def _open_execution(self) -> Iterator[OrderExecution]:
        execution = self._make_execution()
        try:
            yield execution
        finally:
            # An order whose answer was lost may still arrive. The lease is then
            # left to lapse, and the next holder waits out the longest order.
            if execution.may_release:
                self._holder.release()
            else:
                self._holder.abandon()

    def _make_execution(self) -> OrderExecution:
        return OrderExecution(
            engines=self._engines,
            holder=self._holder,
            timing=self._timing,
            clock=self._clock,
            sleep=self._sleep,
        )

    def _make_mover(self, execution: OrderExecution) -> Mover:
        return Mover(
            tables=self._tables,
            holder=self._holder,
            execution=execution,
            settle_s=self._timing.settle_s,
        )
