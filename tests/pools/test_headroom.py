"""Room that lower tiers leave, so that long prompts do not block short chats."""

from baobabwing.pools.permits import LoadReport, Outcome, Refusal

DRAW_TOKENS = 8000


def submit_draws(harness, count, **changes):
    changes.setdefault("prompt_tokens", DRAW_TOKENS)
    for i in range(count):
        harness.submit(f"draw{i}", rank=1, budget=600.0, **changes)


def test_lower_tier_leaves_slots_once_a_higher_one_asks(make_harness):
    """Notes would fill all slots; a chat then waits for one to end."""
    harness = make_harness(capacity=8)
    harness.submit("chat")
    for i in range(20):
        harness.submit(f"note{i}", rank=2)
    assert harness.upstream("u0").in_flight == 7
    assert harness.submit("second chat").upstream == "u0"


def test_lower_tier_gets_all_slots_when_alone(make_harness):
    harness = make_harness(capacity=8)
    for i in range(20):
        harness.submit(f"note{i}", rank=2)
    assert harness.upstream("u0").in_flight == 8


def test_reserve_ends_when_no_higher_tier_asks_for_a_minute(make_harness):
    harness = make_harness(capacity=8)
    harness.submit("chat")
    for i in range(20):
        harness.submit(f"note{i}", rank=2, budget=600.0)
    harness.end("chat")
    harness.advance(61.0)
    assert harness.upstream("u0").in_flight == 8


def test_one_long_prefill_of_a_lower_tier_on_an_engine(make_harness):
    """Four season draws come at once, and a kickoff lookup just after.

    First come first served, the engine would prefill four seconds of draws
    before it looks at the lookup.
    """
    harness = make_harness(capacity=8)
    harness.submit("lookup")
    submit_draws(harness, 4)
    assert harness.order == ["lookup", "draw0"]
    harness.advance(1.5)
    assert harness.order == ["lookup", "draw0", "draw1"]


def test_some_engines_stay_clear_of_long_prefills(make_harness):
    harness = make_harness(count=4, capacity=8)
    harness.submit("lookup")
    submit_draws(harness, 8)
    busy = {harness.running[f"draw{i}"].upstream for i in range(3)}
    assert len(busy) == 3
    assert len(harness.order) == 4
    assert harness.submit("second lookup").upstream not in busy


def test_short_prompts_of_the_tier_pass_a_blocked_long_one(make_harness):
    harness = make_harness(capacity=8)
    harness.submit("lookup")
    submit_draws(harness, 2)
    harness.submit("note", rank=1, organisation="other")
    harness.advance(0.05)
    assert harness.order == ["lookup", "draw0", "note"]


def test_lower_tier_does_not_pass_a_blocked_long_prompt(make_harness):
    harness = make_harness(capacity=8)
    harness.submit("lookup")
    submit_draws(harness, 2)
    harness.submit("note", rank=2)
    harness.advance(0.05)
    assert "note" not in harness.running


def test_no_bound_on_long_prefills_without_higher_tier(make_harness):
    harness = make_harness(capacity=8)
    submit_draws(harness, 4)
    assert len(harness.order) == 4


def test_cancelled_prefill_makes_room_for_the_next(make_harness):
    harness = make_harness(capacity=8)
    harness.submit("lookup")
    submit_draws(harness, 2)
    harness.end("draw0", outcome=Outcome.CANCELLED, tokens=0)
    assert "draw1" in harness.running


def test_chat_avoids_the_engine_with_a_long_prefill(make_harness):
    harness = make_harness(count=2, capacity=8)
    submit_draws(harness, 1)
    other = {"u0": "u1", "u1": "u0"}[harness.running["draw0"].upstream]
    assert {harness.submit(f"chat{i}").upstream for i in range(3)} == {other}


def test_newer_report_of_foreign_load_takes_slots(make_harness):
    """Somebody else uses the engine; our own count knows nothing of it."""
    harness = make_harness(capacity=4)
    harness.now = 1.0
    report = LoadReport(upstream="u0", running=4, measured_at=0.9)
    harness.record(harness.cell.correct(report, harness.now))
    assert harness.submit("a") is None
    harness.advance(3.0)
    assert harness.running["a"].upstream == "u0"


def test_report_older_than_our_last_grant_is_not_counted(make_harness):
    """A lagging report shows four requests that have ended since.

    Believed, it would keep the engine idle with requests waiting.
    """
    harness = make_harness(capacity=4)
    harness.now = 1.0
    harness.submit("a")
    harness.end("a")
    report = LoadReport(upstream="u0", running=4, measured_at=0.5)
    harness.record(harness.cell.correct(report, 1.1))
    assert not isinstance(harness.submit("b"), Refusal)
    assert "b" in harness.running


def test_lower_tier_does_not_take_what_a_chat_waits_for(make_harness):
    """A chat is due sooner than the prefill before it ends, with slots free.

    A note with time to spare could take the slot. The chat would be refused
    when its time is up, with lower-tier work admitted while it waited.
    """
    harness = make_harness(capacity=8)
    submit_draws(harness, 1)
    harness.submit("chat", budget=0.5)
    harness.submit("note", rank=2)
    assert harness.order == ["draw0"]
    harness.end("draw0", outcome=Outcome.CANCELLED, tokens=0)
    assert harness.order == ["draw0", "chat", "note"]


def test_long_prompt_goes_where_no_chat_would_stand_still(make_harness, engines):
    """A chat runs on the faster engine when a season draw comes.

    There the draw would end sooner, but the chat would get no token while the
    draw is prefilled, and be late although there is room for both.
    """
    upstreams = [
        *engines(1, capacity=8, step_ms=8.0),
        *[u for u in engines(2, capacity=8, step_ms=12.0) if u.name == "u1"],
    ]
    harness = make_harness(upstreams=upstreams)
    assert harness.submit("chat").upstream == "u0"
    submit_draws(harness, 1)
    assert harness.running["draw0"].upstream == "u1"
