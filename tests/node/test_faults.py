"""An error that ends a thread is logged without its text."""

import threading

import pytest

from baobabwing.node import faults
from baobabwing.node.events import THREAD_FAILED

SECRET = "marked-prompt"


@pytest.fixture
def logged(monkeypatch):
    lines = []
    monkeypatch.setattr(threading, "excepthook", threading.excepthook)
    monkeypatch.setattr(
        faults, "log", lambda event, **fields: lines.append((event, fields))
    )
    faults.report_thread_faults()
    return lines


def _run(error):
    def fail():
        raise error

    thread = threading.Thread(target=fail, name="a thread")
    thread.start()
    thread.join()


def test_text_stays_out_of_the_log(logged, capfd):
    """An operator reads a prompt in a traceback on standard error."""
    _run(ValueError(SECRET))
    assert logged == [(THREAD_FAILED, {"thread": "a thread", "error": "ValueError"})]
    assert SECRET not in "".join(capfd.readouterr())


def test_the_end_of_a_thread_is_no_fault(logged):
    _run(SystemExit())
    assert logged == []
