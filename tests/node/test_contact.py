"""A node that hears nobody takes nothing new."""

import time

from baobabwing.entry.context import Readiness
from baobabwing.node.contact import CUT_OFF_S, Contact


def contact(alone):
    readiness = Readiness()
    readiness.remove_reason("starting")
    return readiness, Contact(readiness=readiness, isolated=lambda: alone[0])


def test_a_node_cut_off_from_peers_and_platform_refuses_new_requests():
    """Callers of a cut-off host would be served by a withdrawn configuration.

    The host's link goes: no peer and no platform is heard. An operator then
    withdraws a key, which this host cannot learn. After a few seconds it takes
    nothing new, and it takes requests again as soon as it hears its peers.
    """
    alone = [True]
    readiness, watched = contact(alone)
    watched.heard_platform()

    start = time.monotonic()
    assert not watched.check(start)
    assert watched.check(start + CUT_OFF_S + 1)
    assert readiness.reasons() == ("cut_off",)
    alone[0] = False
    assert not watched.check(start + CUT_OFF_S + 2)
    assert readiness.reasons() == ()


def test_a_platform_outage_alone_stops_nothing():
    alone = [False]
    readiness, watched = contact(alone)

    assert not watched.check(time.monotonic() + 1000)
    assert readiness.reasons() == ()
