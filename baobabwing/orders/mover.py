"""Carry out plans that give orders to engines.

After "A Transaction Model for Multidatabase Systems", section 3: loads, which
can be compensated, come before the switch; unloads, which can be retried, after
it. A move that fails before the switch is undone, one that is past it is
finished, by this holder of the lease or by the next.
"""

from __future__ import annotations

from baobabwing.exceptions import ConflictError, SettingsError
from baobabwing.orders.errors import LeaseLostError, OrderError
from baobabwing.orders.events import MOVE_FINISHED, MOVE_LEFT_OPEN, MOVE_UNDONE
from baobabwing.orders.execution import OrderExecution
from baobabwing.orders.lease import Leaseholder
from baobabwing.orders.moves import Move, MoveState, MoveStore
from baobabwing.orders.targets import EngineTarget, engine_targets
from baobabwing.pools.catalogue import Upstream
from baobabwing.reports.events import log
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.fetch import fetch_configuration
from baobabwing.settings.plans.confirm import publish_plan
from baobabwing.settings.plans.record import Plan
from baobabwing.settings.plans.steps import Step, StepKind
from baobabwing.settings.plans.store import load_plan
from baobabwing.store.tables import Tables

__all__ = ["Mover"]


class Mover:
    """Carries out moves one at a time, under one lease.

    :param tables: the table service.
    :param holder: the lease; it is acquired before and released after.
    :param execution: gives the orders.
    :param settle_s: wait between the switch and the first unload.
    """

    def __init__(
        self,
        *,
        tables: Tables,
        holder: Leaseholder,
        execution: OrderExecution,
        settle_s: float,
    ) -> None:
        self._tables = tables
        self._holder = holder
        self._execution = execution
        self._settle_s = settle_s
        self._moves = MoveStore(tables=tables)

    def begin(self, plan: Plan, *, author: str) -> Move:
        """Note that a plan was confirmed, unless that is noted already.

        From here on some holder of the lease goes on with it.

        :raises ConflictError: if the configuration has moved on.
        :raises PlatformError: if it cannot be told; confirm again.
        """
        current = fetch_configuration(self._tables)
        if current is not None and current.version == plan.base:
            return self._moves.begin(Move(plan=plan.id, author=author))
        # Confirmed again, with the switch done; otherwise this is a conflict,
        # which publishing finds and names without any engine being touched.
        publish_plan(self._tables, plan, author=author)
        return self._moves.begin(Move(plan=plan.id, author=author))

    def run(self, plan_id: str) -> Configuration:
        """Go on with one move under the lease that is held.

        :returns: the configuration that the plan put in force.
        :raises ConflictError: if the move was undone, and why: the configuration
            had moved on, or an engine did not follow.
        :raises OrderError: if an engine does not follow, and the move is left
            open for the next holder.
        :raises LeaseLostError: if another holder goes on.
        :raises PlatformError: if the store is needed and does not answer; the
            move is left open.
        """
        plan = load_plan(self._tables, plan_id)
        move = self._moves.load(plan_id)
        if move.state is MoveState.RUNNING:
            move = self._go_forward(plan, move)
        if move.state is MoveState.UNDOING:
            move = self._go_back(plan, move)
        if move.state is MoveState.UNDONE:
            raise ConflictError(f"plan was undone: {move.reason}", step="move")
        return publish_plan(self._tables, plan, author=move.author)

    def run_open_moves(self, *, but: str = "") -> tuple[str, ...]:
        """Go on with all moves that earlier holders left.

        :param but: plan that is left out.
        :returns: ids of the plans that are still open.
        :raises LeaseLostError: if another holder goes on.
        :raises PlatformError: if the store does not answer.
        """
        for move in self._moves.open_moves():
            if move.plan == but:
                continue
            try:
                self.run(move.plan)
            except LeaseLostError:
                raise
            except ConflictError as exc:
                log(MOVE_UNDONE, plan=move.plan, reason=str(exc))
            except OrderError as exc:
                log(MOVE_LEFT_OPEN, plan=move.plan, reason=str(exc))
        return tuple(move.plan for move in self._moves.open_moves())

    def _go_forward(self, plan: Plan, move: Move) -> Move:
        settled = False
        for index in range(move.steps_done, len(plan.steps)):
            step = plan.steps[index]
            if step.kind is StepKind.RETRIABLE and not settled:
                self._execution.pause(self._settle_s)
                settled = True
            try:
                self._do(plan, step, move)
            except LeaseLostError:
                raise
            except (OrderError, ConflictError) as exc:
                if step.kind is StepKind.RETRIABLE:
                    raise
                # The failed step may have had effect, so it counts as done and
                # is compensated with the others.
                return self._save(
                    move,
                    state=MoveState.UNDOING,
                    steps_done=index + 1,
                    reason=str(exc),
                )
            move = self._save(move, steps_done=index + 1)
        self._verify(plan)
        log(MOVE_FINISHED, plan=plan.id)
        return self._save(move, state=MoveState.DONE)

    def _go_back(self, plan: Plan, move: Move) -> Move:
        for index in reversed(range(move.steps_done)):
            step = plan.steps[index]
            if step.kind is StepKind.COMPENSATABLE:
                self._restore(plan, step)
            move = self._save(move, steps_done=index)
        log(MOVE_UNDONE, plan=plan.id, reason=move.reason)
        return self._save(move, state=MoveState.UNDONE)

    def _do(self, plan: Plan, step: Step, move: Move) -> None:
        if step.kind is StepKind.PIVOT:
            self._holder.require(0.0, step="switch")
            publish_plan(self._tables, plan, author=move.author)
        elif step.kind is StepKind.COMPENSATABLE:
            self._load(plan, step, move)
        else:
            self._restore(plan, step)

    def _load(self, plan: Plan, step: Step, move: Move) -> None:
        cfg = self._configuration()
        if cfg.version != plan.base:
            # The switch would fail later; engines need not load for nothing.
            # Publishing names who changed what.
            publish_plan(self._tables, plan, author=move.author)
        target = _find(cfg, step)
        if target is not None:
            self._order(plan, step, target.upstream, step.models_after)

    def _restore(self, plan: Plan, step: Step) -> None:
        """Bring an engine to what the configuration in force asks of it.

        Before the switch that is the state before the plan, after it the state
        after it; and it stays right when somebody changed the pool since.
        """
        target = _find(self._configuration(), step)
        if target is not None:
            self._order(plan, step, target.upstream, target.models)

    def _order(
        self, plan: Plan, step: Step, upstream: Upstream, models: tuple[str, ...]
    ) -> None:
        order_id = f"{plan.id}/{step.action}/{step.upstream}"
        self._execution.bring_to(upstream, models, order_id=order_id)

    def _verify(self, plan: Plan) -> None:
        # An engine that does not check fencing numbers may have taken an order
        # of an earlier holder after ours; reading back shows it.
        last = {step.upstream: step for step in plan.steps if step.upstream}
        for step in last.values():
            self._restore(plan, step)

    def _configuration(self) -> Configuration:
        cfg = fetch_configuration(self._tables)
        if cfg is None:
            raise SettingsError("no configuration in the store", step="move")
        return cfg

    def _save(self, move: Move, **changes: object) -> Move:
        lease = self._holder.require(0.0, step="move")
        return self._moves.save(move, token=lease.token, **changes)


def _find(cfg: Configuration, step: Step) -> EngineTarget | None:
    """Return an engine as it is to be; one that left needs no orders."""
    targets = engine_targets(cfg)
    return next((t for t in targets if t.upstream.name == step.upstream), None)
