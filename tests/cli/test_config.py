"""Commands for settings and configuration, with their exit codes."""

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from baobabwing.cli import config
from baobabwing.cli.access import TOKEN_VARIABLE
from baobabwing.store.memory import Fault, MemoryTables

EXAMPLES = Path(__file__).parents[2] / "examples"
NODE = str(EXAMPLES / "pitchside.node.jsonc")
CONFIGURATION = str(EXAMPLES / "pitchside.configuration.jsonc")
PLATFORM = ["--platform", "http://127.0.0.1:7001"]


@pytest.fixture
def tables(monkeypatch):
    memory_tables = MemoryTables()
    monkeypatch.setattr(config, "table_client", lambda url, timeout_ms: memory_tables)
    return memory_tables


def run(*arguments, operator=""):
    env = {TOKEN_VARIABLE: f"{operator}-token-1" if operator else ""}
    return CliRunner().invoke(config.app, list(arguments), env=env)


def test_check_distinguishes_file_kinds(tmp_path):
    assert "node settings" in run("check", NODE).output
    assert "configuration" in run("check", CONFIGURATION).output
    wrong = tmp_path / "wrong.jsonc"
    wrong.write_text('{\n"tiers": [{"nam": 1}]}')
    result = run("check", str(wrong))
    assert result.exit_code == config.EXIT_INVALID
    assert f"{wrong}:2: tiers[0].nam" in result.output


def test_show_hides_secrets():
    shown = json.loads(run("show", NODE).output)
    assert shown["limits"]["worker_threads"] == 640
    assert shown["peer_secrets"] == ["not shown"]


def test_publish_show_and_change(tables, tmp_path):
    publish = ["publish", CONFIGURATION, *PLATFORM, "--author", "ana"]
    assert run("show", *PLATFORM).exit_code == config.EXIT_INVALID
    assert "version 1 published" in run(*publish).output
    conflict = run(*publish[:-2], operator="ana")
    assert conflict.exit_code == config.EXIT_CONFLICT
    assert "version 1 by ana" in conflict.output
    changed = tmp_path / "changed.jsonc"
    changed.write_text(run("show", *PLATFORM, operator="eva").output)
    again = run("publish", str(changed), *PLATFORM, operator="eva")
    assert "version 2 published" in again.output


def test_who_may_publish(tables, tmp_path):
    """The first configuration requires an author name, all later ones a token.

    A file without operators would reopen the table to everyone. A file in which an
    editor becomes an admin would grant rights that no admin granted.
    """
    first = ["publish", CONFIGURATION, *PLATFORM]
    assert run(*first).exit_code == config.EXIT_DENIED
    assert run(*first, "--author", "ana").exit_code == 0
    assert run("show", *PLATFORM).exit_code == config.EXIT_DENIED
    shown = run("show", *PLATFORM, operator="ana").output
    changed = tmp_path / "changed.jsonc"
    again = ["publish", str(changed), *PLATFORM]
    changed.write_text(shown)
    assert run(*again).exit_code == config.EXIT_DENIED
    assert run(*again, "--author", "ana").exit_code == config.EXIT_DENIED
    assert run(*again, operator="lone-star-desk").exit_code == config.EXIT_DENIED
    changed.write_text(shown.replace('"editor"', '"admin"'))
    assert run(*again, operator="eva").exit_code == config.EXIT_DENIED
    changed.write_text(json.dumps({**json.loads(shown), "operators": []}))
    assert run(*again, operator="ana").exit_code == config.EXIT_DENIED
    own = run("show", *PLATFORM, operator="lone-star-desk").output
    assert "valley-league" in own
    assert not [name for name in ("gulf", "texas", "Pitchside") if name in own]


@pytest.mark.parametrize(
    ("fault", "code"),
    [
        (Fault.REFUSE, config.EXIT_UNAVAILABLE),
        (Fault.LOSE_REQUEST, config.EXIT_UNCERTAIN),
    ],
)
def test_platform_faults(tables, fault, code):
    tables.on_call = lambda call: fault if call.operation == "put" else None
    result = run("publish", CONFIGURATION, *PLATFORM, "--author", "ana")
    assert result.exit_code == code
