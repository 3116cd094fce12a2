"""What the ends of requests teach, and what they must not."""

import pytest


def serve(bench, name, duration, first=0.0, **changes):
    bench.ask(name, **changes)
    bench.tick(duration)
    changes.pop("prefix", None)
    tokens = changes.pop("output_tokens")
    bench.end(name, duration, first_token_s=first, tokens=tokens, **changes)


def rate(bench, name="u0"):
    return bench.upstream(name).prefill_tokens_per_s


def test_cached_prompts_teach_no_faster_prefill(make_bench):
    """Chats with a cached head are answered at once, all day long.

    Entries do not tell what was cached. Counted as prefilled, the heads teach
    a rate far above the engine's own, and long prompts are all thought late.
    """
    bench = make_bench(count=1)
    before = rate(bench)
    chat = {"prompt_tokens": 320, "output_tokens": 10, "prefix": (1, 2, 3, 4)}
    serve(bench, "cold", 0.14, first=0.052, **chat)
    for number in range(60):
        serve(bench, f"c{number}", 0.1, first=0.012, **chat)
    assert rate(bench) == pytest.approx(before, rel=0.2)


def test_answers_in_one_piece_teach_no_rate(make_bench):
    """Long prompts are answered in one piece, so that no first token is seen.

    A first token after no time at all would teach an endless prefill rate.
    """
    bench = make_bench(count=1)
    before = rate(bench)
    for number in range(20):
        serve(bench, f"r{number}", 2.0, prompt_tokens=4000, output_tokens=100)
    assert rate(bench) == before


def test_neighbour_of_long_prompts_is_no_straggler(make_bench):
    """Short chats run beside long prompts on one engine, and all of them wait.

    That engine works as fast as its peers, which have only chats. Relieving it
    takes a quarter of the pool away, just when there is most to do.
    """
    bench = make_bench(count=4)
    long_s = 4000 / rate(bench)
    for number in range(12):
        chats = [f"c{number}.{i}" for i in range(8)]
        for name in chats:
            bench.ask(name, output_tokens=10)
        bench.ask(f"long{number}", 1, prompt_tokens=4000, output_tokens=10)
        beside = bench.running[f"long{number}"].upstream
        slow = [name for name in chats if bench.running[name].upstream == beside]
        bench.tick(0.1)
        for name in set(chats) - set(slow):
            bench.end(name, 0.1)
        bench.tick(long_s)
        for name in slow:
            bench.end(name, 0.1 + long_s, first_token_s=0.01)
        bench.end(f"long{number}", 0.1 + long_s, prompt_tokens=4000)
        bench.tick(0.3)
        standings = {u.standing for u in bench.cell.snapshot().upstreams}
        assert standings == {"normal"}
