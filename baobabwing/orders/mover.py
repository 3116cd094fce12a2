"""Carries out plans that give orders to engines.

The order of steps follows "A Transaction Model for Multidatabase Systems", section
3: loads, which can be compensated, come before the switch; unloads, which can be
retried, come after it. The switch puts the new configuration in force. A move that
fails before the switch is undone; after the switch it is always finished, by this
holder of the lease or by the next.
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
    :param holder: holds the lease; the caller acquires and releases it.
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
        self._move_store = MoveStore(tables=tables)

    def begin(self, plan: Plan, *, author: str) -> Move:
        """Record that a plan was confirmed, unless that is recorded already.

        From then on each holder of the lease continues the move until it ends.

        :raises ConflictError: if the configuration has changed since planning.
        :raises PlatformError: if the outcome is unknown; confirm again.
        """
        current = fetch_configuration(self._tables)
        if current is not None and current.version == plan.base:
            return self._move_store.begin(Move(plan=plan.id, author=author))
        # Either the plan is confirmed again after its switch, or there is a
        # conflict. Publishing detects and describes it before any order is given.
        publish_plan(self._tables, plan, author=author)
        return self._move_store.begin(Move(plan=plan.id, author=author))

    def run(self, plan_id: str) -> Configuration:
        """Continue one move under the lease that is held.

        :returns: the configuration that the plan put in force.
        :raises ConflictError: if the move was undone, with the reason: the
            configuration had changed, or an engine did not carry out its order.
        :raises OrderError: if an engine does not carry out its order; the move is
            left open for the next holder.
        :raises LeaseLostError: if the lease was lost; the next holder continues.
        :raises PlatformError: if the store is needed and does not answer; the
            move is left open.
        """
        plan = load_plan(self._tables, plan_id)
        move = self._move_store.load(plan_id)
        if move.state is MoveState.RUNNING:
            move = self._advance(plan, move)
        if move.state is MoveState.UNDOING:
            move = self._compensate(plan, move)
        if move.state is MoveState.UNDONE:
            raise ConflictError(f"plan was undone: {move.reason}", step="move")
        return publish_plan(self._tables, plan, author=move.author)

    def run_open_moves(self, *, excluded_plan_id: str = "") -> tuple[str, ...]:
        """Continue all moves that earlier holders left open.

        :param excluded_plan_id: id of a plan that is skipped.
        :returns: ids of the plans that are still open.
        :raises LeaseLostError: if the lease was lost; the next holder continues.
        :raises PlatformError: if the store does not answer.
        """
        for move in self._move_store.open_moves():
            if move.plan == excluded_plan_id:
                continue
            try:
                self.run(move.plan)
            except LeaseLostError:
                raise
            except ConflictError as exc:
                log(MOVE_UNDONE, plan=move.plan, reason=str(exc))
            except OrderError as exc:
                log(MOVE_LEFT_OPEN, plan=move.plan, reason=str(exc))
        return tuple(move.plan for move in self._move_store.open_moves())

    def _advance(self, plan: Plan, move: Move) -> Move:
        has_settled = False
        for index in range(move.steps_done, len(plan.steps)):
            step = plan.steps[index]
            if step.kind is StepKind.RETRIABLE and not has_settled:
                self._execution.pause(self._settle_s)
                has_settled = True
            try:
                self._run_step(plan, step, move)
            except LeaseLostError:
                raise
            except (OrderError, ConflictError) as exc:
                if step.kind is StepKind.RETRIABLE:
                    raise
                # The failed step may have taken effect, so it counts as done and
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

    def _compensate(self, plan: Plan, move: Move) -> Move:
        for index in reversed(range(move.steps_done)):
            step = plan.steps[index]
            if step.kind is StepKind.COMPENSATABLE:
                self._apply_target(plan, step)
            move = self._save(move, steps_done=index)
        log(MOVE_UNDONE, plan=plan.id, reason=move.reason)
        return self._save(move, state=MoveState.UNDONE)

    def _run_step(self, plan: Plan, step: Step, move: Move) -> None:
        if step.kind is StepKind.PIVOT:
            self._holder.require(0.0, step="switch")
            publish_plan(self._tables, plan, author=move.author)
        elif step.kind is StepKind.COMPENSATABLE:
            self._load_models(plan, step, move)
        else:
            self._apply_target(plan, step)

    def _load_models(self, plan: Plan, step: Step, move: Move) -> None:
        cfg = self._configuration()
        if cfg.version != plan.base:
            # The switch would fail later, so engines are not ordered to load.
            # Publishing raises the conflict, which says who changed what.
            publish_plan(self._tables, plan, author=move.author)
        target = _find_target(cfg, step)
        if target is not None:
            self._order(plan, step, target.upstream, step.models_after)

    def _apply_target(self, plan: Plan, step: Step) -> None:
        """Order an engine to its target by the configuration in force.

        Before the switch this is the state from before the plan, after the switch
        the state that the plan leads to. It is also right if another plan has
        changed the pool since.
        """
        target = _find_target(self._configuration(), step)
        if target is not None:
            self._order(plan, step, target.upstream, target.models)

    def _order(
        self, plan: Plan, step: Step, upstream: Upstream, models: tuple[str, ...]
    ) -> None:
        order_id = f"{plan.id}/{step.action}/{step.upstream}"
        self._execution.ensure_models(upstream, models, order_id=order_id)

    def _verify(self, plan: Plan) -> None:
        # An engine that does not check fencing numbers may have accepted an order
        # of an earlier holder after ours; reading its state back shows that.
        last = {step.upstream: step for step in plan.steps if step.upstream}
        for step in last.values():
            self._apply_target(plan, step)

    def _configuration(self) -> Configuration:
        cfg = fetch_configuration(self._tables)
        if cfg is None:
            raise SettingsError("no configuration in the store", step="move")
        return cfg

    def _save(self, move: Move, **changes: object) -> Move:
        lease = self._holder.require(0.0, step="move")
        return self._move_store.save(move, token=lease.token, **changes)


def _find_target(cfg: Configuration, step: Step) -> EngineTarget | None:
    """Return the target of a step's engine; ``None`` if it is leaving or removed."""
    targets = engine_targets(cfg)
    return next((t for t in targets if t.upstream.name == step.upstream), None)
