from baobabwing.fleet.updates import UpdateQueue
from baobabwing.wire.datagram import MemberRecord, record_size


def record(name, refutation=0):
    return MemberRecord(name=name, incarnation=1, state=0, refutation=refutation)


def test_updates_are_sent_a_bounded_number_of_times():
    queue = UpdateQueue()
    queue.put(record("x"), transmissions=3)
    assert [len(queue.take(1000)) for _ in range(5)] == [1, 1, 1, 0, 0]


def test_newer_update_replaces_the_older_one():
    queue = UpdateQueue()
    queue.put(record("x"), transmissions=3)
    queue.put(record("x", 1), transmissions=3)
    assert queue.take(1000) == (record("x", 1),)


def test_least_sent_updates_come_first_within_the_budget():
    queue = UpdateQueue()
    names = [f"n{i}" for i in range(6)]
    for name in names:
        queue.put(record(name), transmissions=9)
    budget = 2 * record_size(record("n0"))
    sent = [r.name for _ in range(3) for r in queue.take(budget)]
    assert sorted(sent) == names
