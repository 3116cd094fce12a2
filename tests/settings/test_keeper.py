"""Tests of the configuration holder: the version in force never decreases."""

import threading

import pytest

from baobabwing.settings.configuration import Configuration
from baobabwing.settings.keeper import ConfigurationKeeper

TIMEOUT_S = 10.0


def configuration(number, **fields):
    return Configuration(version=number, **fields)


def offer_in_thread(keeper, number):
    thread = threading.Thread(
        target=lambda: keeper.offer(configuration(number), source="peer")
    )
    thread.start()
    return thread


@pytest.fixture
def keeper():
    return ConfigurationKeeper()


def test_only_higher_versions_are_applied(keeper):
    assert keeper.current() is None
    assert keeper.offer(configuration(2), source="store")
    assert not keeper.offer(configuration(2), source="peer")
    assert not keeper.offer(configuration(1), source="peer")
    assert keeper.current().version == 2
    assert keeper.highest_heard() == 2


def test_unpublished_version_is_not_applied(keeper):
    assert not keeper.offer(configuration(0), source="store")


def test_version_below_the_highest_known_is_not_applied(keeper):
    """Guards against accepting a revoked key again.

    An operator removes a key in version 7. A node learns by gossip that version 7
    exists; then a peer that was partitioned offers version 6, which has the key.
    """
    keeper.heard(7)
    assert not keeper.offer(configuration(6), source="peer")
    assert keeper.current() is None
    assert keeper.offer(configuration(7), source="peer")


def test_same_number_with_other_content_is_not_applied(keeper):
    keeper.offer(configuration(3, author="ana"), source="store")
    assert not keeper.offer(configuration(3, author="eva"), source="peer")
    assert keeper.current().author == "ana"


def test_waits_end_when_a_version_is_known_or_applied(keeper):
    assert not keeper.wait_for(1, 0.0)
    assert keeper.wait_until_behind(0.0) == 0
    versions_to_fetch = []
    waiting_thread = threading.Thread(
        target=lambda: versions_to_fetch.append(keeper.wait_until_behind(TIMEOUT_S))
    )
    waiting_thread.start()
    keeper.heard(4)
    waiting_thread.join(TIMEOUT_S)
    assert versions_to_fetch == [4]
    offering_thread = threading.Thread(
        target=keeper.offer, args=(configuration(4),), kwargs={"source": "peer"}
    )
    offering_thread.start()
    assert keeper.wait_for(4, TIMEOUT_S)
    offering_thread.join(TIMEOUT_S)


def test_late_listener_gets_the_current_version(keeper):
    keeper.offer(configuration(1), source="store")
    delivered = []
    keeper.on_change(lambda cfg: delivered.append(cfg.version))
    keeper.offer(configuration(2), source="store")
    assert delivered == [1, 2]


def test_listeners_never_end_on_a_lower_version(keeper):
    """Guards against a node that keeps enforcing replaced limits.

    Versions 5 and 6 arrive from two threads while a listener is busy with 4. Both
    are applied at once, but the thread with 5 may reach the listener last.
    """
    entered, may_return = threading.Event(), threading.Event()
    delivered = []

    def listener(cfg):
        if cfg.version == 4:
            entered.set()
            may_return.wait(TIMEOUT_S)
        delivered.append(cfg.version)

    keeper.on_change(listener)
    threads = [offer_in_thread(keeper, 4)]
    assert entered.wait(TIMEOUT_S)
    for number in (5, 6):
        threads.append(offer_in_thread(keeper, number))
        assert keeper.wait_for(number, TIMEOUT_S)
    may_return.set()
    for thread in threads:
        thread.join(TIMEOUT_S)
    assert delivered == [4, 6]
