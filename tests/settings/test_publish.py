"""Publishing by compare-and-set, through lost answers and races."""

from dataclasses import replace

import pytest

from baobabwing.exceptions import (
    ConflictError,
    PlatformUnavailableError,
    PlatformUncertainError,
)
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.fetch import fetch_configuration, fetch_version
from baobabwing.settings.publish import publish
from baobabwing.store.memory import Fault, MemoryTables

FIRST_VERSION = Configuration(version=0, author="ana", summary="first")


class FaultScript:
    """Faults for the next calls of one operation, and a rival's move."""

    def __init__(self, operation, *faults, concurrent_write=None):
        self.operation = operation
        self.faults = list(faults)
        self.concurrent_write = concurrent_write

    def __call__(self, call):
        if call.operation != self.operation or not self.faults:
            return None
        fault = self.faults.pop(0)
        if self.concurrent_write:
            self.concurrent_write()
        return fault


@pytest.fixture
def tables():
    return MemoryTables()


def test_first_and_next(tables):
    assert publish(tables, base=0, cfg=FIRST_VERSION).version == 1
    assert (
        publish(tables, base=1, cfg=replace(FIRST_VERSION, summary="next")).version == 2
    )
    assert fetch_configuration(tables).summary == "next"
    assert fetch_version(tables, 1).summary == "first"
    assert fetch_version(tables, 2).summary == "next"


def test_two_operators_race(tables):
    """Two operators change the same configuration at the same time.

    Both started from version 1. Ana's write lands between Eva's reading and
    Eva's writing. Eva must be told what Ana changed, and Ana's change must stay.
    """
    publish(tables, base=0, cfg=FIRST_VERSION)
    ana = replace(FIRST_VERSION, author="ana", summary="drained engine 3")

    def concurrent_write():
        publish(tables, base=1, cfg=ana)

    tables.on_call = FaultScript("put", None, concurrent_write=concurrent_write)
    with pytest.raises(ConflictError, match="version 2 by ana: drained engine 3"):
        publish(
            tables, base=1, cfg=replace(FIRST_VERSION, author="eva", summary="limits")
        )
    assert fetch_configuration(tables).author == "ana"


@pytest.mark.parametrize("fault", [Fault.LOSE_ANSWER, Fault.LOSE_REQUEST])
def test_answer_lost_once(tables, fault):
    """An operator's change is accepted, but the answer is lost on the way.

    Only reading back tells whether it took effect. Either way the operator sees
    one success, and the configuration grew by one version.
    """
    tables.on_call = FaultScript("put", fault)
    published = publish(tables, base=0, cfg=FIRST_VERSION)
    assert published.version == 1
    assert fetch_configuration(tables) == published


def test_answer_lost_and_version_replaced_meanwhile(tables):
    """An answer is lost after the effect, and another operator builds on it.

    Reading back shows version 2 by somebody else. That is no conflict: version
    1 is ours, as the history tells, though its writer never wrote the history.
    """
    cfg = replace(FIRST_VERSION, attempt="a1")
    tables.on_call = FaultScript("put", Fault.LOSE_ANSWER)
    publish(tables, base=0, cfg=cfg)
    tables.on_call = None
    row = tables.read("configuration", "history/1")
    tables.delete("configuration", "history/1", expected=row.version)
    publish(tables, base=1, cfg=replace(FIRST_VERSION, author="eva"))
    assert publish(tables, base=0, cfg=cfg).version == 1
    assert fetch_configuration(tables).author == "eva"


def test_store_goes_down_after_the_effect(tables):
    """The store takes the change, loses the answer and goes down.

    The operator is told that the effect is unknown, and repeats the attempt
    when the store is back: it is found, and not applied a second time.
    """
    is_down = False

    def on_call(call):
        nonlocal is_down
        if is_down:
            return Fault.REFUSE
        is_down = call.operation == "put"
        return Fault.LOSE_ANSWER if is_down else None

    tables.on_call = on_call
    cfg = replace(FIRST_VERSION, attempt="a1")
    with pytest.raises(PlatformUncertainError, match="a1"):
        publish(tables, base=0, cfg=cfg)
    tables.on_call = None
    assert publish(tables, base=0, cfg=cfg).version == 1
    assert fetch_configuration(tables).version == 1


@pytest.mark.parametrize("operation", ["read", "put"])
def test_store_down(tables, operation):
    tables.on_call = FaultScript(operation, Fault.REFUSE)
    with pytest.raises(PlatformUnavailableError):
        publish(tables, base=0, cfg=FIRST_VERSION)
    tables.on_call = None
    assert fetch_configuration(tables) is None


def test_uncertain_history_of_the_old_version_changes_nothing(tables):
    publish(tables, base=0, cfg=FIRST_VERSION)
    tables.on_call = FaultScript("insert", Fault.LOSE_ANSWER)
    with pytest.raises(PlatformUnavailableError):
        publish(tables, base=1, cfg=FIRST_VERSION)
    assert fetch_configuration(tables).version == 1


def test_reads_that_lag_make_no_conflict(tables):
    """The answer to a change is lost, and reads then come from the past.

    Repeating the write fails, since the row has changed: by this very change.
    Calling that a conflict would tell the operator that it is not in force.
    """
    publish(tables, base=0, cfg=FIRST_VERSION)
    cfg = replace(FIRST_VERSION, attempt="a2")
    stale_row = tables.read("configuration", "current")
    tables.on_call = FaultScript("put", Fault.LOSE_ANSWER)
    tables.read = lambda table, key: stale_row
    with pytest.raises(PlatformUncertainError):
        publish(tables, base=1, cfg=cfg)
    del tables.read
    assert publish(tables, base=1, cfg=cfg).version == 2
    assert fetch_configuration(tables).version == 2
