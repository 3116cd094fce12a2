"""An uncaught error that ends a thread is logged without its text."""

import threading

import pytest

from baobabwing.node import faults
from baobabwing.node.events import THREAD_FAILED

SECRET = "marked-prompt"


@pytest.fixture
def logged(monkeypatch):
    events = []
    monkeypatch.setattr(threading, "excepthook", threading.excepthook)
    monkeypatch.setattr(
        faults, "log", lambda event, **fields: events.append((event, fields))
    )
    faults.report_thread_faults()
    return events


def _run_thread_that_raises(error):
    def fail():
        raise error

    thread = threading.Thread(target=fail, name="a thread")
    thread.start()
    thread.join()


def test_error_text_is_not_logged(logged, capfd):
    """Guards against a caller's prompt in a traceback on standard error."""
    _run_thread_that_raises(ValueError(SECRET))
    assert logged == [(THREAD_FAILED, {"thread": "a thread", "error": "ValueError"})]
    assert SECRET not in "".join(capfd.readouterr())


def test_system_exit_is_not_reported(logged):
    _run_thread_that_raises(SystemExit())
    assert logged == []
