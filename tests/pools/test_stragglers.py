"""Upstreams that fall behind their peers, stand still, fail or restart."""

from baobabwing.pools.catalogue import UpstreamState
from baobabwing.pools.permits import Outcome


def run_rounds(bench, rounds, slow=(), factor=5.0, start=0):
    """Serve requests on all upstreams; those in ``slow`` take longer."""
    for number in range(start, start + rounds):
        names = [f"r{number}.{i}" for i in range(12)]
        for name in names:
            bench.ask(name)
        bench.tick(0.1)
        for name in names:
            if name in bench.running:
                late = bench.running[name].upstream in slow
                bench.end(name, duration=0.09 * (factor if late else 1.0))
    return start + rounds


def standings(bench):
    return {u.name: u.standing for u in bench.cell.snapshot().upstreams}


def test_straggler_is_relieved_and_comes_back(make_bench):
    """An engine gets five times slower, and well again after a while.

    Its requests would all be late. It gets no more than single probes until
    one is in time, and its share then grows back in steps.
    """
    bench = make_bench(count=4)
    number = run_rounds(bench, 10)
    number = run_rounds(bench, 30, slow=("u1",), start=number)
    assert standings(bench)["u1"] == "relieved"
    before = len(bench.order)
    number = run_rounds(bench, 10, slow=("u1",), start=number)
    assert len(bench.order) - before == 120
    limits = set()
    for _ in range(60):
        number = run_rounds(bench, 2, start=number)
        limits.add(bench.upstream("u1").limit)
    assert standings(bench)["u1"] == "normal"
    assert {1, 2, 4} <= limits


def test_all_slow_alike_are_no_stragglers(make_bench):
    bench = make_bench(count=4)
    number = run_rounds(bench, 10)
    run_rounds(bench, 30, slow=("u0", "u1", "u2", "u3"), start=number)
    assert set(standings(bench).values()) == {"normal"}


def test_slower_generation_is_no_straggler(make_bench, engines):
    upstreams = [
        *engines(2, generation="old"),
        *[u for u in engines(4, generation="new") if u.name in ("u2", "u3")],
    ]
    bench = make_bench(upstreams=upstreams)
    run_rounds(bench, 40, slow=("u0", "u1"))
    assert set(standings(bench).values()) == {"normal"}


def test_no_more_than_a_share_is_relieved(make_bench):
    """Two of three engines slow down; without both the third is swamped."""
    bench = make_bench(count=3)
    number = run_rounds(bench, 10)
    run_rounds(bench, 40, slow=("u0", "u1"), start=number)
    assert list(standings(bench).values()).count("relieved") <= 1


def test_frozen_engine_is_relieved_without_any_answer(make_bench):
    """An engine stands still: it answers nothing, late or otherwise.

    A comparison of answers alone would never notice.
    """
    bench = make_bench(count=3)
    run_rounds(bench, 5)
    names = [f"stuck{i}" for i in range(6)]
    for name in names:
        bench.ask(name)
    frozen = bench.running[names[0]].upstream
    for _ in range(30):
        bench.tick(0.1)
        for name in list(bench.running):
            if bench.running[name].upstream != frozen:
                bench.end(name)
        bench.ask(f"more{bench.now}")
    assert standings(bench)[frozen] == "relieved"


def test_failing_engine_is_relieved(make_bench):
    bench = make_bench(count=3)
    for i in range(9):
        bench.ask(f"r{i}", exclude=("u1", "u2"))
        bench.tick(0.02)
        if f"r{i}" in bench.running:
            bench.end(f"r{i}", outcome=Outcome.NOT_ADMITTED)
    assert standings(bench)["u0"] == "relieved"


def test_relieved_engine_returns_when_too_few_are_left(make_bench, engines):
    """One of three engines is relieved when the two others are drained.

    The share that may be set aside shrinks to none, and the requests go to
    the engine that is left.
    """
    bench = make_bench(count=3)
    for i in range(3):
        bench.ask(f"r{i}", exclude=("u1", "u2"))
        bench.end(f"r{i}", outcome=Outcome.NOT_ADMITTED)
    assert standings(bench)["u0"] == "relieved"
    bench.configure(engines(1))
    bench.tick(0.5)
    assert bench.ask("next").upstream == "u0"


def test_restarted_engine_starts_over_without_its_cache(make_bench):
    """An engine restarts: its cache events say "cleared".

    Requests that followed their prefix there would be prefilled in full, all
    at once on a cold engine.
    """
    prefix = tuple(range(1, 41))
    bench = make_bench(count=2, capacity=8)
    bench.ask("first", prompt_tokens=2560, prefix=prefix)
    warm = bench.running["first"].upstream
    bench.end("first", prompt_tokens=2560)
    bench.take(bench.cell.cache_changed(warm, bench.now, cleared=True))
    assert bench.upstream(warm).limit == 2
    bench.tick(3.0)
    assert bench.upstream(warm).limit == 8


def test_probe_is_not_made_with_the_highest_tier_while_others_ask(make_bench):
    bench = make_bench(count=3)
    bench.ask("note", rank=2)
    for i in range(3):
        bench.ask(f"r{i}", exclude=("u1", "u2"))
        bench.end(f"r{i}", outcome=Outcome.NOT_ADMITTED)
    bench.tick(2.5)
    assert bench.ask("chat").upstream != "u0"
    assert bench.ask("second note", rank=2).upstream == "u0"


def test_engine_once_slow_is_tried_again(make_bench):
    """One slow answer makes the other engine preferred, with room on both.

    Nobody would try the first one again, and its estimate stays what it was.
    """
    bench = make_bench(count=2)
    run_rounds(bench, 10)
    slow = bench.ask("slow").upstream
    bench.end("slow", duration=0.9)
    before = bench.upstream(slow).step_ms
    bench.tick(60.0)
    assert bench.upstream(slow).step_ms < before
    assert {bench.ask(f"next{i}").upstream for i in range(4)} == {"u0", "u1"}


def test_removed_engine_gets_nothing_more(make_bench, engines):
    """An idle engine is taken out of the configuration, others stay."""
    bench = make_bench(count=3)
    bench.configure(engines(1))
    assert {bench.ask(f"r{i}").upstream for i in range(4)} == {"u0"}


def test_any_tier_makes_the_probe_when_nothing_else_is_free(make_bench):
    """Chats fill all engines while one that has recovered waits for a probe.

    Notes ask as well but get no turn. If only notes could make the probe, the
    engine would stay out for as long as the chats keep coming.
    """
    bench = make_bench(count=3, capacity=1)
    bench.ask("note", rank=2, exclude=("u0",))
    for i in range(3):
        bench.ask(f"r{i}", exclude=("u1", "u2"))
        bench.end(f"r{i}", outcome=Outcome.NOT_ADMITTED)
    bench.ask("chat0")
    bench.ask("chat1")
    assert "chat1" not in bench.running
    bench.tick(2.5)
    assert bench.running["chat1"].upstream == "u0"


def test_relieved_engine_that_leaves_gets_no_probe(make_bench, engines):
    """An engine is relieved, is due for a probe, and is drained just then.

    The probe would be new work on an upstream that is leaving.
    """
    bench = make_bench(count=3)
    for i in range(3):
        bench.ask(f"r{i}", exclude=("u1", "u2"))
        bench.end(f"r{i}", outcome=Outcome.NOT_ADMITTED)
    bench.tick(2.5)
    leaving = engines(1, state=UpstreamState.LEAVING)
    bench.configure([*leaving, *engines(3)[1:]])
    assert {bench.ask(f"next{i}").upstream for i in range(4)} == {"u1", "u2"}
