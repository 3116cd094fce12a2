"""What one node may use of a window before others know of it."""

import pytest

from baobabwing.gateway.decisions.escrow import Escrow, Side, Verdict

WINDOW_S = 8.0
NEAR = Side(nodes=10, ceiling=1000.0, reserve=200.0, alone=False)
ALONE = Side(nodes=10, ceiling=1000.0, reserve=200.0, alone=True)


@pytest.fixture
def escrow():
    made = Escrow(window_s=WINDOW_S)
    made.follow("sums", 0.0)
    made.settle()
    return made


def test_what_is_unconfirmed_is_bounded_near_the_ceiling(escrow):
    escrow.hear("sums", 900.0)
    assert escrow.judge(10.0, NEAR, 1.0) is Verdict.ADMITTED
    escrow.charge(10.0, 1.0)
    assert escrow.judge(10.0, NEAR, 1.0) is Verdict.UNCONFIRMED
    escrow.confirm("sums", 10.0)
    assert escrow.judge(10.0, NEAR, 1.0) is Verdict.ADMITTED


def test_one_large_request_passes_while_there_is_plenty_of_room(escrow):
    escrow.hear("sums", 300.0)
    assert escrow.judge(400.0, NEAR, 1.0) is Verdict.ADMITTED
    escrow.charge(400.0, 1.0)
    assert escrow.judge(200.0, NEAR, 1.0) is Verdict.UNCONFIRMED


def test_each_of_those_that_add_up_has_to_confirm(escrow):
    escrow.hear("sums", 900.0)
    escrow.charge(50.0, 1.0)
    escrow.confirm("sums", 50.0)
    escrow.confirm("other", 0.0)
    assert escrow.unconfirmed(1.0) == 50.0
    escrow.forget("other")
    assert escrow.unconfirmed(1.0) == 0.0


def test_full_window_refuses_whatever_is_confirmed(escrow):
    escrow.hear("sums", 995.0)
    assert escrow.judge(10.0, NEAR, 1.0) is Verdict.FULL


def test_node_that_hears_late_keeps_to_its_own_part(escrow):
    escrow.hear("sums", 0.0)
    assert escrow.judge(90.0, ALONE, 1.0) is Verdict.ADMITTED
    escrow.charge(90.0, 1.0)
    assert escrow.judge(20.0, ALONE, 1.0) is Verdict.UNCONFIRMED


def test_what_ended_with_the_node_that_knew_it_still_counts(escrow):
    """Nodes that died and the node that had added them up are gone together."""
    escrow.hear("sums", 900.0)
    escrow.forget("sums")
    escrow.follow("next", 2.0)
    escrow.hear("next", 300.0)
    assert escrow.known(2.5) == 900.0
    escrow.settle()
    escrow.hear("next", 350.0)
    assert escrow.known(3.0) == 950.0
    assert escrow.known(2.0 + WINDOW_S) == 350.0


def test_lowered_limit_forgives_what_was_used_before(escrow):
    escrow.hear("sums", 800.0)
    escrow.forgive(1.0)
    assert escrow.known(1.0) == 0.0
    assert escrow.known(1.0 + WINDOW_S / 2) == 400.0
    assert escrow.known(1.0 + WINDOW_S) == 800.0
