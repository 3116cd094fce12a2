import pytest

from baobabwing.fleet.host import Host
from baobabwing.fleet.verdict import DeathDecision, decide_death


def host(name):
    return Host(name=name, incarnation=1, zone=name[0], region="r", peer="", http="")


@pytest.mark.parametrize(
    ("others", "confirmed", "unresponsive", "answered", "decision"),
    [
        # Nobody else is left to ask.
        ("", "", 1, 0, DeathDecision.DEAD),
        # Nobody confirms: the own link may be cut.
        ("a1 b1 c1", "", 4, 0, DeathDecision.HOLD),
        # Only the own zone confirms: the zone may be cut.
        ("a1 b1 c1", "a1", 1, 2, DeathDecision.HOLD),
        ("a1 b1 c1", "b1", 1, 2, DeathDecision.DEAD),
        # A fleet of one zone can only ask its own.
        ("a1 a2 a3", "a1", 1, 2, DeathDecision.DEAD),
        # The only one left to ask confirms.
        ("a1", "a1", 1, 1, DeathDecision.DEAD),
        # As many are silent as answer: the two may share a broken switch.
        ("a1 a2 a3", "a1", 1, 1, DeathDecision.HOLD),
        ("a1 a2 a3 a4", "a1", 2, 1, DeathDecision.HOLD),
        # Most are silent: two other zones have to confirm.
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
