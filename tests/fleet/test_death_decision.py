import pytest

from baobabwing.fleet.death_decision import DeathDecision, decide_death
from baobabwing.fleet.host import Host


def host(name):
    return Host(name=name, incarnation=1, zone=name[0], region="r", peer="", http="")


@pytest.mark.parametrize(
    ("others", "confirmed", "unresponsive", "answered", "decision"),
    [
        # No other member is left to confirm.
        ("", "", 1, 0, DeathDecision.DEAD),
        # No member confirms: the own link may be down.
        ("a1 b1 c1", "", 4, 0, DeathDecision.HOLD),
        # Only the own zone confirms: the zone may be partitioned.
        ("a1 b1 c1", "a1", 1, 2, DeathDecision.HOLD),
        ("a1 b1 c1", "b1", 1, 2, DeathDecision.DEAD),
        # In a fleet of one zone only that zone can confirm.
        ("a1 a2 a3", "a1", 1, 2, DeathDecision.DEAD),
        # The only other member confirms.
        ("a1", "a1", 1, 1, DeathDecision.DEAD),
        # As many do not answer as answer: the two may share a failed switch.
        ("a1 a2 a3", "a1", 1, 1, DeathDecision.HOLD),
        ("a1 a2 a3 a4", "a1", 2, 1, DeathDecision.HOLD),
        # Most do not answer: two other zones have to confirm.
        ("a1 a2 a3 a4", "a1", 4, 1, DeathDecision.HOLD),
        ("a1 b1 b2 c2", "b1 b2", 4, 1, DeathDecision.HOLD),
        ("a1 b1 c1 d1", "b1 c1", 4, 1, DeathDecision.DEAD),
    ],
)
def test_death_decision(others, confirmed, unresponsive, answered, decision):
    assert (
        decide_death(
            me=host("a0"),
            target=host("d0" if "b1" in others else "a9"),
            others=[host(name) for name in others.split()],
            confirmed={name: name[0] for name in confirmed.split()},
            unresponsive=unresponsive,
            answered=answered,
        )
        is decision
    )
