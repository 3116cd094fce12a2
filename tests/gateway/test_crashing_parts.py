"""A part of prompts crashes each engine that begins to answer one that has it."""

import asyncio
import itertools
import time

import pytest

from baobabwing.gateway.digest import part_digest
from tests.gateway.gateway_fleet import GatewayFleet, prompt
from tests.gateway.harness import eventually

# Crashes after which the part has to be held back, and what may reach engines later.
MAX_CRASHES = 5
MAX_LATER = 3
TURNS = 14
SOUND_A_TURN = 4


async def ask_prompt(fleet, node, target, number, *parts):
    """Ask with a prompt of shared parts and one of its own; the body differs too."""
    request = f"{parts[-1]}-{number}"
    return await fleet.ask(
        node,
        target,
        request,
        body=request.encode(),
        headers=prompt(*parts, f"own-{request}"),
    )


async def play(fleet, target, turns=TURNS):
    """Send bad and sound requests in turns; return the statuses of the sound ones."""
    statuses = []
    nodes = itertools.cycle(range(len(fleet.gateways)))
    for turn in range(turns):
        bad = ask_prompt(fleet, next(nodes), target, turn, "common", "bad")
        sound = [
            ask_prompt(fleet, next(nodes), target, (turn, n), "common", f"topic-{n}")
            for n in range(SOUND_A_TURN)
        ]
        _, *answers = await asyncio.gather(bad, *sound)
        statuses += [answer.status for answer in answers]
        await eventually(lambda: fleet.all_running, "upstreams are back")
    return statuses


@pytest.mark.parametrize("nodes", [1, 3])
@pytest.mark.parametrize("target", ["/stream/p", "/resumable/p"])
def test_part_that_crashes_engines_is_held_back_after_few_crashes(run, target, nodes):
    """No two requests were alike, so each one ended another engine."""

    async def scenario():
        async with GatewayFleet(nodes=nodes, engines=6) as fleet:
            fleet.deadly_parts.add("bad")
            await play(fleet, target)
            assert len(fleet.crashed) <= MAX_CRASHES

    run(scenario())


def test_sound_requests_that_share_a_part_or_the_caller_are_served(run):
    """The common first part is in each request under which an engine crashed."""

    async def scenario():
        async with GatewayFleet(engines=6) as fleet:
            fleet.deadly_parts.add("bad")
            statuses = await play(fleet, "/resumable/p")
            assert statuses.count(200) >= len(statuses) - MAX_CRASHES
            assert len(fleet.crashed) <= MAX_CRASHES

    run(scenario())


def test_crashes_for_other_reasons_hold_no_part_back(run):
    """Each engine that ends by itself runs requests with the common first part."""

    async def scenario():
        async with GatewayFleet(engines=6) as fleet:
            for turn in range(9):
                asked = [
                    ask_prompt(fleet, n % 3, "/resumable/p", (turn, n), "common", "t")
                    for n in range(6)
                ]
                answers = asyncio.gather(*asked)
                await asyncio.sleep(0)
                fleet.crash("engines")
                await answers
                await eventually(lambda: fleet.all_running, "upstreams are back")
            for node in range(3):
                last = await ask_prompt(fleet, node, "/stream/p", node, "common", "t")
                assert last.status == 200

    run(scenario())


def test_rush_of_requests_with_a_bad_part_reaches_few_engines(run):
    """They come at all nodes at the same time, without waiting for each other."""

    async def scenario():
        async with GatewayFleet(engines=6) as fleet:
            fleet.deadly_parts.add("bad")
            stop_at = time.monotonic() + 6.0
            crashes_at_window = []

            async def keep_asking(caller):
                for turn in itertools.count():
                    if time.monotonic() > stop_at:
                        return
                    await ask_prompt(
                        fleet, caller % 3, "/stream/p", (caller, turn), "common", "bad"
                    )
                    await asyncio.sleep(0.2)

            async def mark_window():
                await eventually(
                    lambda: (
                        len(fleet.crashed) >= MAX_CRASHES
                        or (time.monotonic() > stop_at)
                    ),
                    "five crashes, or the end",
                )
                await asyncio.sleep(2.0)
                crashes_at_window.append(len(fleet.crashed))

            await asyncio.gather(mark_window(), *(keep_asking(n) for n in range(4)))
            assert len(fleet.crashed) - crashes_at_window[0] <= MAX_LATER

    run(scenario())


def hold_bad_part(fleet):
    """Wait until each node holds the bad part back."""
    return eventually(
        lambda: all(gateway.state.parts.held() for gateway in fleet.gateways),
        "all nodes hold the part",
    )


def test_refusal_of_a_held_part_says_that_the_request_was_not_run(run):
    async def scenario():
        async with GatewayFleet(engines=6) as fleet:
            fleet.deadly_parts.add("bad")
            await play(fleet, "/stream/p", turns=5)
            await hold_bad_part(fleet)
            ended = len(fleet.crashed)
            for node in range(3):
                number = f"held-{node}"
                answer = await ask_prompt(
                    fleet, node, "/stream/p", number, "common", "bad"
                )
                assert (answer.status, answer.whole) == (503, True)
                assert float(answer.headers[b"retry-after"]) >= 1.0
                assert fleet.runs(f"bad-{number}") == 0
                sound = await ask_prompt(
                    fleet, node, "/stream/p", number, "common", "t"
                )
                assert sound.status == 200
            assert len(fleet.crashed) == ended

    run(scenario())


def test_part_is_served_again_once_an_engine_survives_its_trial(run):
    """Engines were mended; one request of all nodes is tried, and frees the others."""

    async def scenario():
        async with GatewayFleet(engines=6) as fleet:
            fleet.deadly_parts.add("bad")
            await play(fleet, "/stream/p", turns=5)
            await hold_bad_part(fleet)
            fleet.deadly_parts.clear()
            make_trial_due(fleet)
            answers = [
                await ask_prompt(fleet, n % 3, "/stream/p", f"t{n}", "common", "bad")
                for n in range(6)
            ]
            assert 200 in [answer.status for answer in answers]
            await eventually(
                lambda: not any(g.state.parts.held() for g in fleet.gateways),
                "the part is released",
            )

    run(scenario())


def test_one_request_of_all_nodes_is_tried_at_a_time(run):
    async def scenario():
        async with GatewayFleet(engines=6) as fleet:
            fleet.deadly_parts.add("bad")
            await play(fleet, "/stream/p", turns=5)
            await hold_bad_part(fleet)
            ended = len(fleet.crashed)
            make_trial_due(fleet)
            await asyncio.gather(
                *(
                    ask_prompt(fleet, n % 3, "/stream/p", f"t{n}", "common", "bad")
                    for n in range(9)
                )
            )
            assert len(fleet.crashed) == ended + 1
            times = [max(times_held(gateway)) for gateway in fleet.gateways]
            await eventually(
                lambda: all(max(times_held(g)) == 2 for g in fleet.gateways),
                f"all nodes hold it again, not {times}",
            )

    run(scenario())


def test_request_is_served_whose_part_is_released_while_it_asks_for_a_trial(
    run, monkeypatch
):
    """It was answered with an internal error."""

    async def scenario():
        async with GatewayFleet(nodes=1) as fleet:
            (gateway,) = fleet.gateways
            part = part_digest("bad")
            gateway.state.parts.hold(part, time.monotonic())

            async def release(asked):
                gateway.state.parts.release(asked, time.monotonic())
                return False

            forwarder = gateway.callers._forwarder
            monkeypatch.setattr(forwarder._admission, "_may_try", release)
            answer = await ask_prompt(fleet, 0, "/stream/p", "r", "common", "bad")
            assert answer.status == 200

    run(scenario())


def make_trial_due(fleet):
    """End the hold of each part at all nodes."""
    for gateway in fleet.gateways:
        for hold in gateway.state.parts._holds.values():
            hold.until = time.monotonic()


def times_held(gateway):
    parts = gateway.state.parts
    return [parts.report(part, time.monotonic()).times for part in parts.held()]
