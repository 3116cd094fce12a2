"""Intents, plans, confirmation and history."""

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
from baobabwing.settings.changes import apply_changes, changes_between, inverse
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
HOST = ListedHost(
    name="entry-1", zone="a", region="r", peer="10.0.0.1:9001", http="10.0.0.1:8001"
)
LIMITS = {"organisation": "azul-unidas", "concurrency": 7}
ROLL = {"old": "assistant-1", "new": "assistant-2"}


@pytest.fixture
def tables():
    made = MemoryTables()
    publish(made, base=0, cfg=load_configuration(EXAMPLE))
    return made


def make(tables, intent, author="ana", context=None, **arguments):
    return plan(
        tables, intent=intent, arguments=arguments, author=author, context=context
    )


def carry_out(tables, made, author="ana"):
    """Publish without the orders to engines, which are tested elsewhere."""
    return confirm(
        tables,
        made.id,
        author=author,
        carry_out=lambda item, who: publish_plan(tables, item, author=who),
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
    made = make(tables, "change-limits", **LIMITS)
    assert fetch_configuration(tables) == before
    assert load_plan(tables, made.id) == made
    assert list_plans(tables) == (made,)
    after = confirm(tables, made.id, author="eva")
    assert after.version == 2
    limits = {item.name: item.limits for item in after.organisations}
    assert limits["azul-unidas"].concurrency == 7
    assert limits["azul-unidas"].requests_per_s == 100.0
    assert fetch_configuration(tables) == after


def test_drain_upstream(tables):
    made = make(tables, "drain-upstream", upstream="booking-1")
    pool = next(item for item in made.capacity if item.pool == "booking")
    assert (pool.slots_before, pool.slots_after) == (96, 64)
    assert [risk.code for risk in made.risks] == ["zone-empty"]
    after = carry_out(tables, made)
    states = {item.name: item.state for item in after.upstreams}
    assert states["booking-1"] is UpstreamState.LEAVING
    assert states["booking-2"] is UpstreamState.ACTIVE


def test_spare_capacity_counts_what_is_in_use(tables):
    context = PlanContext(in_use={"booking": 80})
    made = make(tables, "drain-upstream", context=context, upstream="booking-1")
    pool = next(item for item in made.capacity if item.pool == "booking")
    assert (pool.spare_before, pool.spare_after) == (16, -16)
    assert pool.served_share_after == 0.8
    assert "overload" in [risk.code for risk in made.risks]


def test_drain_host_by_name(tables):
    context = PlanContext(hosts=(HOST,))
    after = carry_out(
        tables, make(tables, "drain-host", context=context, host="entry-1")
    )
    assert [mark.name for mark in after.leaving_hosts] == ["entry-1"]


def test_drain_host_by_number(tables):
    made = make(tables, "drain-host", host="127.0.0.1")
    assert {"pool-empty"} <= {risk.code for risk in made.risks}
    assert all(pool.slots_after == 0 for pool in made.capacity)


def test_roll_version(tables):
    made = make(tables, "roll-version", **ROLL)
    actions = [step.action for step in made.steps]
    assert actions == [*["load"] * 9, "switch", *["unload"] * 9]
    assert made.steps[0].kind is StepKind.COMPENSATABLE
    assert made.steps[0].models_after == ("assistant-1", "assistant-2")
    assert made.steps[9].kind is StepKind.PIVOT
    assert made.steps[-1].kind is StepKind.RETRIABLE
    assert made.steps[-1].models_after == ("assistant-2",)
    assert "no-fencing" in [risk.code for risk in made.risks]
    after = carry_out(tables, made)
    brand = after.brands[0].name
    assert resolve_model(after, brand=brand, model="assistant-1") == "assistant-2"


def test_roll_forth_twice_and_back(tables):
    for old, new in (("1", "2"), ("2", "3"), ("3", "1")):
        arguments = {"old": f"assistant-{old}", "new": f"assistant-{new}"}
        cfg = carry_out(tables, make(tables, "roll-version", **arguments))
        for name in ("assistant-1", f"assistant-{old}", f"assistant-{new}"):
            assert resolve_model(cfg, brand="", model=name) == f"assistant-{new}"


def test_move_brand_one_by_one(tables):
    brands = [brand.name for brand in fetch_configuration(tables).brands]
    move = {"model": "assistant-1", "to": "assistant-2"}
    made = make(tables, "move-brand", brand=brands[0], **move)
    assert StepAction.UNLOAD not in [step.action for step in made.steps]
    cfg = carry_out(tables, made)
    served = [resolve_model(cfg, brand=b, model="assistant-1") for b in brands]
    assert served == ["assistant-2", "assistant-1", "assistant-1"]
    carry_out(tables, make(tables, "move-brand", brand=brands[1], **move))
    made = make(tables, "move-brand", brand=brands[2], **move)
    assert StepAction.LOAD not in [step.action for step in made.steps]
    assert StepAction.UNLOAD in [step.action for step in made.steps]
    assert carry_out(tables, made).pools[0].models == ("assistant-2",)


@pytest.mark.parametrize(
    ("intent", "arguments", "message"),
    [
        ("drain", {}, "no intent 'drain'"),
        ("drain-upstream", {}, "upstream"),
        ("drain-upstream", {"upstream": "x"}, "no upstream 'x'"),
        ("drain-host", {"host": "x"}, "no host 'x'"),
        ("change-limits", {"organisation": "x"}, "no organisation"),
        ("change-limits", {"organisation": "azul-unidas"}, "changes nothing"),
        ("change-limits", {**LIMITS, "concurrency": -2}, "concurrency"),
        ("move-brand", {"brand": "x", "model": "a", "to": "b"}, "no brand"),
        ("roll-version", {"old": "x", "new": "y"}, "no model"),
        ("roll-version", {"old": "assistant-1", "new": "assistant-1"}, "already"),
        ("undo", {"version": 9}, "no version 9"),
    ],
)
def test_intents_that_do_not_fit(tables, intent, arguments, message):
    with pytest.raises(SettingsError, match=message):
        make(tables, intent, **arguments)
    assert list_plans(tables) == ()


def test_two_operators_plan_from_the_same_base(tables):
    """Two operators plan from version 1, and both confirm.

    The second would overwrite or mix with what the first changed and never saw;
    its confirmation must fail and name the first operator and the change.
    """
    first = make(tables, "change-limits", **LIMITS)
    second = make(tables, "drain-upstream", author="eva", upstream="booking-1")
    carry_out(tables, first)
    with pytest.raises(ConflictError, match="version 2 by ana: change limits"):
        carry_out(tables, second, author="eva")
    assert fetch_configuration(tables).version == 2


def test_confirmed_twice_is_applied_once(tables):
    made = make(tables, "change-limits", **LIMITS)
    once = confirm(tables, made.id, author="ana")
    assert confirm(tables, made.id, author="ana").version == once.version
    publish(tables, base=2, cfg=replace(once, attempt="", author="eva"))
    assert confirm(tables, made.id, author="ana").version == once.version
    assert fetch_configuration(tables).version == 3


def test_answer_to_a_confirmation_is_lost(tables):
    """An operator confirms, the change takes effect, and the store goes down.

    The operator cannot know and confirms again when the store is back. The
    plan must be found as carried out, and must not be applied a second time.
    """
    made = make(tables, "change-limits", **LIMITS)
    down = False

    def on_call(call):
        nonlocal down
        if down:
            return Fault.REFUSE
        down = call.operation == "put"
        return Fault.LOSE_ANSWER if down else None

    tables.on_call = on_call
    with pytest.raises(PlatformUncertainError):
        confirm(tables, made.id, author="ana")
    with pytest.raises(PlatformUnavailableError):
        confirm(tables, made.id, author="ana")
    tables.on_call = None
    assert confirm(tables, made.id, author="ana").version == 2
    assert fetch_configuration(tables).version == 2


def test_answer_to_storing_a_plan_is_lost(tables):
    faults = [Fault.LOSE_ANSWER]
    tables.on_call = lambda call: (
        faults.pop() if call.operation == "insert" and faults else None
    )
    made = make(tables, "change-limits", **LIMITS)
    assert list_plans(tables) == (made,)


def test_undo_keeps_later_changes(tables):
    carry_out(tables, make(tables, "change-limits", **LIMITS))
    carry_out(tables, make(tables, "drain-upstream", upstream="booking-1"))
    cfg = carry_out(tables, make(tables, "undo", version=2))
    assert cfg.organisations[-1].limits.concurrency == 100
    states = {item.name: item.state for item in cfg.upstreams}
    assert states["booking-1"] is UpstreamState.LEAVING


def test_undo_of_what_was_changed_again(tables):
    carry_out(tables, make(tables, "change-limits", **LIMITS))
    carry_out(tables, make(tables, "change-limits", **LIMITS | {"concurrency": 8}))
    with pytest.raises(ConflictError, match="azul-unidas"):
        make(tables, "undo", version=2)


def test_undo_of_a_roll_loads_the_old_version(tables):
    carry_out(tables, make(tables, "roll-version", **ROLL))
    made = make(tables, "undo", version=2)
    assert made.steps[0].models_after == ("assistant-2", "assistant-1")
    assert carry_out(tables, made).pools[0].models == ("assistant-1",)


def test_history_names_who_changed_what(tables):
    made = make(tables, "change-limits", **LIMITS)
    carry_out(tables, made, author="eva")
    newest, first = read_history(tables, limit=5)
    assert (newest.version, newest.author, newest.attempt) == (2, "eva", made.id)
    assert [change.name for change in newest.changes] == ["azul-unidas"]
    assert first.version == 1
    assert len(read_history(tables, limit=1)) == 1


def test_changes_lead_forth_and_back(tables):
    old = fetch_configuration(tables)
    new = replace(old, organisations=old.organisations[1:], credentials=())
    changes = changes_between(old, new)
    assert apply_changes(old, changes) == new
    again = apply_changes(new, inverse(changes))
    assert changes_between(old, again) == ()
