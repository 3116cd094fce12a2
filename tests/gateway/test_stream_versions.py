"""A stream goes on only at the software version that began it."""

import asyncio
import re
import time

import pytest

from baobabwing.gateway.decisions.rollouts import RolloutPhase
from baobabwing.gateway.model import RolloutOrder
from baobabwing.gateway.settings import RetrySettings
from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.gateway_fleet import GatewayFleet
from tests.gateway.harness import NAMES, eventually
from tests.gateway.path_cuts import PathCuts

EVENTS = 9
CUT_AFTER = 3
STREAMS = 12
# Enough for a retry of each stream at any node.
REPEATS = RetrySettings(slack=100.0 * STREAMS)
WHOLE = Behaviour(events=EVENTS)
CUT = Behaviour(events=EVENTS, cut_after=CUT_AFTER)
# The caller hears more events than were sent before an upstream's end is noticed.
SLOW = Behaviour(events=EVENTS, gap_s=0.1)
MIXED = {f"engines-{n}": "v1" if n <= 2 else "v2" for n in range(1, 5)}

WAYS = {}


def way(scenario):
    """Register a way in which streams go on."""
    WAYS[scenario.__name__] = scenario
    return scenario


def begins(seen):
    return NAMES.last_event not in seen.headers


def numbers(body):
    return [int(number) for number in re.findall(rb"id: (\d+)", body)]


async def ask(fleet, node, request_id, *, after=0, first=""):
    """Send a request for a stream, or for the rest of the one that another began."""
    headers = [(NAMES.last_event, b"%d" % after)] if after else []
    if first:
        headers.append((NAMES.resumes, first.encode()))
    return await fleet.ask(
        node,
        "/resumable/x",
        request_id,
        headers=headers,
        body=request_id.partition("+")[0].encode(),
    )


async def take_up(fleet, node, first, body, mark="+"):
    """Take up a stream after its last event, as its caller; return all of it."""
    after = numbers(body)[-1]
    answer = await ask(fleet, node, first + mark, after=after, first=first)
    return answer, body + answer.body


def ids(first, tries):
    return [first + "+" * number for number in range(tries)]


def assert_all_of(body):
    assert numbers(body) == list(range(1, EVENTS + 1))


@way
async def retry_in_one_answer(fleet):
    fleet.by_request = lambda seen: CUT if begins(seen) else WHOLE
    for number in range(STREAMS):
        answer = await ask(fleet, 0, f"s{number}")
        assert_all_of(answer.body)
        assert fleet.runs(f"s{number}") == 2
        assert len(fleet.versions_of(f"s{number}")) == 1


@way
async def retry_while_the_other_versions_slots_are_free(fleet):
    """All streams come at once: those of one version wait for its slots."""
    fleet.by_request = lambda seen: CUT if begins(seen) else WHOLE
    names = [f"s{number}" for number in range(2 * STREAMS)]
    answers = await asyncio.gather(*(ask(fleet, 0, name) for name in names))
    for name, answer in zip(names, answers, strict=True):
        assert_all_of(answer.body)
        assert len(fleet.versions_of(name)) == 1


@way
async def taken_up_at_another_node(fleet):
    fleet.usual["engines"] = CUT
    for number in range(STREAMS):
        first = f"s{number}"
        begun = await ask(fleet, 0, first)
        assert not begun.whole
        fleet.usual["engines"] = WHOLE
        answer, body = await take_up(fleet, 1 + number % 2, first, begun.body)
        fleet.usual["engines"] = CUT
        assert answer.whole
        assert_all_of(body)
        assert len(fleet.versions_of(*ids(first, 2))) == 1


@way
async def taken_up_twice(fleet):
    for number in range(STREAMS):
        first = f"s{number}"
        fleet.usual["engines"] = CUT
        body = (await ask(fleet, number % 3, first)).body
        fleet.usual["engines"] = Behaviour(events=EVENTS, cut_after=2 * CUT_AFTER)
        _, body = await take_up(fleet, (number + 1) % 3, first, body)
        fleet.usual["engines"] = WHOLE
        answer, body = await take_up(fleet, (number + 2) % 3, first, body, mark="++")
        assert answer.whole
        assert_all_of(body)
        assert len(fleet.versions_of(*ids(first, 3))) == 1


@way
async def taken_up_after_its_node_was_killed(fleet):
    fleet.usual["engines"] = SLOW
    names = [f"s{number}" for number in range(STREAMS)]
    asking = [asyncio.ensure_future(ask(fleet, 0, name)) for name in names]
    await eventually(lambda: all(map(fleet.runs, names)), "all streams run")
    await asyncio.sleep(0.3)
    fleet.kill(0)
    begun = await asyncio.gather(*asking)
    fleet.usual["engines"] = WHOLE
    for number, (first, part) in enumerate(zip(names, begun, strict=True)):
        answer, body = await take_up(fleet, 1 + number % 2, first, part.body)
        assert answer.whole
        assert_all_of(body)
        assert len(fleet.versions_of(*ids(first, 2))) == 1


@way
async def taken_up_after_another_version_came(fleet):
    """The second version is listed while the streams of the first one run."""
    fleet.software = {name: "v1" for name in MIXED if MIXED[name] == "v1"}
    late = {
        name: fleet.upstreams.pop(name) for name in MIXED if name not in fleet.software
    }
    fleet.list_all()
    fleet.usual["engines"] = SLOW
    names = [f"s{number}" for number in range(6)]
    asking = [asyncio.ensure_future(ask(fleet, 0, name)) for name in names]
    await eventually(lambda: all(map(fleet.runs, names)), "all streams run")
    await asyncio.sleep(0.3)
    fleet.upstreams |= late
    fleet.software = MIXED
    fleet.list_all()
    await asyncio.sleep(0.2)
    fleet.kill(0)
    begun = await asyncio.gather(*asking)
    fleet.usual["engines"] = WHOLE
    for number, (first, part) in enumerate(zip(names, begun, strict=True)):
        answer, body = await take_up(fleet, 1 + number % 2, first, part.body)
        assert answer.whole
        assert_all_of(body)
        assert len(fleet.versions_of(*ids(first, 2))) == 1


@way
async def replaced_at_a_silent_upstream(fleet):
    fleet.by_request = lambda seen: (
        Behaviour(events=EVENTS, stall_after=CUT_AFTER, stall_s=20.0)
        if begins(seen)
        else WHOLE
    )
    names = [f"s{number}" for number in range(4)]
    answers = await asyncio.gather(*(ask(fleet, 0, name) for name in names))
    for name, answer in zip(names, answers, strict=True):
        assert_all_of(answer.body)
        assert fleet.runs(name) == 2
        assert len(fleet.versions_of(name)) == 1


@way
async def through_other_nodes(fleet):
    """The node that goes on with the streams reaches upstreams through relays only."""
    cuts = PathCuts(lambda: fleet.upstreams)
    cuts.install()
    cuts.cut("node-1", "refuse")
    for number in range(STREAMS):
        first = f"s{number}"
        fleet.usual["engines"] = CUT
        begun = await ask(fleet, number % 2, first)
        fleet.usual["engines"] = WHOLE
        answer, body = await take_up(fleet, 1, first, begun.body)
        assert answer.whole
        assert_all_of(body)
        assert len(fleet.versions_of(*ids(first, 2))) == 1


@way
async def while_a_version_is_rolled_out(fleet):
    """Streams of the old version go on there until it is stopped."""
    order = RolloutOrder(pool="engines", number=1, version="v2", duration_s=60.0)
    begun = {}
    fleet.usual["engines"] = CUT
    for number in range(STREAMS):
        begun[f"s{number}"] = await ask(fleet, number % 3, f"s{number}")
    for gateway in fleet.gateways:
        gateway.state.take_rollout_orders([order])
        gateway.state.rollouts.advance(
            "engines", RolloutPhase.PROMOTED, time.monotonic(), reason="test"
        )
    fleet.usual["engines"] = WHOLE
    for number, (first, part) in enumerate(begun.items()):
        answer, body = await take_up(fleet, (number + 1) % 3, first, part.body)
        assert answer.whole
        assert_all_of(body)
        assert len(fleet.versions_of(*ids(first, 2))) == 1
    fresh = [f"f{number}" for number in range(STREAMS)]
    for first in fresh:
        await ask(fleet, 0, first)
    assert fleet.versions_of(*fresh) == {"v2"}


@pytest.mark.parametrize("name", WAYS)
def test_streams_hold_events_of_one_version(run, name):
    async def scenario():
        async with GatewayFleet(nodes=3, repeats=REPEATS) as fleet:
            fleet.software = MIXED
            fleet.list_all()
            await WAYS[name](fleet)

    run(scenario())


def in_mixed_fleet(run, scenario, **options):
    async def begin():
        async with GatewayFleet(nodes=3, repeats=REPEATS, **options) as fleet:
            fleet.software = MIXED
            fleet.list_all()
            await scenario(fleet)

    run(begin())


def assert_not_run(fleet, answer, request_id):
    assert answer.status == 503
    assert float(answer.headers[b"retry-after"]) > 0
    assert fleet.runs(request_id) == 0


def test_stream_whose_version_is_gone_is_refused_unrun(run):
    async def scenario(fleet):
        fleet.usual["engines"] = CUT
        begun = await ask(fleet, 0, "s1")
        (version,) = fleet.versions_of("s1")
        fleet.software = {
            name: "v3" if other == version else other for name, other in MIXED.items()
        }
        fleet.list_all()
        answer, _ = await take_up(fleet, 1, "s1", begun.body)
        assert_not_run(fleet, answer, "s1+")

    in_mixed_fleet(run, scenario)


def test_stream_is_broken_off_if_its_version_is_gone_while_it_runs(run):
    async def scenario(fleet):
        fleet.usual["engines"] = Behaviour(events=EVENTS, gap_s=0.1)
        asking = asyncio.ensure_future(ask(fleet, 0, "s1"))
        await eventually(lambda: fleet.runs("s1"), "the run")
        await asyncio.sleep(0.2)
        (version,) = fleet.versions_of("s1")
        for name in [name for name in MIXED if MIXED[name] == version]:
            fleet.upstreams.pop(name)[0].stop()
        fleet.list_all()
        answer = await asking
        assert not answer.whole
        assert numbers(answer.body) == list(range(1, len(numbers(answer.body)) + 1))
        assert fleet.runs("s1") == 0

    in_mixed_fleet(run, scenario)


@pytest.mark.parametrize("first", ["", "nobody-knows-it"])
def test_stream_that_nobody_knows_is_refused_beside_several_versions(run, first):
    async def scenario(fleet):
        answer = await ask(fleet, 0, "s1", after=3, first=first)
        assert_not_run(fleet, answer, "s1")

    in_mixed_fleet(run, scenario)


@pytest.mark.parametrize("first", ["", "nobody-knows-it"])
def test_stream_that_nobody_knows_goes_on_at_the_only_version(run, first):
    async def scenario():
        async with GatewayFleet(nodes=3, repeats=REPEATS) as fleet:
            fleet.usual["engines"] = WHOLE
            for node in range(3):
                answer = await ask(fleet, node, f"s{node}", after=3, first=first)
                assert numbers(answer.body) == list(range(4, EVENTS + 1))

    run(scenario())


def test_new_stream_does_not_change_what_is_known_of_the_one_it_names(run):
    async def scenario(fleet):
        fleet.usual["engines"] = CUT
        begun = await ask(fleet, 0, "s1")
        fleet.usual["engines"] = SLOW
        names = [f"n{number}" for number in range(STREAMS)]
        await asyncio.gather(*(ask(fleet, 0, name, first="s1") for name in names))
        assert fleet.versions_of(*names) == {"v1", "v2"}
        fleet.usual["engines"] = WHOLE
        for node in range(3):
            mark = "+" * (node + 1)
            answer, _ = await take_up(fleet, node, "s1", begun.body, mark=mark)
            assert answer.whole
        assert len(fleet.versions_of(*ids("s1", 4))) == 1

    in_mixed_fleet(run, scenario)


def test_new_streams_begin_at_all_versions(run):
    async def scenario(fleet):
        names = [f"s{number}" for number in range(STREAMS)]
        fleet.usual["engines"] = SLOW
        answers = await asyncio.gather(*(ask(fleet, 0, name) for name in names))
        assert all(answer.whole for answer in answers)
        assert fleet.versions_of(*names) == {"v1", "v2"}

    in_mixed_fleet(run, scenario)


def test_stream_goes_on_at_the_only_upstream_of_its_version(run):
    """It waited for another one until its deadline."""

    async def scenario(fleet):
        fleet.software = dict.fromkeys(MIXED, "v2") | {"engines-1": "v1"}
        fleet.list_all()
        fleet.by_request = lambda seen: CUT if begins(seen) else WHOLE
        names = [f"s{number}" for number in range(STREAMS)]
        answers = await asyncio.gather(*(ask(fleet, 0, name) for name in names))
        for name, answer in zip(names, answers, strict=True):
            assert_all_of(answer.body)
            assert len(fleet.versions_of(name)) == 1
        assert fleet.at("engines-1")

    in_mixed_fleet(run, scenario)


def test_stream_ends_soon_if_the_only_upstream_of_its_version_has_ended(run):
    async def scenario(fleet):
        fleet.software = dict.fromkeys(MIXED, "v2") | {"engines-1": "v1"}
        fleet.list_all()
        fleet.by_name["engines-1"] = Behaviour(
            events=EVENTS, gap_s=0.2, cut_after=CUT_AFTER
        )
        names = [f"s{number}" for number in range(STREAMS)]
        asking = [asyncio.ensure_future(ask(fleet, 0, name)) for name in names]
        await eventually(lambda: all(map(fleet.runs, names)), "all streams run")
        begun = [name for name in names if fleet.versions_of(name) == {"v1"}]
        fleet.upstreams["engines-1"][0]._listener.close()
        ended_at = time.monotonic()
        answers = dict(zip(names, await asyncio.gather(*asking), strict=True))
        assert begun
        assert not any(answers[name].whole for name in begun)
        assert time.monotonic() - ended_at < 3.0

    in_mixed_fleet(run, scenario)
