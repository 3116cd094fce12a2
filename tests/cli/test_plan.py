"""Commands that create, show and confirm plans."""

from pathlib import Path

import pytest
import typer
from typer.testing import CliRunner

from baobabwing.cli import in_force, plan
from baobabwing.cli.access import TOKEN_VARIABLE
from baobabwing.exceptions import PeerError
from baobabwing.settings.loader import load_configuration
from baobabwing.settings.plans import list_plans
from baobabwing.settings.publish import publish
from baobabwing.store.memory import MemoryTables

EXAMPLE = Path(__file__).parents[2] / "examples" / "pitchside.configuration.jsonc"
PLATFORM = ["--platform", "http://127.0.0.1:7001"]
LIMITS = ["plan", "change-limits", "--concurrency", "3", "--organisation"]
OWN, FOREIGN = "valley-league", "gulf-coast-league"
DENIED = 7


@pytest.fixture
def tables(monkeypatch):
    memory_tables = MemoryTables()
    publish(memory_tables, base=0, cfg=load_configuration(EXAMPLE))
    monkeypatch.setattr(plan, "table_client", lambda url, timeout_ms: memory_tables)
    monkeypatch.delenv(TOKEN_VARIABLE, raising=False)
    return memory_tables


@pytest.fixture
def run():
    app = typer.Typer()
    app.add_typer(plan.app, name="plan")
    app.command()(plan.confirm)
    app.command()(plan.history)

    def invoke(*arguments, operator="ana"):
        env = {TOKEN_VARIABLE: f"{operator}-token-1"} if operator else {}
        return CliRunner().invoke(app, [*arguments, *PLATFORM], env=env)

    return invoke


def test_plan_confirm_history(tables, run):
    shown = run("plan", "drain-upstream", "--upstream", "fixtures-1")
    (created,) = list_plans(tables)
    assert f"confirm {created.id}" in shown.output
    assert "fixtures: 96 -> 64" in shown.output
    assert "zone-empty" in shown.output
    assert run("plan", "show", created.id).output in shown.output
    assert created.id in run("plan", "list").output
    assert "version 2" in run("confirm", created.id).output
    history = run("history").output
    assert "version 2  ana  drain upstream fixtures-1" in history
    assert "state 'active' -> 'leaving'" in history


def test_exit_code_of_a_conflict(tables, run):
    run(*LIMITS, OWN)
    (first,) = list_plans(tables)
    run(*LIMITS, OWN, operator="eva")
    second = next(created for created in list_plans(tables) if created != first)
    assert run("confirm", first.id).exit_code == 0
    conflict = run("confirm", second.id)
    assert conflict.exit_code == 3
    assert "version 2 by ana" in conflict.output


def test_exit_code_of_an_invalid_intent(tables, run):
    result = run("plan", "undo", "--version", "5")
    assert result.exit_code == 1


@pytest.mark.parametrize("operator", ["", "nobody", "valley-draw"])
def test_commands_without_an_operators_token_are_denied(tables, run, operator):
    run(*LIMITS, OWN)
    (created,) = list_plans(tables)
    for command in (
        [*LIMITS, OWN],
        ["plan", "list"],
        ["plan", "show", created.id],
        ["confirm", created.id],
        ["history"],
    ):
        result = run(*command, operator=operator)
        assert result.exit_code == DENIED
        assert created.id not in result.output
    assert list_plans(tables) == (created,)


def test_author_is_taken_from_the_token(tables, run, tmp_path):
    assert run(*LIMITS, OWN, "--author", "eva").exit_code == DENIED
    file = tmp_path / "token"
    file.write_text("eva-token-1\n")
    assert run(*LIMITS, OWN, "--token-file", str(file)).exit_code == 0
    (created,) = list_plans(tables)
    assert created.author == "eva"
    file.write_text("")
    assert run("plan", "list", "--token-file", str(file)).exit_code == DENIED


def test_brands_never_see_each_other(tables, run):
    """An operator confined to one brand can neither read nor change another brand.

    The operator creates plans with guessed names, shows and confirms plans of other
    brands, undoes versions and reads the history.
    """
    brand_operator = {"operator": "lone-star-desk"}
    outputs = [run(*LIMITS, name, **brand_operator) for name in (FOREIGN, "no-league")]
    assert {result.exit_code for result in outputs} == {1}
    assert FOREIGN not in outputs[1].output
    run(*LIMITS, FOREIGN)
    (created,) = list_plans(tables)
    unknown = run("plan", "show", "0" * 32, **brand_operator)
    foreign = run("plan", "show", created.id, **brand_operator)
    assert foreign.output.replace(created.id, "0" * 32) == unknown.output
    assert run("plan", "list", **brand_operator).output == ""
    assert run("confirm", created.id, **brand_operator).exit_code == DENIED
    assert run("confirm", created.id).exit_code == 0
    undone = run("plan", "undo", "--version", "2", **brand_operator)
    assert undone.exit_code == DENIED
    assert FOREIGN not in undone.output
    history = run("history", **brand_operator).output
    assert "version 2" not in history
    assert "valley-league" in history
    assert not [
        name for name in ("gulf", "texas", "hill", "Pitchside") if name in history
    ]
    for intent in (
        ["drain-upstream", "--upstream", "fixtures-1"],
        ["change-operator", "--name", "eva", "--role", "viewer"],
    ):
        assert run("plan", *intent, **brand_operator).exit_code in (1, DENIED)


def test_a_brands_conflict_names_no_other_brand(tables, run):
    brand_operator = {"operator": "lone-star-desk"}
    assert run(*LIMITS, OWN, **brand_operator).exit_code == 0
    (own,) = list_plans(tables)
    run(*LIMITS, FOREIGN)
    other = next(created for created in list_plans(tables) if created != own)
    run("confirm", other.id)
    conflict = run("confirm", own.id, **brand_operator)
    assert conflict.exit_code == 3
    assert FOREIGN not in conflict.output
    assert "ana" not in conflict.output


def test_a_brand_changes_itself(tables, run):
    brand_operator = {"operator": "lone-star-desk"}
    run(*LIMITS, OWN, **brand_operator)
    (created,) = list_plans(tables)
    assert run("confirm", created.id, **brand_operator).exit_code == 0
    assert "version 2  lone-star-desk" in run("history", **brand_operator).output
    clerk = ["change-operator", "--name", "clerk", "--sha256", "a" * 64]
    for brands in ("", "Pitchside", "Lone Star Fixtures,Pitchside"):
        wide = run(
            "plan", *clerk, "--role", "editor", "--brands", brands, **brand_operator
        )
        assert wide.exit_code in (1, DENIED)
    own = ["--role", "viewer", "--brands", "Lone Star Fixtures"]
    assert run("plan", *clerk, *own, **brand_operator).exit_code == 0


def test_roles(tables, run):
    clerk = ["plan", "change-operator", "--name", "clerk", "--sha256", "a" * 64]
    assert run(*clerk, "--role", "viewer", operator="eva").exit_code == DENIED
    assert run(*clerk, "--role", "viewer").exit_code == 0
    down = ["plan", "change-operator", "--name", "eva", "--role", "viewer"]
    assert run(*down).exit_code == 0
    created = next(entry for entry in list_plans(tables) if "eva" in entry.summary)
    assert run("confirm", created.id).exit_code == 0
    assert run(*LIMITS, OWN, operator="eva").exit_code == DENIED
    assert run("plan", "list", operator="eva").exit_code == 0
    last = ["plan", "change-operator", "--name", "ana", "--role", "none"]
    assert run(*last).exit_code == 1


def test_confirm_names_hosts_that_do_not_have_it(tables, run, monkeypatch):
    """One host holds the version, one an older version, and one does not answer.

    Only the second host lists the third as a member, as views of nodes may differ.
    """

    def fetch(address, token):
        assert token == "ana-token-1"
        if address.endswith(":3"):
            raise PeerError("no answer", step="status", peer=address)
        names = {"127.0.0.1:1": ("a", 2, "b", 2), "127.0.0.1:2": ("b", 1, "c", 3)}
        name, held, other, port = names[address]
        member = {"name": other, "http": f"127.0.0.1:{port}", "state": "alive"}
        return {
            "node": {"name": name},
            "configuration": {"held": held},
            "members": [member, {**member, "http": "127.0.0.1:9", "state": "dead"}],
        }

    monkeypatch.setattr(in_force, "fetch_status", fetch)
    monkeypatch.setattr(in_force, "WAIT_S", 0.0)
    run(*LIMITS, OWN)
    (created,) = list_plans(tables)
    result = run("confirm", created.id, "--node", "127.0.0.1:1")
    assert result.exit_code == in_force.EXIT_UNCONFIRMED
    assert "in force at 1 of 3 hosts" in result.output
    assert "b 127.0.0.1:2: holds version 1" in result.output
    assert "c 127.0.0.1:3: no answer" in result.output
