"""End-to-end runs on small deployments of real processes."""

from dataclasses import replace

import pytest

from baobabwing.bench.arrivals import Lengths, Phase, Stream
from baobabwing.bench.demo import demo_faults
from baobabwing.bench.faults import get_fault
from baobabwing.bench.figures import run_figures
from baobabwing.bench.processes import ProcessGroup
from baobabwing.bench.runs import RunOptions, run_scenario
from baobabwing.bench.scenarios import BOOKING, CHAT_TURN, CONFIRMATION, Scenario
from baobabwing.bench.shapes import shape, tijera

SECONDS = 2.0
NODES = 2
SHORT = Lengths(minimum=4, maximum=16)


@shape("small")
def _small():
    whole = tijera()
    return replace(
        whole,
        name="small",
        nodes=NODES,
        engines=whole.engines[1:3],
        services=whole.services[:1],
    )


def _steady(work, load):
    return Stream(work=work, phases=(Phase(start=0.0, end=1.0, load=load),))


SCENARIO = Scenario(
    name="small",
    shape="small",
    story="A few chats, confirmations and bookings.",
    streams=(
        _steady(replace(CHAT_TURN, output=SHORT), 0.1),
        _steady(replace(CONFIRMATION, output=SHORT), 0.05),
        _steady(BOOKING, 0.01),
    ),
)


@pytest.fixture
def groups(monkeypatch):
    """Return the list of process groups that the test creates."""
    created = []
    original_init = ProcessGroup.__init__

    def _record_group(self, **arguments):
        original_init(self, **arguments)
        created.append(self)

    monkeypatch.setattr(ProcessGroup, "__init__", _record_group)
    return created


def _run(tmp_path, fault=""):
    options = RunOptions(
        policy="baobabwing",
        seed=5,
        seconds=SECONDS,
        folder=tmp_path / "logs",
        fault=get_fault(fault) if fault else None,
    )
    return run_scenario(SCENARIO, options, report=lambda line, *, progress: None)


def _running_processes(groups):
    return [
        name for group in groups for name in group.names() if _is_alive(group, name)
    ]


def _is_alive(group, name):
    return group.get(name).alive()


def test_every_request_is_answered_and_executed_once(tmp_path, groups):
    result = _run(tmp_path)
    assert demo_faults(result.run, result.exits) == []
    assert set(result.exits.values()) == {0}
    assert len(result.exits) == NODES
    assert _running_processes(groups) == []


@pytest.mark.parametrize("fault", ["kill-home", "kill-engine"])
def test_nothing_runs_twice_or_is_denied_when_a_process_dies(tmp_path, groups, fault):
    """Guard against safety violations when a process is killed under load.

    Callers that lose their connection retry. Some outcomes remain unknown, but no
    request may be executed twice, reported as "not run" although it was executed, or
    answered with the text of another request.
    """
    result = _run(tmp_path, fault)
    safety = run_figures(result.run).safety
    assert safety.executed_twice == 0
    assert safety.not_run_but_ran == 0
    assert safety.wrong_text == 0
    assert len(result.run.answers) == len(result.run.arrivals)
    assert _running_processes(groups) == []
