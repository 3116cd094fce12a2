"""Tests of publishing with compare-and-set, with lost answers and races."""

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
    """Faults for the next calls of one operation, each after a concurrent write."""

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


def test_first_and_second_version(tables):
    assert publish(tables, base=0, cfg=FIRST_VERSION).version == 1
    assert (
        publish(tables, base=1, cfg=replace(FIRST_VERSION, summary="next")).version == 2
    )
    assert fetch_configuration(tables).summary == "next"
    assert fetch_version(tables, 1).summary == "first"
    assert fetch_version(tables, 2).summary == "next"


def test_two_operators_race(tables):
    """Guards against a lost update when two operators publish at the same time.

    Both changes are based on version 1, and Ana's write arrives between Eva's read
    and write. Eva must get a conflict that names Ana's change, which must stay.
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
    """Guards against a false failure or a second version after a lost message.

    The answer to a write is lost, or the request itself. Reading back shows
    which; in both cases publishing succeeds with exactly one new version.
    """
    tables.on_call = FaultScript("put", fault)
    published = publish(tables, base=0, cfg=FIRST_VERSION)
    assert published.version == 1
    assert fetch_configuration(tables) == published


def test_answer_lost_and_version_replaced_meanwhile(tables):
    """Guards against a false conflict when another change follows a lost answer.

    Version 1 is written, but neither acknowledged nor added to the history, and
    another operator publishes version 2. Repeating the attempt must succeed, as
    the history now shows that it wrote version 1.
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


def test_outage_after_the_write_took_effect(tables):
    """Guards against applying a change twice after an outage.

    The store accepts a write, loses the answer and becomes unavailable. The
    operator gets an error that the effect is unknown; repeating the attempt later
    must find it in place.
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


def test_stale_reads_are_no_conflict(tables):
    """Guards against reporting a conflict of an attempt with itself.

    The answer to a write is lost and later reads are stale. Repeating the write
    fails, as this very attempt changed the row. A conflict would mean that the
    change is not in force, although it is.
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
