"""Each request once, whole and truthfully, whatever the upstream does."""

import time

import pytest

from baobabwing.gateway.model import UpstreamEntry
from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.bed import NAMES, Bed, ask, eventually, read, send

HOST = (b"Host", b"service")


def events(request_id, first, last):
    return b"".join(
        b"id: %d\ndata: piece %d of %s\n\n" % (n, n, request_id.encode())
        for n in range(first, last + 1)
    )


def test_answer_is_the_upstreams_own(run):
    async def story():
        async with Bed() as bed:
            conn = await bed.caller()
            answer = await ask(conn, "/unsafe/x?q=1", "a1", body=b"body")
            assert (answer.status, answer.whole) == (200, True)
            assert answer.body == b"answer to a1"
            assert NAMES.signature in answer.headers
            (seen,) = bed.seen("a1")
            assert (seen.method, seen.target, seen.body) == (
                "POST",
                "/unsafe/x?q=1",
                b"body",
            )

    run(story())


def test_one_connection_carries_many_requests(run):
    async def story():
        async with Bed() as bed:
            conn = await bed.caller()
            for number in range(20):
                answer = await ask(conn, "/safe/x", f"r{number}", method="GET")
                assert answer.body == b"answer to r%d" % number
            assert all(bed.runs(f"r{number}") == 1 for number in range(20))

    run(story())


def test_headers_of_one_connection_and_reserved_ones_are_not_passed_on(run):
    async def story():
        async with Bed() as bed:
            conn = await bed.caller()
            headers = [
                (b"Connection", b"keep-alive, X-Private"),
                (b"X-Private", b"1"),
                (b"X-Hold", b"mine"),
                (b"X-Kept", b"yes"),
                (NAMES.organisation, b"forged"),
                (NAMES.expected_instance, b"forged"),
            ]
            await ask(conn, "/safe/x", "h1", headers=headers)
            (seen,) = bed.seen("h1")
            assert b"x-private" not in seen.headers
            assert b"x-hold" not in seen.headers
            assert NAMES.organisation not in seen.headers
            assert seen.headers[NAMES.expected_instance] != b"forged"
            assert seen.headers[b"x-kept"] == b"yes"

    run(story())


def test_deadline_handed_on_is_what_is_left(run):
    async def story():
        async with Bed() as bed:
            conn = await bed.caller()
            await ask(conn, "/safe/x", "d1", headers=[(NAMES.deadline, b"900")])
            (seen,) = bed.seen("d1")
            assert 0 < int(seen.headers[NAMES.deadline]) <= 900

    run(story())


@pytest.mark.parametrize("how", [{"cut_after": 0}, {"cut_after": 0, "reset": True}])
def test_unsafe_request_whose_answer_is_lost_runs_once(run, how):
    """A booking is confirmed, and its answer breaks off on the way back.

    The upstream has run it; a second try would book twice, and "not run" would
    make the caller book again. The caller gets 502, which promises nothing.
    """

    async def story():
        async with Bed() as bed:
            bed.behaviour["services"] = Behaviour(**how)
            conn = await bed.caller()
            answer = await ask(conn, "/unsafe/x", "u1")
            assert answer.status == 502
            assert b"retry-after" not in answer.headers
            assert bed.runs("u1") == 1

    run(story())


def test_safe_request_whose_answer_is_lost_is_tried_elsewhere(run):
    """A lookup runs on a service that breaks off its answers.

    The caller must not see that: the route allows a second upstream, and the
    second one's answer comes back whole.
    """

    async def story():
        async with Bed() as bed:
            bed.behaviour["services-1"] = Behaviour(cut_after=0)
            conn = await bed.caller()
            for number in range(6):
                answer = await ask(conn, "/safe/x", f"s{number}", method="GET")
                assert answer.body == b"answer to s%d" % number
                assert bed.runs(f"s{number}") <= 2

    run(story())


def test_answer_of_another_request_reaches_nobody(run):
    """A service answers with the id of another request.

    Its bytes belong to another caller. They are dropped with the connection.
    """

    async def story():
        async with Bed() as bed:
            bed.behaviour["services"] = Behaviour(wrong_id=True)
            conn = await bed.caller()
            answer = await ask(conn, "/unsafe/x", "w1")
            assert answer.status == 502
            assert NAMES.signature not in answer.headers

    run(story())


def test_second_answer_on_a_connection_reaches_nobody(run):
    """A service sends one answer more than it was asked for.

    The next request on that connection would be answered by it. The connection
    is closed instead, and the next request gets its own answer.
    """

    async def story():
        async with Bed() as bed:
            bed.behaviour["services"] = Behaviour(extra=True)
            conn = await bed.caller()
            for number in range(12):
                answer = await ask(conn, "/safe/x", f"e{number}", method="GET")
                assert answer.body == b"answer to e%d" % number

    run(story())


def test_answer_without_a_length_is_whole_only_at_its_true_end(run):
    """A service marks the end of an answer by the end of the connection.

    An orderly end is a whole answer; a reset within it is none.
    """

    async def story():
        async with Bed() as bed:
            bed.behaviour["services"] = Behaviour(unframed=True)
            conn = await bed.caller()
            answer = await ask(conn, "/unsafe/x", "f1")
            assert (answer.status, answer.body) == (200, b"answer to f1")
            bed.behaviour["services"] = Behaviour(
                unframed=True, cut_after=0, reset=True
            )
            answer = await ask(conn, "/unsafe/x", "f2")
            assert answer.status == 502

    run(story())


def test_resumable_stream_goes_on_elsewhere_without_a_gap(run):
    """An engine breaks off in the middle of an event.

    The caller has three whole events. The stream goes on at another engine after
    the third; nothing is missing, doubled or left of the broken event.
    """

    async def story():
        async with Bed() as bed:
            bed.behaviour["engines-1"] = Behaviour(events=8, cut_after=3)
            bed.behaviour["engines-2"] = Behaviour(events=8, cut_after=5)
            conn = await bed.caller()
            for number in range(4):
                name = f"t{number}"
                bed.behaviour.pop("engines-2", None)
                bed.behaviour["engines"] = Behaviour(events=8)
                answer = await ask(conn, "/resumable/x", name)
                assert answer.whole
                assert answer.body == events(name, 1, 8)

    run(story())


def test_stream_that_may_not_be_resumed_ends_broken(run):
    """An engine breaks off a stream that may run once only.

    The caller must not take it for whole: the connection breaks off too.
    """

    async def story():
        async with Bed() as bed:
            bed.behaviour["engines"] = Behaviour(events=8, cut_after=3)
            conn = await bed.caller()
            answer = await ask(conn, "/stream/x", "b1")
            assert not answer.whole
            assert answer.body == events("b1", 1, 3)
            assert bed.runs("b1") == 1

    run(story())


def test_caller_resumes_after_the_event_it_names(run):
    async def story():
        async with Bed() as bed:
            bed.behaviour["engines"] = Behaviour(events=6)
            conn = await bed.caller()
            answer = await ask(
                conn, "/resumable/x", "l1", headers=[(b"Last-Event-Id", b"4")]
            )
            assert answer.body == events("l1", 5, 6)

    run(story())


def test_refusal_before_running_is_tried_elsewhere(run):
    """A service that is full says that it has not run a booking.

    That is a proof: the booking may go to another service, and runs once.
    """

    async def story():
        async with Bed() as bed:
            bed.behaviour["services-1"] = Behaviour(refuse=True)
            conn = await bed.caller()
            for number in range(4):
                answer = await ask(conn, "/unsafe/x", f"n{number}")
                assert answer.status == 200
                assert bed.runs(f"n{number}") == 1

    run(story())


def test_not_run_is_said_only_of_what_did_not_run(run):
    """All services refuse.

    The caller is told 503 with a time to come back, and nothing has run.
    """

    async def story():
        async with Bed() as bed:
            bed.behaviour["services"] = Behaviour(refuse=True)
            conn = await bed.caller()
            answer = await ask(conn, "/unsafe/x", "z1")
            assert answer.status == 503
            assert float(answer.headers[b"retry-after"]) > 0
            assert bed.runs("z1") == 0

    run(story())


def test_address_that_another_incarnation_has_taken(run):
    """An upstream is replaced at its address before the list says so.

    The new one answers that it is not the one that was meant. The request goes
    on elsewhere, and the address gets nothing more for a while.
    """

    async def story():
        async with Bed() as bed:
            bed.upstreams["services-1"][0].instance = "somebody-else"
            conn = await bed.caller()
            for number in range(6):
                answer = await ask(conn, "/unsafe/x", f"m{number}")
                assert answer.status == 200
                assert bed.runs(f"m{number}") == 1

    run(story())


def test_work_ends_when_the_caller_leaves(run):
    """A caller closes its connection while an engine works on its stream.

    Nobody reads the answer any more; the engine must be free for others at once.
    """

    async def story():
        async with Bed() as bed:
            bed.behaviour["engines"] = Behaviour(events=500, gap_s=0.05)
            conn = await bed.caller()
            await send(conn, "/stream/x", "g1")
            await eventually(lambda: bed.runs("g1") == 1, "run")
            conn.abort()
            await eventually(
                lambda: all(one.working == 0 for one, _ in bed.upstreams.values()),
                "end of the work",
            )

    run(story())


def test_queued_request_of_a_caller_that_left_is_never_sent(run):
    """All places are taken, and a caller leaves while it waits for one.

    When a place becomes free, its request must not reach an engine.
    """

    async def story():
        async with Bed() as bed:
            bed.behaviour["engines"] = Behaviour(events=400, gap_s=0.05)
            pool = bed.gateway.state.pool("engines")
            tracks = pool.scheduler.tracks.values()
            busy = [await bed.caller() for _ in range(10)]
            for number, conn in enumerate(busy):
                await send(conn, "/stream/x", f"busy{number}")
            pool = bed.gateway.state.pool("engines")
            await eventually(
                lambda: sum(len(t.own) for t in pool.scheduler.tracks.values()) == 10
            )
            waiting = await bed.caller()
            await send(waiting, "/stream/x", "q1")
            await eventually(lambda: pool.queued == 1, "queue")
            waiting.abort()
            await eventually(lambda: pool.queued == 0, "empty queue")
            for conn in busy:
                conn.abort()
            await eventually(lambda: not any(one.own for one in tracks))
            assert bed.seen("q1") == []

    run(story())


def test_request_is_answered_at_its_routes_timeout(run):
    """A service takes a booking and goes mute.

    The caller gets its final answer when the route's time is over: 504, which
    does not claim that the booking did not run.
    """

    async def story():
        async with Bed() as bed:
            bed.behaviour["services"] = Behaviour(mute=True)
            conn = await bed.caller()
            answer = await ask(
                conn, "/unsafe/x", "o1", headers=[(NAMES.deadline, b"300")]
            )
            assert answer.status == 504
            await eventually(
                lambda: all(one.working == 0 for one, _ in bed.upstreams.values())
            )

    run(story())


def test_mute_engine_is_left_for_another(run):
    """An engine takes a stream and sends nothing more.

    The stream goes on at another engine before the caller gives up.
    """

    async def story():
        async with Bed() as bed:
            bed.behaviour["engines-1"] = Behaviour(mute=True)
            bed.behaviour["engines-2"] = Behaviour(events=4)
            answers = []
            for number in range(3):
                conn = await bed.caller()
                answers.append(await ask(conn, "/resumable/x", f"y{number}"))
            assert [one.body for one in answers] == [
                events(f"y{number}", 1, 4) for number in range(3)
            ]

    run(story())


def test_no_configuration_is_answered_as_not_run(run):
    async def story():
        async with Bed() as bed:
            bed.gateway.state.table = None
            conn = await bed.caller()
            answer = await ask(conn, "/safe/x", "c1")
            assert answer.status == 503

    run(story())


def test_unknown_route(run):
    async def story():
        async with Bed() as bed:
            conn = await bed.caller()
            assert (await ask(conn, "/nowhere/x", "c2")).status == 404

    run(story())


def test_pipelined_requests_are_answered_in_order(run):
    async def story():
        async with Bed() as bed:
            conn = await bed.caller()
            raw = b"".join(
                b"GET /safe/x HTTP/1.1\r\nHost: api.example\r\n%s: p%d\r\n\r\n"
                % (NAMES.request_id, number)
                for number in range(3)
            )
            await conn.write(raw)
            await eventually(lambda: bed.runs("p2") == 1, "third request")
            assert [bed.runs(f"p{number}") for number in range(3)] == [1, 1, 1]

    run(story())


def test_caller_with_less_time_than_others_has_asked_before(run):
    """A caller is refused and comes back with the rest of its time.

    Its objective runs from its first try. A second refusal would be its last, so it
    waits for a place as long as one is of use.
    """

    async def story():
        async with Bed() as bed:
            asks = []
            pool = bed.gateway.state.pool("engines")
            place = pool.place

            def seen(ask, nodes):
                asks.append(ask)
                return place(ask, nodes)

            pool.place = seen
            conn = await bed.caller()
            for number, deadline in enumerate((b"5000", b"5000", b"3800")):
                headers = [(NAMES.deadline, deadline)]
                await ask(conn, "/stream/x", f"b{number}", headers=headers)
            assert [one.committed for one in asks] == [False, False, True]
            first, _, again = asks
            objective_s = first.objective_at - first.arrived
            assert again.objective_at - again.arrived == pytest.approx(
                objective_s - 1.2
            )

    run(story())


def restart(bed, name):
    """List an upstream as one that has started again under its name."""
    entries = []
    for one, (upstream, pool) in bed.upstreams.items():
        started_ms = 2000 if one == name else 1000
        entries.append(
            UpstreamEntry(
                instance=f"{one}@{started_ms}",
                name=one,
                pool=pool,
                address=upstream.address,
                slots=4,
                started_ms=started_ms,
            )
        )
    bed.gateway.state.take_upstreams(entries, source="test")


def test_stream_goes_on_when_its_engine_started_again(run):
    """An engine falls silent in a stream and starts again under its name.

    No reset comes from a host that lost power. Its new entry shows that the earlier
    start is over; the caller gets the rest elsewhere at once, not after a timeout.
    """

    async def story():
        async with Bed() as bed:
            restart(bed, "")
            bed.behaviour["engines"] = Behaviour(events=5, gap_s=30.0)
            conn = await bed.caller()
            await send(conn, "/resumable/x", "s1")
            await eventually(lambda: bed.runs("s1") == 1)
            (seen,) = bed.seen("s1")
            (held,) = [
                name
                for name, (one, _) in bed.upstreams.items()
                if any(each.request_id == "s1" for each in one.seen)
            ]
            assert seen.headers[NAMES.expected_instance] == held.encode()
            bed.behaviour["engines"] = Behaviour(events=5)
            restart(bed, held)
            answer = await read(conn)
            assert (answer.status, answer.whole) == (200, True)
            assert answer.body == events("s1", 1, 5)

    run(story())


def test_unsafe_request_does_not_run_again_when_its_upstream_started_again(run):
    """A service goes down with a call that may run once, and starts again.

    Whether it ran can't be known; the caller is told at once, and truly.
    """

    async def story():
        async with Bed() as bed:
            restart(bed, "")
            bed.behaviour["services"] = Behaviour(mute=True)
            conn = await bed.caller()
            await send(conn, "/unsafe/x", "u1")
            await eventually(lambda: bed.seen("u1"))
            (held,) = [
                name
                for name, (one, _) in bed.upstreams.items()
                if any(each.request_id == "u1" for each in one.seen)
            ]
            restart(bed, held)
            answer = await read(conn)
            assert answer.status == 502
            assert len(bed.seen("u1")) == 1

    run(story())


def test_upstream_that_started_again_is_not_held_for_its_past(run):
    """What was learned of the earlier start says nothing of the later one."""

    async def story():
        async with Bed() as bed:
            restart(bed, "")
            pool = bed.gateway.state.pool("services")
            before = pool.scheduler.tracks["services-1@1000"]
            before.failed(time.monotonic(), hard=True)
            before.paced(9.0)
            restart(bed, "services-1")
            track = pool.scheduler.tracks["services-1@2000"]
            assert "services-1@1000" not in pool.scheduler.tracks
            assert track.usable(time.monotonic())
            assert track.pace_s is None

    run(story())
