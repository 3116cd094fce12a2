"""The queue of a cell at its home: nodes that ask, hold, lose words, and end."""

import random

import pytest

from baobabwing.gateway.decisions.cell_queue import (
    CellQueue,
    HeldPlace,
    Holder,
    NoteKind,
)
from baobabwing.gateway.decisions.scheduling import Ask
from baobabwing.gateway.model import EngineSpec, UpstreamEntry
from baobabwing.gateway.placement.codec import crc

ENGINE = EngineSpec(slots=2, kv_tokens=100_000, tokens_per_event=3)
PLACES = 3  # two slots, and one that starts as soon as one ends
OPEN = 1.0


def queue(engines=("e1",), now=0.0):
    made = CellQueue(engine=ENGINE, rng=random.Random(3), now=now)
    made.list_upstreams(
        UpstreamEntry(instance=name, pool="p", address="a", slots=2) for name in engines
    )
    return made


def ask(now=OPEN, **values):
    usual = {"rank": 0, "arrived": now, "objective_at": now + 0.8}
    usual |= {"deadline_at": now + 3.0, "ends_at": now + 15.0, "asked_at": now}
    return Ask(**{**usual, **values})


def put(made, node, number, now=OPEN, **values):
    return made.ask(Holder(node, number), ask(now, **values), now)


def placed(made, now=OPEN):
    return [holder for holder, _ in made.grants(now)]


def test_request_goes_on_at_an_engine_that_said_it_leaves():
    made = queue()
    put(made, 1, 7)
    placed(made)
    made.note(Holder(1, 7), NoteKind.LEAVING, None, OPEN)
    assert made.held == 1
    assert made.engine_of(Holder(1, 7)).instance == "e1"
    assert made.engine_of(Holder(1, 8)) is None
    made.note(Holder(1, 7), NoteKind.DONE, None, OPEN)
    assert made.held == 0


def test_requests_of_all_nodes_are_in_one_order():
    """Three nodes ask; the place goes to the most urgent, whoever asked first."""
    made = queue()
    for number in range(PLACES):
        put(made, 1, number)
    assert len(placed(made)) == PLACES
    put(made, 1, 10, route_rank=2)
    put(made, 2, 10, route_rank=0)
    put(made, 3, 10, route_rank=1)
    made.note(Holder(1, 0), NoteKind.DONE, None, OPEN + 0.1)
    assert placed(made, OPEN + 0.1) == [Holder(2, 10)]


def test_new_home_hears_all_before_it_gives_places():
    """A home dies with its engine full, and the next in turn is asked.

    It knows nothing of what runs there. It waits for a moment, in which the nodes
    tell what they hold, and then finds no place free.
    """
    made = queue(now=OPEN)
    put(made, 1, 50)
    assert placed(made) == []
    made.report(1, [HeldPlace(number=1, upstream=crc("e1"), unread=0)], [50], OPEN)
    held = [HeldPlace(number=n, upstream=crc("e1"), unread=90) for n in (1, 2)]
    made.report(2, held, [], OPEN)
    assert placed(made, OPEN + 0.2) == []
    made.note(Holder(2, 2), NoteKind.DONE, None, OPEN + 0.3)
    assert placed(made, OPEN + 0.3) == [Holder(1, 50)]


def test_question_that_is_repeated_gets_the_same_place():
    """The answer with the place was lost, so the node asks again."""
    made = queue()
    put(made, 1, 7)
    ((_, first),) = made.grants(OPEN)
    assert put(made, 1, 7) is first
    assert made.scheduler.tracks["e1"].in_flight == 1


def test_word_of_an_end_that_was_lost_is_made_up_for():
    """A node tells that a request ended, and the datagram is lost.

    The next report does not name the request any more, and its place is free.
    """
    made = queue()
    put(made, 1, 7)
    assert placed(made) == [Holder(1, 7)]
    made.report(1, [], [], OPEN + 0.1)
    assert made.scheduler.tracks["e1"].in_flight == 1  # may still be on its way
    made.report(1, [], [], OPEN + 0.4)
    assert made.scheduler.tracks["e1"].in_flight == 0


def test_request_that_the_home_does_not_know_is_named():
    made = queue()
    put(made, 1, 1)
    taken = made.report(1, [], [1, 2], OPEN)
    assert taken.unknown == (2,)


def test_place_whose_word_was_lost_is_told_again():
    made = queue()
    put(made, 1, 1)
    ((_, grant),) = made.grants(OPEN)
    taken = made.report(1, [], [1], OPEN + 1.0)
    assert taken.granted == ((Holder(1, 1), grant),)
    assert made.scheduler.tracks["e1"].in_flight == 1


def test_report_that_is_not_whole_takes_nothing_out_of_the_queue():
    made = queue()
    for number in range(PLACES + 2):
        put(made, 1, number)
    assert len(placed(made)) == PLACES
    made.report(1, [], [PLACES], OPEN + 1.0, whole=False)
    assert made.waits(Holder(1, PLACES + 1))


def test_node_that_died_gives_its_places_back():
    """A node is killed with requests at an engine and in the queue.

    It repeats nothing any more. After a while its places go to others.
    """
    made = queue()
    for number in range(PLACES + 1):
        put(made, 1, number)
    assert len(placed(made)) == PLACES
    made.forget(OPEN + 1.0, repeat_s=0.4)
    put(made, 2, 1, now=OPEN + 2.0)
    made.forget(OPEN + 2.0, repeat_s=0.4)
    assert placed(made, OPEN + 2.0) == [Holder(2, 1)]


def test_request_past_its_deadline_leaves_the_queue():
    made = queue()
    for number in range(PLACES + 1):
        put(made, 1, number)
    placed(made)
    made.report(1, [], [PLACES], OPEN + 2.9)
    made.forget(OPEN + 3.1, repeat_s=0.4)
    assert not made.waits(Holder(1, PLACES))


@pytest.mark.parametrize("kind", [NoteKind.LOST, NoteKind.FULL])
def test_engine_that_one_node_found_wanting_is_left_alone_for_all(kind):
    """One node finds that an engine is gone, or full. The next one asks elsewhere."""
    made = queue(("e1", "e2"))
    put(made, 1, 1)
    ((holder, grant),) = made.grants(OPEN)
    made.note(holder, kind, None, OPEN)
    for number in (2, 3):
        put(made, 2, number)
    others = {one.track.entry.instance for _, one in made.grants(OPEN)}
    assert others == {"e1", "e2"} - {grant.track.entry.instance}


def test_pace_that_nodes_saw_decides_where_long_outputs_go():
    made = queue(("slow", "fast"))
    for number, (engine, pace_s) in enumerate({"slow": 0.06, "fast": 0.01}.items()):
        held = HeldPlace(number=number, upstream=crc(engine), unread=0)
        made.report(1, [held], [], OPEN)
        made.note(Holder(1, number), NoteKind.DONE, pace_s, OPEN)
    put(made, 1, 9, expected_out=2000)
    ((_, grant),) = made.grants(OPEN)
    assert grant.track.entry.instance == "fast"


def test_running_request_moves_only_where_places_are_to_spare():
    made = queue(("slow", "fast"))
    made.scheduler.tracks["slow"].pace_s = 0.06
    made.scheduler.tracks["fast"].pace_s = 0.01
    grant = made.move(Holder(1, 1), ask(), crc("slow"), OPEN)
    assert grant.track.entry.instance == "fast"
    put(made, 1, 2)
    assert made.move(Holder(1, 3), ask(), crc("slow"), OPEN) is None
