"""All nodes hold bad parts of prompts back, and sound requests go on.

The bounds are those of the operators: three requests with a bad part that reach engines
later than a few seconds after the fifth crash, and half of the sound ones.
"""

import pytest

from baobabwing.gateway import part_reports
from tests.gateway.parts_model import play_parts

MAX_LATER = 3
MIN_SERVED_SHARE = 0.5
# Time in which the trial of a part ends that crashing requests share with the bad one:
# one answer of up to 2.4 s, and what asking and telling the nodes takes.
MAX_SHARED_PART_HELD_S = 3.0
# A sound request may be refused now and then for a part that was blamed by chance.
MAX_REFUSED_SHARE = 0.05

PLAYS = {
    "one node": {"nodes": 1},
    "six nodes": {},
    "60 nodes": {"nodes": 60, "engines": 20, "sound_per_s": 100, "bad_per_s": 2},
    "300 nodes": {
        "nodes": 300,
        "engines": 60,
        "sound_per_s": 200,
        "bad_per_s": 2,
        "end_s": 30,
    },
    "four a second": {"bad_per_s": 4, "down_s": 0.3, "nodes": 24},
    "one in five seconds": {"bad_per_s": 0.2, "end_s": 150},
    "two bad parts": {"bad": 2},
    "requests that run again": {"attempts": 2, "bad_per_s": 0.5},
    "crashes after the first event": {"late_share": 1.0},
    "sound until it turns bad": {"bad_from_s": 20},
    "few engines": {"engines": 2, "down_s": 6},
    "few sound requests": {"sound_per_s": 3},
    "a third of the messages lost": {"loss": 0.3},
    "all nodes killed twice": {"kills": ((4, 1.0), (10, 1.0), (16, 0.5))},
    "half of the nodes cut off": {"cut": (5, 25, 0.5)},
    "engines that crash by themselves": {"crashes_per_s": 0.5},
    "all engines crash by themselves": {"mass_crashes": tuple(range(3, 60, 6))},
}
SOUND = {
    "one engine a second": {"crashes_per_s": 1.0},
    "20 engines": {"engines": 20, "crashes_per_s": 1.0, "sound_per_s": 60},
    "all engines, again and again": {"mass_crashes": tuple(range(3, 60, 6))},
}


@pytest.fixture(autouse=True)
def silent(monkeypatch):
    monkeypatch.setattr(part_reports, "log", lambda *args, **fields: None)


@pytest.mark.parametrize("name", PLAYS)
def test_bad_parts_reach_few_engines_and_sound_requests_go_on(name):
    for seed in (1001, 1002):
        play = play_parts(seed=seed, **PLAYS[name])
        assert max(play.later.values(), default=0) <= MAX_LATER
        assert 1 - play.refused_share >= MIN_SERVED_SHARE
        assert play.refused_share <= MAX_REFUSED_SHARE


@pytest.mark.parametrize("name", SOUND)
def test_crashes_for_other_reasons_hold_hardly_any_request_back(name):
    for seed in (1001, 1002):
        play = play_parts(seed=seed, bad=0, **SOUND[name])
        assert play.crashed_by[0] > 20
        assert play.refused_share <= MAX_REFUSED_SHARE


@pytest.mark.parametrize("bad_until_s", [10, 30])
@pytest.mark.parametrize("seed", range(1001, 1006))
def test_sound_part_of_all_crashing_requests_is_tried_soon(seed, bad_until_s):
    """It was held with the bad one, and sound requests waited for 20 s to days.

    No sound request had come before, so that nothing told the two parts apart.
    """
    play = play_parts(
        seed=seed,
        bad_per_s=10,
        bad_until_s=bad_until_s,
        sound_from_s=10,
        common_only=True,
        end_s=30,
    )
    assert play.refused_at
    assert max(play.refused_at) < 10 + MAX_SHARED_PART_HELD_S
    assert max(play.later.values(), default=0) <= MAX_LATER


def test_nothing_is_sent_while_no_upstream_crashes():
    play = play_parts(bad=0, nodes=20, end_s=30)
    assert play.sent_bytes.total() == 0
