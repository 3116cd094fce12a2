from baobabwing.standins.engine.cache import CacheEventLog, PrefixCache


def make_cache(blocks, *, gap=0.0, lag_s=0.0):
    events = CacheEventLog(lag_s=lag_s, gap=gap, seed=1)
    return PrefixCache(capacity_tokens=blocks * 64, events=events), events


def reported(events, after=0):
    return [(event["kind"], event["block"]) for event in events.after(after)["events"]]


def test_a_match_ends_at_the_first_block_that_is_missing():
    cache, _ = make_cache(8)
    cache.store([1, 2, 3])
    assert cache.match([1, 2, 3, 4]) == 3
    assert cache.match([1, 9, 3]) == 1
    assert cache.match([9, 2, 3]) == 0


def test_the_least_recently_used_prompt_is_evicted_first_from_its_end():
    cache, events = make_cache(4)
    cache.store([1, 2])
    cache.store([11, 12])
    cache.match([1, 2])
    cache.store([21])
    assert cache.present([1, 2, 11, 12, 21]) == [1, 2, 11, 21]
    assert reported(events)[-1] == ("evicted", 12)
    assert len(cache) == 4


def test_the_start_of_a_prompt_larger_than_the_cache_is_kept():
    cache, _ = make_cache(2)
    cache.store([1, 2, 3, 4])
    assert cache.match([1, 2, 3, 4]) == 2


def test_events_are_numbered_and_read_from_a_number_on():
    cache, events = make_cache(4)
    cache.store([1, 2])
    first = events.after(0)
    cache.clear()
    assert [event["n"] for event in first["events"]] == [0, 1]
    assert reported(events, first["next"]) == [("cleared", 0)]


def test_unreported_events_leave_gaps_in_the_numbers():
    cache, events = make_cache(1000, gap=0.2)
    cache.store(range(1000))
    numbers = [event["n"] for event in events.after(0)["events"]]
    assert 700 < len(numbers) < 900
    assert numbers == sorted(set(numbers))


def test_events_are_reported_after_the_lag():
    cache, events = make_cache(4, lag_s=3600.0)
    cache.store([1])
    assert events.after(0) == {"next": 0, "events": []}
    events.lag_s = 0.0
    assert reported(events) == [("stored", 1)]


def test_a_reader_of_an_earlier_incarnation_gets_the_current_number():
    """A reader never receives the cache events of a restarted engine.

    The engine restarts and numbers its events from 0 again, while the reader
    requests events from a number that the new incarnation has not reached. Its view
    of the cache would stay wrong for as long as the engine runs.
    """
    log = CacheEventLog(lag_s=0.0, gap=0.0, seed=1)
    log.add("stored", 5)
    assert log.after(40) == {"next": 1, "events": []}
