"""What the ends of requests teach, and what they must not."""

import pytest


def serve(harness, name, duration, first=0.0, **changes):
    harness.submit(name, **changes)
    harness.advance(duration)
    changes.pop("prefix", None)
    tokens = changes.pop("output_tokens")
    harness.end(name, duration, first_token_s=first, tokens=tokens, **changes)


def rate(harness, name="u0"):
    return harness.upstream(name).prefill_tokens_per_s


def test_cached_prompts_teach_no_faster_prefill(make_harness):
    """Chats with a cached head are answered at once, all day long.

    Entries do not tell what was cached. Counted as prefilled, the heads teach
    a rate far above the engine's own, and long prompts are all thought late.
    """
    harness = make_harness(count=1)
    before = rate(harness)
    chat = {"prompt_tokens": 320, "output_tokens": 10, "prefix": (1, 2, 3, 4)}
    serve(harness, "cold", 0.14, first=0.052, **chat)
    for number in range(60):
        serve(harness, f"c{number}", 0.1, first=0.012, **chat)
    assert rate(harness) == pytest.approx(before, rel=0.2)


def test_answers_in_one_piece_teach_no_rate(make_harness):
    """Long prompts are answered in one piece, so that no first token is seen.

    A first token after no time at all would teach an endless prefill rate.
    """
    harness = make_harness(count=1)
    before = rate(harness)
    for number in range(20):
        serve(harness, f"r{number}", 2.0, prompt_tokens=4000, output_tokens=100)
    assert rate(harness) == before


def test_neighbour_of_long_prompts_is_no_straggler(make_harness):
    """Short chats run beside long prompts on one engine, and all of them wait.

    That engine works as fast as its peers, which have only chats. Relieving it
    takes a quarter of the pool away, just when there is most to do.
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
