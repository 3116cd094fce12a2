"""What nodes believe of workers and configuration, in every order of events."""

import pickle

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabwing.gateway.position import Position
from baobabwing_platform.worker_list import WorkerList
from tests.platform_adapter.restored_model import World, row


def names(entries):
    return {one.name: one.draining for one in entries}


def listed(**states):
    return {name: row(f"10.0.0.{ord(name)}:80", 1, one) for name, one in states.items()}


def taken(workers, rows, *, era, version, now):
    position = Position(era=era, version=version)
    return names(workers.update(rows, position, now=now, source="store"))


def test_worker_that_the_copy_lacks_stays_until_it_had_time_to_write_again():
    workers = WorkerList(heartbeat_s=1.0)
    taken(workers, listed(a="ready", b="ready"), era=1, version=9, now=0.0)
    after = taken(workers, listed(a="ready"), era=2, version=4, now=10.0)
    assert after == {"a": False, "b": False}
    assert names(workers.refresh(12.4)) == {"a": False, "b": False}
    assert workers.next_refresh_s(12.4) == pytest.approx(0.1)
    assert names(workers.refresh(12.5)) == {"a": False}


def test_worker_that_the_copy_revives_is_not_called():
    workers = WorkerList(heartbeat_s=1.0)
    taken(workers, listed(a="ready", b="ready"), era=1, version=9, now=0.0)
    taken(workers, listed(a="ready"), era=1, version=10, now=1.0)
    revived = listed(a="ready", b="ready")
    assert taken(workers, revived, era=2, version=4, now=10.0) == {"a": False}
    assert names(workers.refresh(13.4)) == {"a": False}
    assert names(workers.refresh(13.5)) == {"a": False, "b": False}


FOUR = {"a": False, "b": False, "c": False, "d": False}


def after_outage(*views):
    """Return what is used of four workers after each list, which come 0.1 s apart."""
    workers, version = WorkerList(heartbeat_s=1.0), 9
    taken(workers, listed(**dict.fromkeys(FOUR, "ready")), era=1, version=9, now=0.0)
    workers.note_store_unavailable(5.0)
    return [
        taken(
            workers,
            listed(**dict.fromkeys(view, "ready")),
            era=1,
            version=version + number,
            now=5.0 + number / 10,
        )
        for number, view in enumerate(views)
    ]


def test_worker_that_left_while_a_node_was_cut_off_gets_nothing():
    """Its entry counted as expired in an outage, and was kept for 2.5 s."""
    used = {"a": False, "b": False, "c": False}
    assert after_outage("abc", "abcd", "abc") == [used, FOUR, used]


@pytest.mark.parametrize("views", [("",), ("ab", "abc"), ("ab", "abcd", "abc")])
def test_pool_whose_entries_expired_keeps_its_workers(views):
    assert all(used == FOUR for used in after_outage(*views))


def test_pool_whose_entries_expire_one_by_one_is_not_emptied():
    assert after_outage("abcd", "abc", "ab", "a", "")[2:] == [FOUR] * 3


def test_worker_in_service_on_trust_is_not_taken_for_one_that_left():
    """Its row lapsed during an outage; then the copy lists it.

    Doubted, it would have been out of service for a moment, though it never was gone.
    """
    workers = WorkerList(heartbeat_s=1.0)
    taken(workers, listed(a="ready", b="ready"), era=1, version=9, now=0.0)
    workers.note_store_unavailable(5.0)
    both = {"a": False, "b": False}
    assert taken(workers, listed(a="ready"), era=1, version=10, now=5.0) == both
    whole = listed(a="ready", b="ready")
    assert taken(workers, whole, era=2, version=4, now=6.0) == both
    assert names(workers.refresh(9.0)) == both


def test_row_with_an_older_count_is_believed_in_the_end():
    """A worker that lives was taken for gone; the copy has it with an older count.

    Rows are renewed without a word of it, so that this is all that nodes ever see. It
    would have counted as older than itself, and have got nothing until it ended.
    """
    workers = WorkerList(heartbeat_s=1.0)
    newer = listed(a="ready", b="ready")
    newer["b"]["sequence"] = 30
    taken(workers, newer, era=1, version=9, now=0.0)
    taken(workers, listed(a="ready"), era=1, version=10, now=1.0)
    revived = listed(a="ready", b="ready")
    assert taken(workers, revived, era=2, version=4, now=10.0) == {"a": False}
    assert names(workers.refresh(13.5)) == {"a": False, "b": False}


# Nodes that reach the store; a third has all by way of the others.
READERS = 2


def copy_of(world):
    """Return a copy; an order of magnitude faster than ``deepcopy``."""
    return pickle.loads(pickle.dumps(world))


def moves_of(world):
    """Return the moves that are possible, each as a name and its arguments."""
    moves = []
    if world.restored_at is None:
        if "b" not in world.left:
            moves.append(("leave", "b"))
        if world.cfg == 1 and world.configures:
            moves.append(("change_configuration",))
        moves.append(("restore",))
    elif world.now < world.restored_at + 3.0:
        if world.store.cfg < world.cfg:
            moves.append(("write_configuration_again",))
        if world.sequence < 2:
            moves.append(("write_again", "a"))
        moves.append(("drop_silent",))
    elif world.now < world.restored_at + 3.5 and all(
        node.position == world.store.position for node in world.nodes
    ):
        # Half a heartbeat is enough for the last word to reach every node.
        moves.append(("end_doubt",))
    for number, node in enumerate(world.nodes):
        if number < READERS and node.position < world.store.position:
            moves.append(("read", number))
        for other, beside in enumerate(world.nodes):
            if beside.position < node.position or beside.cfg < node.cfg:
                moves.append(("hand_on", number, other))
    return moves


@pytest.mark.parametrize(
    ("nodes", "configures", "least"), [(2, True, 1500), (3, False, 800)]
)
def test_no_order_of_events_brings_back_what_is_gone(nodes, configures, least):
    """All orders of one copy, one worker that leaves, and a configuration that changes.

    No node may serve an older configuration than before, call a worker that it was
    told had left, or stay on an older configuration for good.
    """
    first = World.start(nodes=nodes, configures=configures)
    seen, pending = {first.key()}, [(first, ())]
    while pending:
        world, way = pending.pop()
        assert copy_of(world).unsettled() == [], way
        for name, *args in moves_of(world):
            after = copy_of(world)
            getattr(after, name)(*args)
            assert after.broken(world) == [], (*way, (name, *args))
            if after.key() not in seen:
                seen.add(after.key())
                pending.append((after, (*way, (name, *args))))
    assert len(seen) >= least


STEPS = st.one_of(
    st.sampled_from(["change_configuration", "copy", "restore"]),
    st.sampled_from(["write_configuration_again"]),
    st.tuples(st.sampled_from(["leave", "write_again"]), st.sampled_from("ab")),
    st.tuples(st.just("read"), st.integers(0, 2)),
    st.tuples(st.just("hand_on"), st.integers(0, 2), st.integers(0, 2)),
    st.tuples(st.just("restart"), st.integers(0, 2)),
)


def play(world, step):
    """Make one step, if it is possible now."""
    name, *args = (step,) if isinstance(step, str) else step
    if name == "copy":
        world.store.copy()
    elif name == "restart":
        if knows_no_more_than_others(world, *args):
            restart(world, *args)
    elif name == "write_again" and args[0] in world.left:
        return
    else:
        getattr(world, name)(*args)


def knows_no_more_than_others(world, number):
    others = [node.cfg for node in world.nodes if node is not world.nodes[number]]
    return world.nodes[number].cfg <= max(others)


def restart(world, number):
    """Start a node that knows nothing; it asks the others first."""
    world.nodes[number] = type(world.nodes[number])()
    for other, node in enumerate(world.nodes):
        if other != number:
            node.hand_on(world.nodes[number], world.now)
    world.read(number)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.lists(STEPS, max_size=40))
def test_random_orders_with_copies_and_restarts(steps):
    """Copies of any age, twice in a row as well, beside nodes that start again.

    What is known to one node at the least outlives all of it.
    """
    world = World.start(nodes=3)
    for step in steps:
        before = copy_of(world)
        play(world, step)
        assert max(one.cfg for one in world.nodes) >= max(
            one.cfg for one in before.nodes
        )
        if not isinstance(step, tuple) or step[0] != "restart":
            assert world.broken(before) == []
    assert world.unsettled() == []
