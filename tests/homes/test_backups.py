"""The death of a node that is both entry and home loses no stream."""

from baobabwing.bench.matrix.caller import Ending
from baobabwing.homes.backups import MAX_KEPT, RETENTION_S, PlacementBackups
from baobabwing.wire.messages import PlacementNotice


def notice(key, upstream="e1"):
    return PlacementNotice(key=key, upstream=upstream, request_id=f"r-{key}")


def test_notices_are_kept_for_a_while_and_bounded():
    now = [0.0]
    backups = PlacementBackups(clock=lambda: now[0])
    backups.keep(notice("k", "e1"))
    backups.keep(notice("k", "e2"))
    assert backups.find("k").upstream == "e2"
    now[0] = RETENTION_S + 1
    assert backups.find("k") is None
    for number in range(MAX_KEPT + 5):
        backups.keep(notice(str(number)))
    assert backups.find("0") is None
    assert backups.find(str(MAX_KEPT + 4)).known


def test_a_caller_of_a_killed_entry_that_was_home_gets_the_rest(trial):
    """A client's chat breaks off, and its second try is told "unknown".

    One node was the caller's entry and the home of the cell. It is killed while
    the answer streams. Nobody else knew on which engine the stream runs, though
    it still does; only the next home in line was told before the dispatch.
    """
    home = trial.site.homes("assistant")[0]
    job = trial.bound_job(home, tokens=300)
    first = trial.begin(job, home)
    assert first.wait_words(3)
    trial.site.kill(home)
    last = trial.caller.finish(job, first, trial.others(home))
    assert last.ending is Ending.WHOLE
    assert len(trial.executions(job)) == 1
    assert trial.breaches() == []
