"""Tests of intents, plans, their confirmation and the history."""

from dataclasses import replace
from pathlib import Path

import pytest

from baobabwing.exceptions import (
    ConflictError,
    PlatformUnavailableError,
    PlatformUncertainError,
    SettingsError,
)
from baobabwing.pools.catalogue import UpstreamState
from baobabwing.settings.changes import apply_changes, changes_between, invert_changes
from baobabwing.settings.fetch import fetch_configuration
from baobabwing.settings.history import read_history
from baobabwing.settings.loader import load_configuration
from baobabwing.settings.plans import (
    PlanContext,
    confirm,
    intent_names,
    list_plans,
    load_plan,
    plan,
    publish_plan,
)
from baobabwing.settings.plans.steps import StepAction, StepKind
from baobabwing.settings.publish import publish
from baobabwing.settings.routes import resolve_model
from baobabwing.store.hosts import ListedHost
from baobabwing.store.memory import Fault, MemoryTables

EXAMPLE = Path(__file__).parents[2] / "examples" / "tijera-unida.configuration.jsonc"
LISTED_HOST = ListedHost(
    name="entry-1", zone="a", region="r", peer="10.0.0.1:9001", http="10.0.0.1:8001"
)
LIMITS_ARGUMENTS = {"organisation": "azul-unidas", "concurrency": 7}
ROLL_ARGUMENTS = {"old": "assistant-1", "new": "assistant-2"}


@pytest.fixture
def tables():
    tables = MemoryTables()
    publish(tables, base=0, cfg=load_configuration(EXAMPLE))
    return tables


def make_plan(tables, intent, author="ana", context=None, **arguments):
    return plan(
        tables, intent=intent, arguments=arguments, author=author, context=context
    )


def carry_out(tables, new_plan, author="ana"):
    """Confirm a plan and skip its orders to engines, which tests/orders covers."""
    return confirm(
        tables,
        new_plan.id,
        author=author,
        carry_out=lambda plan_to_publish, author: publish_plan(
            tables, plan_to_publish, author=author
        ),
    )


def test_registry():
    assert intent_names() == (
        "change-limits",
        "change-operator",
        "drain-host",
        "drain-upstream",
        "move-brand",
        "roll-version",
        "undo",
    )


def test_plan_changes_nothing_until_confirmed(tables):
    before = fetch_configuration(tables)
    new_plan = make_plan(tables, "change-limits", **LIMITS_ARGUMENTS)
    assert fetch_configuration(tables) == before
    assert load_plan(tables, new_plan.id) == new_plan
    assert list_plans(tables) == (new_plan,)
    after = confirm(tables, new_plan.id, author="eva")
    assert after.version == 2
    limits = {item.name: item.limits for item in after.organisations}
    assert limits["azul-unidas"].concurrency == 7
    assert limits["azul-unidas"].requests_per_s == 100.0
    assert fetch_configuration(tables) == after


def test_drain_upstream(tables):
    new_plan = make_plan(tables, "drain-upstream", upstream="booking-1")
    pool = next(item for item in new_plan.capacity if item.pool == "booking")
    assert (pool.slots_before, pool.slots_after) == (96, 64)
    assert [risk.code for risk in new_plan.risks] == ["zone-empty"]
    after = carry_out(tables, new_plan)
    states = {item.name: item.state for item in after.upstreams}
    assert states["booking-1"] is UpstreamState.LEAVING
    assert states["booking-2"] is UpstreamState.ACTIVE


def test_spare_capacity_counts_what_is_in_use(tables):
    context = PlanContext(in_use={"booking": 80})
    new_plan = make_plan(
        tables, "drain-upstream", context=context, upstream="booking-1"
    )
    pool = next(item for item in new_plan.capacity if item.pool == "booking")
    assert (pool.spare_before, pool.spare_after) == (16, -16)
    assert pool.served_share_after == 0.8
    assert "overload" in [risk.code for risk in new_plan.risks]


def test_drain_host_by_name(tables):
    context = PlanContext(hosts=(LISTED_HOST,))
    after = carry_out(
        tables, make_plan(tables, "drain-host", context=context, host="entry-1")
    )
    assert [host.name for host in after.leaving_hosts] == ["entry-1"]


def test_drain_host_by_ip_address(tables):
    new_plan = make_plan(tables, "drain-host", host="127.0.0.1")
    assert {"pool-empty"} <= {risk.code for risk in new_plan.risks}
    assert all(pool.slots_after == 0 for pool in new_plan.capacity)


def test_roll_version(tables):
    new_plan = make_plan(tables, "roll-version", **ROLL_ARGUMENTS)
    actions = [step.action for step in new_plan.steps]
    assert actions == [*["load"] * 9, "switch", *["unload"] * 9]
    assert new_plan.steps[0].kind is StepKind.COMPENSATABLE
    assert new_plan.steps[0].models_after == ("assistant-1", "assistant-2")
    assert new_plan.steps[9].kind is StepKind.PIVOT
    assert new_plan.steps[-1].kind is StepKind.RETRIABLE
    assert new_plan.steps[-1].models_after == ("assistant-2",)
    assert "no-fencing" in [risk.code for risk in new_plan.risks]
    after = carry_out(tables, new_plan)
    brand = after.brands[0].name
    assert resolve_model(after, brand=brand, model="assistant-1") == "assistant-2"


def test_roll_twice_and_back(tables):
    for old, new in (("1", "2"), ("2", "3"), ("3", "1")):
        arguments = {"old": f"assistant-{old}", "new": f"assistant-{new}"}
        cfg = carry_out(tables, make_plan(tables, "roll-version", **arguments))
        for name in ("assistant-1", f"assistant-{old}", f"assistant-{new}"):
            assert resolve_model(cfg, brand="", model=name) == f"assistant-{new}"


def test_move_brands_one_by_one(tables):
    brands = [brand.name for brand in fetch_configuration(tables).brands]
    move = {"model": "assistant-1", "to": "assistant-2"}
    new_plan = make_plan(tables, "move-brand", brand=brands[0], **move)
    assert StepAction.UNLOAD not in [step.action for step in new_plan.steps]
    cfg = carry_out(tables, new_plan)
    served = [resolve_model(cfg, brand=b, model="assistant-1") for b in brands]
    assert served == ["assistant-2", "assistant-1", "assistant-1"]
    carry_out(tables, make_plan(tables, "move-brand", brand=brands[1], **move))
    new_plan = make_plan(tables, "move-brand", brand=brands[2], **move)
    assert StepAction.LOAD not in [step.action for step in new_plan.steps]
    assert StepAction.UNLOAD in [step.action for step in new_plan.steps]
    assert carry_out(tables, new_plan).pools[0].models == ("assistant-2",)


@pytest.mark.parametrize(
    ("intent", "arguments", "message"),
    [
        ("drain", {}, "no intent 'drain'"),
        ("drain-upstream", {}, "upstream"),
        ("drain-upstream", {"upstream": "x"}, "no upstream 'x'"),
        ("drain-host", {"host": "x"}, "no host 'x'"),
        ("change-limits", {"organisation": "x"}, "no organisation"),
        ("change-limits", {"organisation": "azul-unidas"}, "changes nothing"),
        ("change-limits", {**LIMITS_ARGUMENTS, "concurrency": -2}, "concurrency"),
        ("move-brand", {"brand": "x", "model": "a", "to": "b"}, "no brand"),
        ("roll-version", {"old": "x", "new": "y"}, "no model"),
        ("roll-version", {"old": "assistant-1", "new": "assistant-1"}, "already"),
        ("undo", {"version": 9}, "no version 9"),
    ],
)
def test_invalid_intents(tables, intent, arguments, message):
    with pytest.raises(SettingsError, match=message):
        make_plan(tables, intent, **arguments)
    assert list_plans(tables) == ()


def test_two_operators_plan_from_the_same_base(tables):
    """Guards against a plan overwriting a change made after it.

    Two operators make plans from version 1 and both confirm. The second
    confirmation must fail and name the first operator and the change.
    """
    first = make_plan(tables, "change-limits", **LIMITS_ARGUMENTS)
    second = make_plan(tables, "drain-upstream", author="eva", upstream="booking-1")
    carry_out(tables, first)
    with pytest.raises(ConflictError, match="version 2 by ana: change limits"):
        carry_out(tables, second, author="eva")
    assert fetch_configuration(tables).version == 2


def test_confirmed_twice_is_applied_once(tables):
    new_plan = make_plan(tables, "change-limits", **LIMITS_ARGUMENTS)
    applied = confirm(tables, new_plan.id, author="ana")
    assert confirm(tables, new_plan.id, author="ana").version == applied.version
    publish(tables, base=2, cfg=replace(applied, attempt="", author="eva"))
    assert confirm(tables, new_plan.id, author="ana").version == applied.version
    assert fetch_configuration(tables).version == 3


def test_answer_to_a_confirmation_is_lost(tables):
    """Guards against applying a plan twice after a lost answer.

    The write of a confirmed plan takes effect, its answer is lost and the store
    becomes unavailable. Confirming again later must find the plan executed.
    """
    new_plan = make_plan(tables, "change-limits", **LIMITS_ARGUMENTS)
    is_down = False

    def on_call(call):
        nonlocal is_down
        if is_down:
            return Fault.REFUSE
        is_down = call.operation == "put"
        return Fault.LOSE_ANSWER if is_down else None

    tables.on_call = on_call
    with pytest.raises(PlatformUncertainError):
        confirm(tables, new_plan.id, author="ana")
    with pytest.raises(PlatformUnavailableError):
        confirm(tables, new_plan.id, author="ana")
    tables.on_call = None
    assert confirm(tables, new_plan.id, author="ana").version == 2
    assert fetch_configuration(tables).version == 2


def test_answer_to_storing_a_plan_is_lost(tables):
    faults = [Fault.LOSE_ANSWER]
    tables.on_call = lambda call: (
        faults.pop() if call.operation == "insert" and faults else None
    )
    new_plan = make_plan(tables, "change-limits", **LIMITS_ARGUMENTS)
    assert list_plans(tables) == (new_plan,)


def test_undo_keeps_later_changes(tables):
    carry_out(tables, make_plan(tables, "change-limits", **LIMITS_ARGUMENTS))
    carry_out(tables, make_plan(tables, "drain-upstream", upstream="booking-1"))
    cfg = carry_out(tables, make_plan(tables, "undo", version=2))
    assert cfg.organisations[-1].limits.concurrency == 100
    states = {item.name: item.state for item in cfg.upstreams}
    assert states["booking-1"] is UpstreamState.LEAVING


def test_undo_of_items_changed_again_is_a_conflict(tables):
    carry_out(tables, make_plan(tables, "change-limits", **LIMITS_ARGUMENTS))
    carry_out(
        tables,
        make_plan(tables, "change-limits", **LIMITS_ARGUMENTS | {"concurrency": 8}),
    )
    with pytest.raises(ConflictError, match="azul-unidas"):
        make_plan(tables, "undo", version=2)


def test_undo_of_a_roll_loads_the_old_version(tables):
    carry_out(tables, make_plan(tables, "roll-version", **ROLL_ARGUMENTS))
    new_plan = make_plan(tables, "undo", version=2)
    assert new_plan.steps[0].models_after == ("assistant-2", "assistant-1")
    assert carry_out(tables, new_plan).pools[0].models == ("assistant-1",)


def test_history_names_who_changed_what(tables):
    new_plan = make_plan(tables, "change-limits", **LIMITS_ARGUMENTS)
    carry_out(tables, new_plan, author="eva")
    newest, first = read_history(tables, limit=5)
    assert (newest.version, newest.author, newest.attempt) == (2, "eva", new_plan.id)
    assert [change.name for change in newest.changes] == ["azul-unidas"]
    assert first.version == 1
    assert len(read_history(tables, limit=1)) == 1


def test_changes_and_their_inverse(tables):
    old = fetch_configuration(tables)
    new = replace(old, organisations=old.organisations[1:], credentials=())
    changes = changes_between(old, new)
    assert apply_changes(old, changes) == new
    restored = apply_changes(new, invert_changes(changes))
    assert changes_between(old, restored) == ()
