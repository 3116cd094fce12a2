import random

import pytest

from baobabwing.fleet.host import Host
from baobabwing.fleet.joining import Joining
from baobabwing.fleet.settings import MembershipSettings


class CountingSender:
    def __init__(self):
        self.clears = 0

    def clear_updates(self):
        self.clears += 1


@pytest.mark.parametrize(
    ("answers", "clears"),
    [("=" * 7, 0), ("=" * 8, 1), ("====!====", 0), ("!========", 1)],
)
def test_updates_are_cleared_once_members_agree(answers, clears):
    """Guards against queued updates that take up the whole control bandwidth.

    When all nodes start at once or a zone is lost, more updates are queued than can
    be piggybacked in minutes, although all members already have them.
    """
    datagram_sender = CountingSender()
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
