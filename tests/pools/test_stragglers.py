"""Upstreams that fall behind their peers, stand still, fail or restart."""

from baobabwing.pools.catalogue import UpstreamState
from baobabwing.pools.permits import Outcome


def run_rounds(harness, rounds, slow=(), factor=5.0, start=0):
    """Serve requests on all upstreams; those in ``slow`` take longer."""
    for number in range(start, start + rounds):
        names = [f"r{number}.{i}" for i in range(12)]
        for name in names:
            harness.submit(name)
        harness.advance(0.1)
        for name in names:
            if name in harness.running:
                late = harness.running[name].upstream in slow
                harness.end(name, duration=0.09 * (factor if late else 1.0))
    return start + rounds


def standings(harness):
    return {u.name: u.standing for u in harness.cell.snapshot().upstreams}


def test_straggler_is_relieved_and_comes_back(make_harness):
    """An engine gets five times slower, and well again after a while.

    Its requests would all be late. It gets no more than single probes until
    one is in time, and its share then grows back in steps.
    """
    harness = make_harness(count=4)
    number = run_rounds(harness, 10)
    number = run_rounds(harness, 30, slow=("u1",), start=number)
    assert standings(harness)["u1"] == "relieved"
    before = len(harness.order)
    number = run_rounds(harness, 10, slow=("u1",), start=number)
    assert len(harness.order) - before == 120
    limits = set()
    for _ in range(60):
        number = run_rounds(harness, 2, start=number)
        limits.add(harness.upstream("u1").limit)
    assert standings(harness)["u1"] == "normal"
    assert {1, 2, 4} <= limits


def test_all_slow_alike_are_no_stragglers(make_harness):
    harness = make_harness(count=4)
    number = run_rounds(harness, 10)
    run_rounds(harness, 30, slow=("u0", "u1", "u2", "u3"), start=number)
    assert set(standings(harness).values()) == {"normal"}


def test_slower_generation_is_no_straggler(make_harness, engines):
    upstreams = [
        *engines(2, generation="old"),
        *[u for u in engines(4, generation="new") if u.name in ("u2", "u3")],
    ]
    harness = make_harness(upstreams=upstreams)
    run_rounds(harness, 40, slow=("u0", "u1"))
    assert set(standings(harness).values()) == {"normal"}


def test_no_more_than_a_share_is_relieved(make_harness):
    """Two of three engines slow down; without both the third is swamped."""
    harness = make_harness(count=3)
    number = run_rounds(harness, 10)
    run_rounds(harness, 40, slow=("u0", "u1"), start=number)
    assert list(standings(harness).values()).count("relieved") <= 1


def test_frozen_engine_is_relieved_without_any_answer(make_harness):
    """An engine stands still: it answers nothing, late or otherwise.

    A comparison of answers alone would never notice.
    """
    harness = make_harness(count=3)
    run_rounds(harness, 5)
    names = [f"stuck{i}" for i in range(6)]
    for name in names:
        harness.submit(name)
    frozen = harness.running[names[0]].upstream
    for _ in range(30):
        harness.advance(0.1)
        for name in list(harness.running):
            if harness.running[name].upstream != frozen:
                harness.end(name)
        harness.submit(f"more{harness.now}")
    assert standings(harness)[frozen] == "relieved"


def test_failing_engine_is_relieved(make_harness):
    harness = make_harness(count=3)
    for i in range(9):
        harness.submit(f"r{i}", exclude=("u1", "u2"))
        harness.advance(0.02)
        if f"r{i}" in harness.running:
            harness.end(f"r{i}", outcome=Outcome.NOT_ADMITTED)
    assert standings(harness)["u0"] == "relieved"


def test_relieved_engine_returns_when_too_few_are_left(make_harness, engines):
    """One of three engines is relieved when the two others are drained.

    The share that may be set aside shrinks to none, and the requests go to
    the engine that is left.
    """
    harness = make_harness(count=3)
    for i in range(3):
        harness.submit(f"r{i}", exclude=("u1", "u2"))
        harness.end(f"r{i}", outcome=Outcome.NOT_ADMITTED)
    assert standings(harness)["u0"] == "relieved"
    harness.configure(engines(1))
    harness.advance(0.5)
    assert harness.submit("next").upstream == "u0"


def test_restarted_engine_starts_over_without_its_cache(make_harness):
    """An engine restarts: its cache events say "cleared".

    Requests that followed their prefix there would be prefilled in full, all
    at once on a cold engine.
    """
    prefix = tuple(range(1, 41))
    harness = make_harness(count=2, capacity=8)
    harness.submit("first", prompt_tokens=2560, prefix=prefix)
    warm = harness.running["first"].upstream
    harness.end("first", prompt_tokens=2560)
    harness.record(harness.cell.cache_changed(warm, harness.now, cleared=True))
    assert harness.upstream(warm).limit == 2
    harness.advance(3.0)
    assert harness.upstream(warm).limit == 8


def test_probe_is_not_made_with_the_highest_tier_while_others_ask(make_harness):
    harness = make_harness(count=3)
    harness.submit("note", rank=2)
    for i in range(3):
        harness.submit(f"r{i}", exclude=("u1", "u2"))
        harness.end(f"r{i}", outcome=Outcome.NOT_ADMITTED)
    harness.advance(2.5)
    assert harness.submit("chat").upstream != "u0"
    assert harness.submit("second note", rank=2).upstream == "u0"


def test_engine_once_slow_is_tried_again(make_harness):
    """One slow answer makes the other engine preferred, with room on both.

    Nobody would try the first one again, and its estimate stays what it was.
    """
    harness = make_harness(count=2)
    run_rounds(harness, 10)
    slow = harness.submit("slow").upstream
    harness.end("slow", duration=0.9)
    before = harness.upstream(slow).step_ms
    harness.advance(60.0)
    assert harness.upstream(slow).step_ms < before
    assert {harness.submit(f"next{i}").upstream for i in range(4)} == {"u0", "u1"}


def test_removed_engine_gets_nothing_more(make_harness, engines):
    """An idle engine is taken out of the configuration, others stay."""
    harness = make_harness(count=3)
    harness.configure(engines(1))
    assert {harness.submit(f"r{i}").upstream for i in range(4)} == {"u0"}


def test_any_tier_makes_the_probe_when_nothing_else_is_free(make_harness):
    """Chats fill all engines while one that has recovered waits for a probe.

    Notes ask as well but get no turn. If only notes could make the probe, the
    engine would stay out for as long as the chats keep coming.
    """
    harness = make_harness(count=3, capacity=1)
    harness.submit("note", rank=2, exclude=("u0",))
    for i in range(3):
        harness.submit(f"r{i}", exclude=("u1", "u2"))
        harness.end(f"r{i}", outcome=Outcome.NOT_ADMITTED)
    harness.submit("chat0")
    harness.submit("chat1")
    assert "chat1" not in harness.running
    harness.advance(2.5)
    assert harness.running["chat1"].upstream == "u0"


def test_relieved_engine_that_leaves_gets_no_probe(make_harness, engines):
    """An engine is relieved, is due for a probe, and is drained just then.

    The probe would be new work on an upstream that is leaving.
    """
    harness = make_harness(count=3)
    for i in range(3):
        harness.submit(f"r{i}", exclude=("u1", "u2"))
        harness.end(f"r{i}", outcome=Outcome.NOT_ADMITTED)
    harness.advance(2.5)
    leaving = engines(1, state=UpstreamState.LEAVING)
    harness.configure([*leaving, *engines(3)[1:]])
    assert {harness.submit(f"next{i}").upstream for i in range(4)} == {"u1", "u2"}
