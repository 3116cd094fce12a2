"""Processes can be started and frozen, and always end."""

import time

import pytest

from baobabwing.bench.processes import ProcessError, ProcessGroup, wait_until

SLEEP = "import time; print('up', flush=True); time.sleep(600)"
IGNORE_SIGTERM = (
    "import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN);"
    "print('up', flush=True); time.sleep(600)"
)


def _start(group, name, code):
    started = group.start_python(name, ["-c", code])
    group.wait_ready(name, lambda: b"up" in started.log.read_bytes())
    return started


def test_group_ends_what_it_started_when_the_block_fails(tmp_path):
    """Guard against processes left behind by a failed run.

    The block raises while one process is running and one is frozen, which does not
    handle SIGTERM until it is resumed.
    """
    with (
        pytest.raises(RuntimeError, match="half way"),
        ProcessGroup(folder=tmp_path) as group,
    ):
        sleeping = _start(group, "running", SLEEP)
        frozen = _start(group, "frozen", SLEEP)
        group.freeze("frozen")
        raise RuntimeError("half way")
    assert not sleeping.alive()
    assert not frozen.alive()


def test_stop_kills_and_reports_a_process_that_ignores_it(tmp_path):
    """A node that hangs in its graceful stop must be killed and fail the run."""
    with ProcessGroup(folder=tmp_path) as group:
        unresponsive = _start(group, "deaf", IGNORE_SIGTERM)
        with pytest.raises(ProcessError, match="no graceful stop") as caught:
            group.stop("deaf", timeout_s=0.2)
        assert caught.value.peer == "deaf"
        assert not unresponsive.alive()


def test_ended_process_is_reported_with_the_end_of_its_log(tmp_path):
    with ProcessGroup(folder=tmp_path) as group:
        group.start_python("broken", ["-c", "raise SystemExit('bad settings')"])
        with pytest.raises(ProcessError, match="bad settings"):
            group.wait_ready("broken", lambda: False)


def test_frozen_process_uses_no_processor_time_until_thawed(tmp_path):
    spin = "print('up', flush=True)\nwhile True: pass"
    with ProcessGroup(folder=tmp_path) as group:
        _start(group, "spin", spin)
        assert wait_until(lambda: group.cpu_seconds("spin") > 0.02, timeout_s=10)
        group.freeze("spin")
        assert wait_until(lambda: _is_idle(group, "spin"), timeout_s=10)
        before = group.cpu_seconds("spin")
        group.thaw("spin")
        assert wait_until(lambda: group.cpu_seconds("spin") > before, timeout_s=10)
        group.kill("spin")
        assert not group.get("spin").alive()


def test_names_are_not_started_twice(tmp_path):
    with ProcessGroup(folder=tmp_path) as group:
        _start(group, "one", SLEEP)
        with pytest.raises(ProcessError, match="already running"):
            group.start_python("one", ["-c", SLEEP])


def _is_idle(group, name):
    before = group.cpu_seconds(name)
    time.sleep(0.05)
    return group.cpu_seconds(name) == before
