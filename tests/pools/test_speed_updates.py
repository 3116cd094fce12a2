"""Speeds learned from answered requests, and samples that must be ignored."""

import pytest


def serve(harness, name, duration, first=0.0, **changes):
    harness.submit(name, **changes)
    harness.advance(duration)
    changes.pop("prefix", None)
    tokens = changes.pop("output_tokens")
    harness.end(name, duration, first_token_s=first, tokens=tokens, **changes)


def rate(harness, name="u0"):
    return harness.upstream(name).prefill_tokens_per_s


def test_cached_prompts_do_not_raise_the_prefill_rate(make_harness):
    """Chats with a cached prefix are answered at once, many times in a row.

    The number of cached tokens is not reported. If they were counted as
    prefilled, the learned rate would be far above the engine's real one, and
    long prompts would all seem slow.
    """
    harness = make_harness(count=1)
    before = rate(harness)
    chat = {"prompt_tokens": 320, "output_tokens": 10, "prefix": (1, 2, 3, 4)}
    serve(harness, "cold", 0.14, first=0.052, **chat)
    for number in range(60):
        serve(harness, f"c{number}", 0.1, first=0.012, **chat)
    assert rate(harness) == pytest.approx(before, rel=0.2)


def test_answers_without_a_first_token_time_leave_the_rate(make_harness):
    """Long prompts are answered in one piece, without a time to first token.

    A time of zero would give an infinite prefill rate.
    """
    harness = make_harness(count=1)
    before = rate(harness)
    for number in range(20):
        serve(harness, f"r{number}", 2.0, prompt_tokens=4000, output_tokens=100)
    assert rate(harness) == before


def test_neighbour_of_long_prompts_is_no_straggler(make_harness):
    """Short chats run beside long prompts on one engine and stall with them.

    That engine is as fast as its peers, which run only chats. Ejecting it would
    remove a quarter of the pool under high load.
    """
    harness = make_harness(count=4)
    long_s = 4000 / rate(harness)
    for number in range(12):
        chats = [f"c{number}.{i}" for i in range(8)]
        for name in chats:
            harness.submit(name, output_tokens=10)
        harness.submit(f"long{number}", 1, prompt_tokens=4000, output_tokens=10)
        beside = harness.running[f"long{number}"].upstream
        slow = [name for name in chats if harness.running[name].upstream == beside]
        harness.advance(0.1)
        for name in set(chats) - set(slow):
            harness.end(name, 0.1)
        harness.advance(long_s)
        for name in slow:
            harness.end(name, 0.1 + long_s, first_token_s=0.01)
        harness.end(f"long{number}", 0.1 + long_s, prompt_tokens=4000)
        harness.advance(0.3)
        standings = {u.standing for u in harness.cell.snapshot().upstreams}
        assert standings == {"normal"}
