import pytest

from baobabwing.fleet.host import Host
from baobabwing.fleet.verdict import Verdict, judge


def host(name):
    return Host(name=name, incarnation=1, zone=name[0], region="r", peer="", http="")


@pytest.mark.parametrize(
    ("others", "confirmed", "silent", "answered", "verdict"),
    [
        # Nobody else is left to ask.
        ("", "", 1, 0, Verdict.DEAD),
        # Nobody confirms: the own link may be cut.
        ("a1 b1 c1", "", 4, 0, Verdict.HOLD),
        # Only the own zone confirms: the zone may be cut.
        ("a1 b1 c1", "a1", 1, 2, Verdict.HOLD),
        ("a1 b1 c1", "b1", 1, 2, Verdict.DEAD),
        # A fleet of one zone can only ask its own.
        ("a1 a2 a3", "a1", 1, 2, Verdict.DEAD),
        # The only one left to ask confirms.
        ("a1", "a1", 1, 1, Verdict.DEAD),
        # As many are silent as answer: the two may share a broken switch.
        ("a1 a2 a3", "a1", 1, 1, Verdict.HOLD),
        ("a1 a2 a3 a4", "a1", 2, 1, Verdict.HOLD),
        # Most are silent: two other zones have to confirm.
        ("a1 a2 a3 a4", "a1", 4, 1, Verdict.HOLD),
        ("a1 b1 b2 c2", "b1 b2", 4, 1, Verdict.HOLD),
        ("a1 b1 c1 d1", "b1 c1", 4, 1, Verdict.DEAD),
    ],
)
def test_verdict(others, confirmed, silent, answered, verdict):
    assert (
        judge(
            me=host("a0"),
            target=host("d0" if "b1" in others else "a9"),
            others=[host(name) for name in others.split()],
            confirmed={name: name[0] for name in confirmed.split()},
            silent=silent,
            answered=answered,
        )
        is verdict
    )
