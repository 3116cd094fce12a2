"""Upstreams that state how many requests a second they take from all nodes."""

import pytest

from tests.gateway.harness import GatewayHarness, ask


def limits(harness, pool="services"):
    """Return the limits that the gateway knows, by upstream."""
    runtime = harness.gateway.state.pool(pool)
    found = {
        name: runtime.rate_limits.get(track.crc)
        for name, track in runtime.scheduler.tracks.items()
    }
    return {name: limit.per_s for name, limit in found.items() if limit is not None}


def state_limit(harness, value, pool="services"):
    for upstream, other in harness.upstreams.values():
        if other == pool:
            upstream.rate_limit = value


async def ask_one(harness, request_id, target="/safe/x"):
    answer = await ask(await harness.caller(), target, request_id)
    assert answer.status == 200
    return answer


@pytest.mark.parametrize(
    ("pool", "target"), [("services", "/safe/x"), ("engines", "/stream/x")]
)
def test_limit_is_learned_from_answers_and_passed_on(run, pool, target):
    async def scenario():
        async with GatewayHarness() as harness:
            state_limit(harness, b"50.5", pool)
            answer = await ask_one(harness, "a", target)
            assert list(limits(harness, pool).values()) == [50.5]
            assert answer.headers[b"x-rate-limit"] == b"50.5"

    run(scenario())


def test_limit_ends_with_an_answer_that_does_not_state_it(run):
    async def scenario():
        async with GatewayHarness() as harness:
            harness.list_all(without=("services-2",))
            state_limit(harness, b"50")
            await ask_one(harness, "a")
            assert limits(harness) == {"services-1": 50.0}
            state_limit(harness, None)
            await ask_one(harness, "b")
            assert limits(harness) == {}

    run(scenario())


@pytest.mark.parametrize(
    "value", [b"", b"-1", b"nan", b"inf", b"many", b"1" * 400, b"1,2"]
)
def test_value_that_is_no_limit_changes_nothing(run, value):
    async def scenario():
        async with GatewayHarness() as harness:
            harness.list_all(without=("services-2",))
            state_limit(harness, b"50")
            await ask_one(harness, "a")
            state_limit(harness, value)
            await ask_one(harness, "b")
            assert limits(harness) == {"services-1": 50.0}

    run(scenario())


def test_limit_is_kept_for_listed_upstreams_only(run):
    async def scenario():
        async with GatewayHarness() as harness:
            harness.list_all(without=("services-2",))
            state_limit(harness, b"50")
            await ask_one(harness, "a")
            harness.list_all()
            assert set(limits(harness)) == {"services-1"}
            harness.list_all(without=("services-1",))
            assert limits(harness) == {}

    run(scenario())
