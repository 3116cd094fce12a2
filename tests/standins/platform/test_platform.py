import threading

import pytest
import urllib3

CONNECTION_ERROR = urllib3.exceptions.HTTPError


@pytest.fixture
def platform(start):
    return start("platform", "--latency-ms", "0", "--hosts-lag-ms", "0")


def put(platform, key, value, base=None):
    condition = {"If_Match": f'"{base}"'} if base else {"If_None_Match": "*"}
    return platform.call("PUT", f"/tables/t/{key}", {"value": value}, **condition)


def get(platform, key):
    return platform.json("GET", f"/tables/t/{key}")


def test_a_row_changes_only_from_the_version_that_was_read(platform):
    assert put(platform, "k", 1).json() == {"version": 1}
    assert put(platform, "k", 2).status == 412
    assert put(platform, "k", 2, base=7).status == 412
    assert put(platform, "k", {"a": [2]}, base=1).json() == {"version": 2}
    assert get(platform, "k") == {"version": 2, "value": {"a": [2]}}


def test_a_write_without_a_condition_is_refused(platform):
    assert platform.call("PUT", "/tables/t/k", {"value": 1}).status == 428
    assert platform.call("GET", "/tables/t/k").status == 404


def test_versions_of_a_key_keep_growing_after_its_deletion(platform):
    """A lease holder that was paused writes with a version it read before.

    If the versions of a deleted row started again at 1, its write would succeed.
    """
    put(platform, "k", "first")
    deleted = platform.call("DELETE", "/tables/t/k", If_Match='"1"')
    assert deleted.status == 204
    assert platform.call("GET", "/tables/t/k").status == 404
    assert put(platform, "k", "second").json() == {"version": 3}
    assert put(platform, "k", "late", base=1).status == 412


def test_exactly_one_concurrent_writer_succeeds(platform):
    put(platform, "k", 0)
    statuses = []

    def write(number):
        statuses.append(put(platform, "k", number, base=1).status)

    threads = [threading.Thread(target=write, args=(n,)) for n in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(statuses) == [200] + [412] * 7


def test_a_batch_inserts_absent_rows_and_counts_as_one_write(platform):
    put(platform, "a/1", "old")
    inserts = [{"key": f"a/{n}", "value": f"new {n}"} for n in (1, 2)]
    answer = platform.json("POST", "/tables/t", {"inserts": inserts})
    assert answer["results"] == [
        {"key": "a/1", "inserted": False, "value": "old"},
        {"key": "a/2", "inserted": True, "value": "new 2"},
    ]
    items = platform.json("GET", "/tables/t?prefix=a/")["items"]
    assert [(item["key"], item["value"]) for item in items] == [
        ("a/1", "old"),
        ("a/2", "new 2"),
    ]
    assert platform.json("GET", "/control/record")["counts"]["writes"] == 2


def test_writes_over_the_limit_have_no_effect(start):
    platform = start("platform", "--writes-per-s", "0.001")
    assert put(platform, "a", 1).status == 200
    limited = put(platform, "b", 1)
    assert limited.status == 429
    assert int(limited.headers["Retry-After"]) >= 1
    assert platform.call("GET", "/tables/t/b").status == 404


def test_a_throttle_limits_writes_further(platform):
    platform.fault("throttle", value=0)
    answers = [put(platform, f"k{n}", n).status for n in range(100)]
    assert 429 in answers
    written = len(platform.json("GET", "/control/record")["writes"])
    assert written == answers.count(200)


def test_calls_have_no_effect_while_the_platform_is_down(platform):
    platform.fault("down", names=["tables"])
    assert put(platform, "k", 1).status == 503
    assert platform.call("GET", "/hosts").status == 200
    platform.call("DELETE", "/control/faults")
    assert platform.call("GET", "/tables/t/k").status == 404


def test_a_lost_answer_follows_the_effect_and_a_dropped_call_has_none(platform):
    """An operator's change gets no answer.

    The connection breaks once after the write and once before it; the caller cannot
    tell the two cases apart from the connection.
    """
    platform.fault("lose_answer", count=1)
    with pytest.raises(CONNECTION_ERROR):
        put(platform, "done", 1)
    platform.fault("drop_before_effect", count=1)
    with pytest.raises(CONNECTION_ERROR):
        put(platform, "lost", 1)
    assert get(platform, "done") == {"version": 1, "value": 1}
    assert platform.call("GET", "/tables/t/lost").status == 404


def test_stale_reads_return_past_versions(platform):
    put(platform, "k", 1)
    platform.fault("stale", value=600_000)
    assert platform.call("GET", "/tables/t/k").status == 404
    assert platform.json("GET", "/tables/t")["items"] == []
    assert put(platform, "k", 2, base=1).status == 200
    platform.call("DELETE", "/control/faults")
    assert get(platform, "k")["value"] == 2


def test_the_list_of_hosts_lags_and_can_be_wrong(platform):
    host = {"zone": "z1", "region": "r", "peer": "p", "http": "h", "state": "live"}
    for name in "ab":
        assert platform.call("PUT", f"/hosts/{name}", host).status == 204
    assert platform.json("GET", "/hosts")["hosts"] == [
        {"name": "a", **host},
        {"name": "b", **host},
    ]
    platform.fault("list_error", names=["a"], value="leaving")
    states = [row["state"] for row in platform.json("GET", "/hosts")["hosts"]]
    assert states == ["leaving", "live"]
    platform.fault("list_error", names=["a"])
    assert [row["name"] for row in platform.json("GET", "/hosts")["hosts"]] == ["b"]
    platform.fault("lag", value=600_000)
    assert platform.json("GET", "/hosts")["hosts"] == []


def test_objects_are_stored_unchanged(platform):
    content = bytes(range(256))
    platform.pool.request("PUT", f"http://{platform.address}/objects/a/b", body=content)
    assert platform.call("GET", "/objects/a/b").data == content
    assert platform.call("GET", "/objects/none").status == 404
