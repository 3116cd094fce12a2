import random

import pytest

from baobabwing.fleet.host import Host
from baobabwing.fleet.joining import Joining
from baobabwing.fleet.settings import MembershipSettings


class Speaker:
    def __init__(self):
        self.settled = 0

    def settle(self):
        self.settled += 1


@pytest.mark.parametrize(
    ("answers", "settled"),
    [("=" * 7, 0), ("=" * 8, 1), ("====!====", 0), ("!========", 1)],
)
def test_updates_are_repeated_until_members_agree(answers, settled):
    """All nodes start at once, or a zone is lost.

    There are more updates than can ride along in minutes. Repeating them to
    members that have them all would take the whole of the bytes for control.
    """
    speaker = Speaker()
    host = Host(name="x", incarnation=1, zone="", region="", peer="", http="")
    joining = Joining(
        table=None,
        speaker=speaker,
        seeds=None,
        cfg=MembershipSettings(),
        rng=random.Random(1),
    )
    for answer in answers:
        joining.compare(host, differs=answer == "!")
    assert speaker.settled == settled
