"""Commands that make, show and confirm plans."""

from pathlib import Path

import pytest
import typer
from typer.testing import CliRunner

from baobabwing.cli import plan
from baobabwing.platform.memory import MemoryTables
from baobabwing.settings.loader import load_configuration
from baobabwing.settings.plans import list_plans
from baobabwing.settings.publish import publish

EXAMPLE = Path(__file__).parents[2] / "examples" / "pitchside.configuration.jsonc"
PLATFORM = ["--platform", "http://127.0.0.1:7001"]
ANA = [*PLATFORM, "--author", "ana"]


@pytest.fixture
def tables(monkeypatch):
    made = MemoryTables()
    publish(made, base=0, cfg=load_configuration(EXAMPLE))
    monkeypatch.setattr(plan, "table_client", lambda url, timeout_ms: made)
    return made


@pytest.fixture
def run():
    app = typer.Typer()
    app.add_typer(plan.app, name="plan")
    app.command()(plan.confirm)
    app.command()(plan.history)
    return lambda *arguments: CliRunner().invoke(app, list(arguments))


def test_plan_confirm_history(tables, run):
    shown = run("plan", "drain-upstream", "--upstream", "fixtures-1", *ANA)
    (made,) = list_plans(tables)
    assert f"confirm {made.id}" in shown.output
    assert "fixtures: 96 -> 64" in shown.output
    assert "zone-empty" in shown.output
    assert run("plan", "show", made.id, *PLATFORM).output in shown.output
    assert made.id in run("plan", "list", *PLATFORM).output
    assert "version 2" in run("confirm", made.id, *ANA).output
    told = run("history", *PLATFORM).output
    assert "version 2  ana  drain upstream fixtures-1" in told
    assert "state 'active' -> 'leaving'" in told


def test_conflict_has_its_exit_code(tables, run):
    limits = ["--organisation", "valley-league", "--concurrency", "3"]
    run("plan", "change-limits", *limits, *ANA)
    (first,) = list_plans(tables)
    run("plan", "change-limits", *limits, *ANA)
    second = next(made for made in list_plans(tables) if made != first)
    assert run("confirm", first.id, *ANA).exit_code == 0
    conflict = run("confirm", second.id, *ANA)
    assert conflict.exit_code == 3
    assert "version 2 by ana" in conflict.output


def test_wrong_intent_has_its_exit_code(tables, run):
    result = run("plan", "undo", "--version", "5", *ANA)
    assert result.exit_code == 1
