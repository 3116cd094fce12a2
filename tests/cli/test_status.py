"""The command that shows the status of a node."""

import json

import pytest
import typer
from typer.testing import CliRunner

from baobabwing.cli import status
from baobabwing.cli.access import TOKEN_VARIABLE
from baobabwing.exceptions import PeerError

DOCUMENT = {
    "node": {
        "name": "n1",
        "zone": "a",
        "region": "r",
        "reasons": ["isolated"],
        "isolated": True,
    },
    "configuration": {"held": 3, "highest_heard": 4},
    "members": [
        {"name": "n1", "zone": "a", "state": "alive"},
        {"name": "n2", "zone": "a", "state": "suspect"},
        {"name": "n3", "zone": "b", "state": "dead"},
    ],
    "tiers": [{"rank": 0, "name": "chat"}, {"rank": 1, "name": "notes"}],
    "cells": [
        {
            "name": "pool/0",
            "policy": "baobabwing",
            "in_flight": 2,
            "floor": 1,
            "held": False,
            "queued": [{"tier_rank": 1, "count": 7}],
            "upstreams": [
                {
                    "name": "e1",
                    "standing": "normal",
                    "open_to_work": True,
                    "in_flight": 2,
                    "limit": 4,
                    "step_ms": 6.25,
                }
            ],
        }
    ],
    "open_requests": [
        {
            "brand": "b",
            "organisation": "o",
            "tier": "chat",
            "state": "dispatched",
            "count": 5,
        }
    ],
}


@pytest.fixture
def run(monkeypatch):
    app = typer.Typer()
    app.command()(status.status)

    def invoke(*arguments):
        options = ["--node", "127.0.0.1:1", *arguments]
        return CliRunner().invoke(app, options, env={TOKEN_VARIABLE: "token"})

    return invoke


def test_text_and_json(run, monkeypatch):
    monkeypatch.setattr(status, "fetch_status", lambda node, token: DOCUMENT)
    text = run().output
    for part in (
        "takes no new requests: isolated",
        "version 3 in force, 4 the highest",
        "may be cut off",
        "admits tiers down to notes",
        "queued: notes 7",
        "2/4",
    ):
        assert part in text
    rows = {tuple(line.split()) for line in text.splitlines()}
    assert ("a", "1", "1", "0", "0", "0") in rows
    assert ("b", "0", "0", "0", "1", "0") in rows
    assert ("b", "o", "chat", "dispatched", "5") in rows
    assert json.loads(run("--json").output) == DOCUMENT


def test_watch_continues_when_a_node_does_not_answer(run, monkeypatch):
    """The watch continues while the host restarts and shows it again afterwards."""
    answers = [DOCUMENT, PeerError("no answer", step="status"), DOCUMENT]

    def fetch(node, token):
        if not answers:
            raise KeyboardInterrupt
        answer = answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    monkeypatch.setattr(status, "fetch_status", fetch)
    monkeypatch.setattr(status, "WATCH_INTERVAL_S", 0.0)
    shown = run("--watch", "--json").output.splitlines()
    assert [list(json.loads(line))[0] for line in shown] == ["node", "error", "node"]


def test_exit_code_without_an_answer(run):
    """No process listens on the address."""
    result = run()
    assert result.exit_code == 1
    assert "no answer" in result.output
