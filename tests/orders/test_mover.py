"""Moves are finished or undone despite crashes and concurrent changes."""

from dataclasses import replace

import pytest

from baobabwing.cli.config import EXIT_CONFLICT, EXIT_LEFT_OPEN, exit_code
from baobabwing.exceptions import ConflictError, PlatformUncertainError
from baobabwing.orders.correction import correct_engines
from baobabwing.orders.desk import OrderDesk
from baobabwing.orders.engines import EngineOrder
from baobabwing.orders.errors import LeaseLostError, OrderError
from baobabwing.orders.moves import MoveStore
from baobabwing.settings.fetch import fetch_configuration
from baobabwing.settings.plans import confirm, plan
from baobabwing.settings.publish import publish
from baobabwing.store.memory import Fault

OLD = {"e1": ["m1"], "e2": ["m1"]}
BOTH = {"e1": ["m1", "m2"], "e2": ["m1", "m2"]}
NEW = {"e1": ["m2"], "e2": ["m2"]}
LEASE_S = 10.0


class KilledError(Exception):
    """Stands for the death of the process."""


def make_plan(site, old="m1", new="m2"):
    arguments = {"old": old, "new": new}
    return plan(site.tables, intent="roll-version", arguments=arguments, author="ana")


def make_desk(site, name="desk"):
    return OrderDesk(
        tables=site.tables,
        engines=site.engines,
        holder=name,
        timing=site.timing,
        lease_s=LEASE_S,
        clock=site.clock,
        sleep=site.clock.sleep,
    )


def confirm_plan(site, roll_plan):
    desk = make_desk(site)
    return confirm(site.tables, roll_plan.id, author="eva", carry_out=desk.carry_out)


def begin(site, roll_plan):
    holder = site.acquire(site.holder())
    mover = site.mover(holder)
    mover.begin(roll_plan, author="eva")
    return mover


def open_moves(site):
    return MoveStore(tables=site.tables).open_moves()


def test_roll_version(site):
    roll_plan = make_plan(site)
    states_at_orders = []
    site.engines.on_order = lambda *_: states_at_orders.append(
        (fetch_configuration(site.tables).version, site.models())
    )
    cfg = confirm_plan(site, roll_plan)
    assert (cfg.version, cfg.author) == (2, "eva")
    assert site.models() == NEW
    assert [version for version, _ in states_at_orders] == [1, 1, 2, 2]
    assert states_at_orders[2][1] == BOTH
    assert open_moves(site) == ()
    assert confirm_plan(site, roll_plan).version == 2
    assert len(states_at_orders) == 4


def test_engine_that_cannot_load_undoes_the_move(site):
    """Guards against a move that stays half done when one engine cannot load.

    Callers were never routed to the new version. The engines that loaded it
    unload it again, and the error names the engine that has no room.
    """
    site.engines.full.add("e2")
    with pytest.raises(ConflictError, match="no room.*e2"):
        confirm_plan(site, make_plan(site))
    assert site.models() == OLD
    assert fetch_configuration(site.tables).version == 1
    assert open_moves(site) == ()


def test_conflict_found_before_any_order(site):
    roll_plan, rival = make_plan(site), make_plan(site, new="m3")
    confirm_plan(site, rival)
    orders = len(site.engines.received)
    with pytest.raises(ConflictError, match="version 2 by eva: roll version m1 to m3"):
        confirm_plan(site, roll_plan)
    assert len(site.engines.received) == orders


def test_conflict_at_the_switch_undoes_the_loads(site):
    """Guards against a switch that overwrites the change of another operator.

    That operator publishes while engines load. The switch fails, and the engines
    return to their targets by the configuration now in force.
    """
    roll_plan, rival = make_plan(site), make_plan(site, new="m3")

    def on_order(upstream, order):
        if upstream.name == "e2" and not site.engines.on_order_done:
            site.engines.on_order_done = True
            confirm(
                site.tables,
                rival.id,
                author="eva",
                carry_out=lambda item, who: site.publish(item, who),
            )

    site.engines.on_order_done = False
    site.engines.on_order = on_order
    with pytest.raises(ConflictError, match="version 2 by eva"):
        confirm_plan(site, roll_plan)
    assert fetch_configuration(site.tables).summary.startswith("roll version m1 to m3")
    assert site.models() == {"e1": ["m3"], "e2": ["m3"]}


def test_conflict_found_by_the_next_holder_before_any_order(site):
    roll_plan = make_plan(site)
    mover = begin(site, roll_plan)
    cfg = fetch_configuration(site.tables)
    publish(site.tables, base=1, cfg=replace(cfg, author="eva", attempt=""))
    with pytest.raises(ConflictError, match="version 2 by eva"):
        mover.run(roll_plan.id)
    assert [set(order.models) for _, order in site.engines.received] == [{"m1"}]


def test_load_that_took_effect_unseen_is_undone(site):
    """Guards against an engine that keeps a version whose load counted as failed.

    The engine accepts the order to load, and then becomes unresponsive. Undoing
    the move has to cover the failed step as well.
    """

    def on_order(upstream, order):
        if upstream.name == "e2":
            site.engines.accept(upstream, order)
            site.engines.unreachable.add("e2")

    site.engines.on_order = on_order
    with pytest.raises(OrderError):
        confirm_plan(site, make_plan(site))
    assert site.models()["e2"] == ["m1", "m2"]
    site.engines.on_order = None
    site.engines.unreachable.clear()
    desk = make_desk(site, "next")
    while desk.run_once() is None:
        site.clock.sleep(1.0)
    assert site.models() == OLD
    assert open_moves(site) == ()


def test_late_order_within_a_move_is_seen_at_its_end(make_site):
    """Guards against a late order that a move does not notice.

    An order of a dead holder reaches an engine that does not check fencing
    numbers, after the move has unloaded the old version there. The move reads all
    states back at its end and orders the engine again.
    """
    site = make_site(unchecked=("e1",))
    late = EngineOrder(fence=0, order_id="old", models=("m1",))

    def on_order(upstream, order):
        if upstream.name == "e2" and set(order.models) == {"m2"}:
            site.engines.accept(site.upstreams[0], late)

    site.engines.on_order = on_order
    confirm_plan(site, make_plan(site))
    assert site.models() == NEW


def test_engines_in_an_open_move_are_not_corrected(site):
    roll_plan = make_plan(site)
    mover = begin(site, roll_plan)
    site.engines.full.add("e2")
    site.engines.on_order = lambda upstream, _: (
        site.engines.unreachable.add("e1") if upstream.name == "e2" else None
    )
    with pytest.raises(OrderError):
        mover.run(roll_plan.id)
    site.engines.unreachable.clear()
    execution = site.execution(site.acquire(site.holder("next")))
    assert correct_engines(tables=site.tables, execution=execution) == ()
    assert site.models()["e1"] == ["m1", "m2"]


def test_progress_of_a_successor_is_not_overwritten(site):
    begin(site, make_plan(site))
    store = MoveStore(tables=site.tables)
    (move,) = store.open_moves()
    saved = store.save(move, token=2, steps_done=3)
    with pytest.raises(LeaseLostError):
        store.save(move, token=1, steps_done=1)
    assert store.open_moves() == (saved,)


@pytest.mark.parametrize("after_effect", [False, True])
@pytest.mark.parametrize("order", range(4))
def test_next_holder_finishes_what_a_dead_one_left(site, order, after_effect):
    """Guards against a move that stays open after its process died.

    The process dies before or after its n-th order takes effect. The next holder
    of the lease finds the move in the store and finishes it.
    """
    mover = begin(site, make_plan(site))
    count = 0

    def on_order(upstream, engine_order):
        nonlocal count
        count += 1
        if count == order + 1:
            if after_effect:
                site.engines.accept(upstream, engine_order)
            raise KilledError

    site.engines.on_order = on_order
    with pytest.raises(KilledError):
        mover.run(MoveStore(tables=site.tables).open_moves()[0].plan)
    desk = make_desk(site, "next")
    while desk.run_once() is None:
        site.clock.sleep(1.0)
    assert site.models() == NEW
    assert fetch_configuration(site.tables).version == 2
    assert open_moves(site) == ()


def test_store_goes_down_at_the_switch(site):
    """Guards against undoing a move whose switch has taken effect.

    The answer to the switch is lost and the store becomes unavailable. The error
    says that the effect is unknown. Undoing would unload a version that callers
    are routed to, so the move stays open until the outcome can be read.
    """
    roll_plan = make_plan(site)
    down = False

    def on_call(call):
        nonlocal down
        if down:
            return Fault.REFUSE
        down = call.operation == "put" and call.table == "configuration"
        return Fault.LOSE_ANSWER if down else None

    site.tables.on_call = on_call
    with pytest.raises(PlatformUncertainError):
        confirm_plan(site, roll_plan)
    assert site.models() == BOTH
    site.tables.on_call = None
    site.clock.sleep(LEASE_S)
    assert confirm_plan(site, roll_plan).version == 2
    assert site.models() == NEW


def test_engine_unreachable_after_the_switch_is_left_open(site):
    roll_plan = make_plan(site)

    def on_order(upstream, order):
        if set(order.models) == {"m2"}:
            site.engines.unreachable.add("e2")

    site.engines.on_order = on_order
    with pytest.raises(OrderError):
        confirm_plan(site, roll_plan)
    assert fetch_configuration(site.tables).version == 2
    assert [move.plan for move in open_moves(site)] == [roll_plan.id]
    site.engines.on_order = None
    site.engines.unreachable.clear()
    site.clock.sleep(LEASE_S * 2)
    assert confirm_plan(site, roll_plan).version == 2
    assert site.models() == NEW


def test_paused_mover_does_not_undo_what_its_successor_did(site):
    """Guards against a paused holder that undoes a move its successor finished.

    It is paused before its second order, which then fails. If it treated that as
    a failed load, it would undo the move and unload the version that callers are
    routed to.
    """
    roll_plan = make_plan(site)
    mover = begin(site, roll_plan)

    def on_order(upstream, order):
        site.engines.on_order = None
        desk = make_desk(site, "next")
        while desk.run_once() is None:
            site.clock.sleep(1.0)
        raise OrderError("request lost", step="order", peer=upstream.name)

    site.engines.on_order = on_order
    with pytest.raises(LeaseLostError):
        mover.run(roll_plan.id)
    assert site.models() == NEW
    assert open_moves(site) == ()


def test_lease_held_elsewhere(site):
    """Guards against a confirmed plan that is lost while another process works.

    The move is recorded before the lease is acquired; its holder carries it out.
    """
    roll_plan = make_plan(site)
    other = site.acquire(site.holder("other"))
    site.clock.on_sleep = lambda: other.require(0.0, step="other")
    with pytest.raises(LeaseLostError):
        confirm_plan(site, roll_plan)
    assert [move.plan for move in open_moves(site)] == [roll_plan.id]
    assert make_desk(site).run_once() is None
    site.mover(other).run_open_moves()
    assert site.models() == NEW


def test_engine_that_left_needs_no_orders(site):
    roll_plan = make_plan(site)
    leaving = plan(
        site.tables,
        intent="drain-upstream",
        arguments={"upstream": "e2"},
        author="ana",
    )
    confirm(site.tables, leaving.id, author="ana")
    with pytest.raises(ConflictError):
        confirm_plan(site, roll_plan)
    new_plan = make_plan(site)
    assert {step.upstream for step in new_plan.steps} == {"e1", ""}
    confirm_plan(site, new_plan)
    assert site.models() == {"e1": ["m2"], "e2": ["m1"]}


def test_exit_codes():
    assert exit_code(OrderError("engine does not follow")) == EXIT_LEFT_OPEN
    assert exit_code(LeaseLostError("held elsewhere")) == EXIT_LEFT_OPEN
    assert exit_code(ConflictError("changed")) == EXIT_CONFLICT
