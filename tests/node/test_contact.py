"""A node without contact to peers and platform refuses new requests."""

import time

from baobabwing.entry.context import Readiness
from baobabwing.node.contact import MAX_ISOLATION_S, IsolationMonitor


def make_monitor(is_isolated):
    readiness = Readiness()
    readiness.remove_reason("starting")
    return readiness, IsolationMonitor(
        readiness=readiness, isolated=lambda: is_isolated[0]
    )


def test_node_isolated_from_peers_and_platform_refuses_new_requests():
    """Guards against an isolated host serving by an outdated configuration.

    Without peers and platform, the host does not receive the withdrawal of a key.
    It refuses new requests after a few seconds, and accepts them again as soon as
    it receives from its peers.
    """
    is_isolated = [True]
    readiness, monitor = make_monitor(is_isolated)
    monitor.record_platform_answer()

    start = time.monotonic()
    assert not monitor.check(start)
    assert monitor.check(start + MAX_ISOLATION_S + 1)
    assert readiness.reasons() == ("cut_off",)
    is_isolated[0] = False
    assert not monitor.check(start + MAX_ISOLATION_S + 2)
    assert readiness.reasons() == ()


def test_platform_outage_alone_does_not_block_requests():
    is_isolated = [False]
    readiness, monitor = make_monitor(is_isolated)

    assert not monitor.check(time.monotonic() + 1000)
    assert readiness.reasons() == ()
