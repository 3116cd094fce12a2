"""Every fault at every step of a request, with real processes."""

import time

import pytest

from baobabwing.bench.matrix.caller import Ending
from baobabwing.bench.matrix.oracle import judge
from baobabwing.bench.matrix.scene import Scene, get_step
from baobabwing.bench.matrix.strikes import STRIKES, get_strike
from baobabwing.bench.matrix.table import REASONS

IDLE_S = 20.0
TOLD = {Ending.WHOLE, Ending.NOT_RUN, Ending.UNKNOWN, Ending.PARTIAL, Ending.OTHER}
CHAT_STEPS = (
    "before it arrives",
    "while it is queued",
    "at its dispatch",
    "while it streams",
    "after its answer",
)
BOOKING_STEPS = ("before it arrives", "at its dispatch", "after its answer")
STREAM_FAULT = "its upstream's connection is cut"


def _cases(steps):
    return [
        pytest.param(fault, step, id=f"{fault}-{step}")
        for fault in STRIKES
        for step in steps
        if fault not in ("nothing", STREAM_FAULT) and (fault, step) not in REASONS
    ]


def _run(trial, fault, step, *, service):
    scene = Scene(
        site=trial.site,
        caller=trial.caller,
        service=service,
        own_key=service,
        epoch_s=time.time(),
        strike=get_strike(fault),
    )
    get_step(step)(scene)
    last = scene.try_again()
    scene.recover()
    assert scene.site.wait_idle(timeout_s=IDLE_S)
    scripts = trial.caller.transcripts
    assert not judge(scripts, scene.all_executions(), epoch_s=scene.epoch_s)
    assert last.ending in TOLD, last


@pytest.mark.matrix
@pytest.mark.parametrize(("fault", "step"), _cases(CHAT_STEPS))
def test_chat(trial, fault, step):
    """A chat turn with a key bound to a node is hit by a fault and retried."""
    _run(trial, fault, step, service=False)


@pytest.mark.matrix
@pytest.mark.parametrize(("fault", "step"), _cases(BOOKING_STEPS))
def test_booking(trial, fault, step):
    """A booking with the caller's own key is hit by a fault and retried."""
    _run(trial, fault, step, service=True)
