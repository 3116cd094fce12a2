"""Placement backups, and the death of a node that is both entry and home."""

from baobabwing.bench.matrix.caller import Ending
from baobabwing.homes.backups import MAX_KEPT, RETENTION_S, PlacementBackups
from baobabwing.wire.messages import PlacementNotice


def make_notice(key, upstream="e1"):
    return PlacementNotice(key=key, upstream=upstream, request_id=f"r-{key}")


def test_backups_expire_and_are_bounded():
    now = [0.0]
    backups = PlacementBackups(clock=lambda: now[0])
    backups.store(make_notice("k", "e1"))
    backups.store(make_notice("k", "e2"))
    assert backups.find("k").upstream == "e2"
    now[0] = RETENTION_S + 1
    assert backups.find("k") is None
    for number in range(MAX_KEPT + 5):
        backups.store(make_notice(str(number)))
    assert backups.find("0") is None
    assert backups.find(str(MAX_KEPT + 4)).known


def test_stream_survives_death_of_entry_that_is_home(trial):
    """Guards against answering "unknown" to the retry of a stream that still runs.

    One node is the caller's entry and the home of the cell, and is killed while the
    answer streams. Only the next home in the ranking has the placement, from the
    notice that was sent before the dispatch.
    """
    home = trial.site.homes("assistant")[0]
    job = trial.bound_job(home, tokens=300)
    first_attempt = trial.begin(job, home)
    assert first_attempt.wait_words(3)
    trial.site.kill(home)
    transcript = trial.caller.finish(job, first_attempt, trial.others(home))
    assert transcript.ending is Ending.WHOLE
    assert len(trial.executions(job)) == 1
    assert trial.breaches() == []
