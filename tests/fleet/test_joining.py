import random

import pytest

from baobabwing.fleet.host import Host
from baobabwing.fleet.joining import Joining
from baobabwing.fleet.settings import MembershipSettings


class DatagramSender:
    def __init__(self):
        self.clears = 0

    def clear_updates(self):
        self.clears += 1


@pytest.mark.parametrize(
    ("answers", "clears"),
    [("=" * 7, 0), ("=" * 8, 1), ("====!====", 0), ("!========", 1)],
)
def test_updates_are_repeated_until_members_agree(answers, clears):
    """All nodes start at once, or a zone is lost.

    There are more updates than can ride along in minutes. Repeating them to
    members that have them all would take the whole of the bytes for control.
    """
    datagram_sender = DatagramSender()
    host = Host(name="x", incarnation=1, zone="", region="", peer="", http="")
    joining = Joining(
        table=None,
        datagram_sender=datagram_sender,
        seeds=None,
        cfg=MembershipSettings(),
        rng=random.Random(1),
    )
    for answer in answers:
        joining.compare_digest(host, differs=answer == "!")
    assert datagram_sender.clears == clears
