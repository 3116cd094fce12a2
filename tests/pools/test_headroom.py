"""Headroom that lower tiers leave, so that long prompts do not delay chats.

Requests by tier rank, unless a test sets another: 0 are short chats and lookups,
1 are draws (batch prompts of 8,000 tokens), 2 are notes (short batch prompts).
"""

from baobabwing.pools.permits import LoadReport, Outcome, Refusal

DRAW_TOKENS = 8000


def submit_draws(harness, count, **changes):
    changes.setdefault("prompt_tokens", DRAW_TOKENS)
    for i in range(count):
        harness.submit(f"draw{i}", rank=1, budget=600.0, **changes)


def test_lower_tier_leaves_slots_once_a_higher_one_is_active(make_harness):
    """Notes would take all slots, and a chat would wait for one to end."""
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


def test_reserve_ends_after_a_minute_without_a_higher_tier(make_harness):
    harness = make_harness(capacity=8)
    harness.submit("chat")
    for i in range(20):
        harness.submit(f"note{i}", rank=2, budget=600.0)
    harness.end("chat")
    harness.advance(61.0)
    assert harness.upstream("u0").in_flight == 8


def test_one_long_prefill_of_a_lower_tier_on_an_engine(make_harness):
    """Four draws arrive at once, and a lookup just after.

    First come, first served, the engine would prefill draws for four seconds
    before the lookup.
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
    """The engine also serves requests that this cell did not send."""
    harness = make_harness(capacity=4)
    harness.now = 1.0
    report = LoadReport(upstream="u0", running=4, measured_at=0.9)
    harness.record(harness.cell.apply_load_report(report, harness.now))
    assert harness.submit("a") is None
    harness.advance(3.0)
    assert harness.running["a"].upstream == "u0"


def test_report_older_than_the_last_grant_is_ignored(make_harness):
    """A delayed report includes four requests that have ended since.

    If it were applied, the engine would stay idle with requests waiting.
    """
    harness = make_harness(capacity=4)
    harness.now = 1.0
    harness.submit("a")
    harness.end("a")
    report = LoadReport(upstream="u0", running=4, measured_at=0.5)
    harness.record(harness.cell.apply_load_report(report, 1.1))
    assert not isinstance(harness.submit("b"), Refusal)
    assert "b" in harness.running


def test_lower_tier_does_not_take_the_slot_that_a_chat_waits_for(make_harness):
    """The prefill before a chat ends after its deadline, while slots are free.

    A note with a late deadline could take a slot. The chat would be refused at
    its deadline although lower-tier work was admitted while it waited.
    """
    harness = make_harness(capacity=8)
    submit_draws(harness, 1)
    harness.submit("chat", budget=0.5)
    harness.submit("note", rank=2)
    assert harness.order == ["draw0"]
    harness.end("draw0", outcome=Outcome.CANCELLED, tokens=0)
    assert harness.order == ["draw0", "chat", "note"]


def test_long_prompt_goes_where_it_stalls_no_chat(make_harness, engines):
    """A chat runs on the faster engine when a draw arrives.

    The draw would end sooner there, but the chat would get no token during its
    prefill and be late, although each could have an engine of its own.
    """
    upstreams = [
        *engines(1, capacity=8, step_ms=8.0),
        *[u for u in engines(2, capacity=8, step_ms=12.0) if u.name == "u1"],
    ]
    harness = make_harness(upstreams=upstreams)
    assert harness.submit("chat").upstream == "u0"
    submit_draws(harness, 1)
    assert harness.running["draw0"].upstream == "u1"
