"""Strict tiers, deadlines and fair shares in a cell under full load."""

from collections import Counter

import pytest

from baobabwing.pools.catalogue import PoolKind
from baobabwing.pools.cell import ALL_ADMITTED
from baobabwing.pools.permits import RefusalCode


def test_higher_tier_overtakes_queued_work(make_harness):
    """Low-tier notes are queued when a lookup of the highest tier arrives.

    In order of arrival the lookup would wait for all of them.
    """
    harness = make_harness(capacity=1)
    harness.submit("running", rank=2)
    for i in range(5):
        harness.submit(f"note{i}", rank=2)
    harness.submit("lookup", rank=0)
    harness.end("running")
    assert harness.order[1] == "lookup"


def test_full_queue_drops_lowest_tier_and_latest_deadline(make_harness):
    harness = make_harness(capacity=1, queue_limit=3)
    harness.submit("running")
    harness.submit("draw", rank=1)
    harness.submit("note soon", rank=2, budget=50.0)
    harness.submit("note late", rank=2, budget=90.0)
    harness.submit("lookup", rank=0)
    assert list(harness.refusals) == ["note late"]
    assert harness.refusals["note late"].code == RefusalCode.OVERLOADED
    harness.submit("second lookup", rank=0)
    assert "note soon" in harness.refusals


def test_lower_tier_cannot_push_out_a_higher_one(make_harness):
    harness = make_harness(capacity=1, queue_limit=2)
    harness.submit("running")
    harness.submit("chat0")
    harness.submit("chat1")
    refusal = harness.submit("note", rank=3, budget=1000.0)
    assert refusal.code == RefusalCode.OVERLOADED
    assert harness.cell.floor() < 3


def test_earlier_deadline_goes_first_within_an_organisation(make_harness):
    harness = make_harness(capacity=1)
    harness.submit("running")
    harness.submit("later", budget=50.0)
    harness.submit("sooner", budget=40.0)
    harness.end("running")
    assert harness.order[1] == "sooner"


def test_flood_of_one_organisation_starves_nobody(make_harness):
    """One organisation queues 200 requests, another one a single later request.

    The 200 have earlier deadlines. By deadline alone the single request would be
    served last, and dropped first when the queue is full.
    """
    harness = make_harness(capacity=1, queue_limit=100)
    harness.submit("running")
    for i in range(200):
        harness.submit(f"flood{i}", organisation="large", budget=40.0)
    harness.submit("single", organisation="small", budget=80.0)
    for _ in range(3):
        harness.end(harness.order[-1])
    assert "single" in harness.order


def test_organisations_share_by_weight_in_tokens(make_harness):
    """Three organisations keep the queue full; one sends much longer prompts."""
    harness = make_harness(capacity=1)
    harness.submit("running")
    sent = Counter()
    kinds = {"long": (1.0, 910), "short": (1.0, 10), "heavy": (2.0, 10)}
    for name, (weight, prompt) in kinds.items():
        for i in range(130):
            harness.submit(
                f"{name} {i}",
                organisation=name,
                weight=weight,
                prompt_tokens=prompt,
                budget=10_000.0,
            )
    for _ in range(120):
        harness.end(harness.order[-1])
        name = harness.order[-1].split()[0]
        sent[name] += kinds[name][1] + 10
    assert sent["heavy"] == pytest.approx(2 * sent["short"], rel=0.2)
    assert sent["long"] == pytest.approx(sent["short"], rel=0.6)


def test_request_that_no_upstream_could_finish_in_time_is_refused(make_harness):
    harness = make_harness()
    refusal = harness.submit("a", budget=0.01, output_tokens=1000)
    assert refusal.code == RefusalCode.DEADLINE
    assert refusal.retry_after_s > 0.0


def test_request_too_far_back_in_the_queue_is_refused_at_once(make_harness):
    """A request is due in 0.5 s behind seconds of work of its own tier.

    Queued until near its deadline, it would be refused too late for its caller
    to react. It is refused at once, with advice when to retry.
    """
    harness = make_harness(capacity=1)
    harness.submit("running", output_tokens=500)
    harness.submit("queued", output_tokens=500)
    refusal = harness.submit("late", budget=0.5, organisation="other")
    assert refusal.code == RefusalCode.QUEUE_TOO_LONG
    assert refusal.retry_after_s > 1.0


def test_requests_refused_together_get_different_retry_times(make_harness):
    harness = make_harness(capacity=1, queue_limit=1)
    harness.submit("running")
    harness.submit("queued")
    for i in range(20):
        harness.submit(f"r{i}", budget=61.0 + i)
    delays = {refusal.retry_after_s for refusal in harness.refusals.values()}
    assert len(delays) == 20
    assert max(delays) <= 2 * min(delays) + 0.01


def test_queued_request_expected_late_is_refused_early(make_harness):
    """A note is queued with little work before it; then a burst of chats arrives.

    Long before its deadline the note can no longer meet it. It is refused at the
    next review and not at the deadline.
    """
    harness = make_harness(capacity=1)
    harness.submit("running")
    harness.submit("note", rank=1, budget=3.0)
    for i in range(60):
        harness.submit(f"chat{i}", budget=100.0, output_tokens=50)
    harness.advance(0.3)
    assert harness.refusals["note"].code == RefusalCode.QUEUE_TOO_LONG


def test_expired_request_is_refused_and_never_granted(make_harness):
    harness = make_harness(capacity=1)
    harness.submit("running", output_tokens=20)
    harness.submit("queued", budget=1.0)
    harness.advance(1.0)
    assert harness.refusals["queued"].code == RefusalCode.QUEUE_TOO_LONG
    harness.end("running")
    assert harness.order == ["running"]


def test_lower_tier_is_closed_while_a_higher_one_is_refused(make_harness):
    """A chat is refused because the engine is busy for too long.

    A note that arrives right after has a late deadline. If it were queued,
    lower-tier work would be admitted although the chat was refused.
    """
    harness = make_harness(capacity=1)
    harness.submit("running", output_tokens=500)
    assert harness.submit("chat", budget=0.5).code == RefusalCode.QUEUE_TOO_LONG
    assert harness.submit("note", rank=2, budget=900.0).code == RefusalCode.OVERLOADED
    assert harness.cell.floor() < 0
    harness.end("running")
    assert harness.cell.floor() == ALL_ADMITTED
    assert harness.submit("later note", rank=2).upstream == "u0"


def test_excluded_upstream_does_not_block_others(make_harness):
    harness = make_harness(count=2, capacity=1)
    harness.submit("on u0", exclude=("u1",))
    harness.submit("waits for u0", exclude=("u1",))
    assert harness.submit("note", rank=3).upstream == "u1"


def test_plain_service_runs_at_most_its_capacity(make_harness):
    harness = make_harness(capacity=2, kind=PoolKind.SERVICE)
    for i in range(5):
        harness.submit(f"r{i}", prompt_tokens=0, output_tokens=0)
    assert len(harness.running) == 2
    harness.end("r0", tokens=0, prompt_tokens=0)
    assert harness.order == ["r0", "r1", "r2"]


def test_one_request_at_a_time_is_charged_like_a_backlog(make_harness):
    """One organisation submits its next long prompt when the last one is granted.

    Its queue is empty in between. If that reset its finish tag, it would be
    served first each time and take half the turns with 46 times the tokens.
    """
    harness = make_harness(capacity=1)
    harness.submit("running")
    for i in range(200):
        harness.submit(f"short {i}", organisation="a", prompt_tokens=10, budget=1e4)
    harness.submit("long 0", organisation="b", prompt_tokens=910, budget=1e4)
    longs = 1
    for _ in range(100):
        last = harness.order[-1]
        harness.end(last)
        if last.startswith("long"):
            harness.submit(
                f"long {longs}", organisation="b", prompt_tokens=910, budget=1e4
            )
            longs += 1
    assert longs <= 4
