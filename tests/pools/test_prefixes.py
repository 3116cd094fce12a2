"""Prompt digests, the prefix index, and placement by cached prefixes."""

from hashlib import blake2b

from baobabwing.pools.prefix_digest import BLOCK_TOKENS, prompt_prefix
from baobabwing.pools.prefix_index import PrefixIndex
from baobabwing.standins.blocks import prefix_blocks

PREFIX = tuple(range(100, 140))


def test_only_whole_blocks_have_a_digest():
    assert prompt_prefix(" ".join(["w"] * (BLOCK_TOKENS - 1))) == ()
    assert len(prompt_prefix(" ".join(["w"] * (2 * BLOCK_TOKENS + 5)))) == 2


def test_digests_are_chained_blake2b():
    words = [f"w{i}" for i in range(2 * BLOCK_TOKENS)]
    first = blake2b(
        bytes(8) + " ".join(words[:BLOCK_TOKENS]).encode(), digest_size=8
    ).digest()
    second = blake2b(
        first + " ".join(words[BLOCK_TOKENS:]).encode(), digest_size=8
    ).digest()
    expected = tuple(int.from_bytes(digest, "big") for digest in (first, second))
    assert prompt_prefix("  ".join(words)) == expected


def test_depth_is_that_of_the_deepest_cached_block():
    index = PrefixIndex()
    index.add("a", PREFIX[:10])
    index.add("b", PREFIX[:25])
    assert index.cached_blocks(PREFIX, ["a", "b", "c"]) == {"a": 10, "b": 25}


def test_lost_events_leave_gaps_that_are_bridged():
    index = PrefixIndex()
    index.add("a", (*PREFIX[:3], *PREFIX[4:9]))
    assert index.cached_blocks(PREFIX, ["a"]) == {"a": 9}


def test_eviction_for_an_unknown_block_changes_nothing():
    index = PrefixIndex()
    index.add("a", PREFIX)
    index.discard("b", PREFIX)
    index.discard("a", (1, 2, 3))
    assert index.cached_blocks(PREFIX, ["a"]) == {"a": 40}


def test_restart_drops_all_blocks_of_one_upstream():
    index = PrefixIndex()
    index.add("a", PREFIX)
    index.add("b", PREFIX)
    index.clear("a")
    index.add("a", PREFIX[:2])
    assert index.cached_blocks(PREFIX, ["a", "b"]) == {"a": 2, "b": 40}


def test_index_is_bounded_over_prompts_and_restarts():
    index = PrefixIndex(limit=100)
    for number in range(1000):
        index.clear("a")
        index.add("a", range(number * 10, number * 10 + 10))
    assert len(index) <= 100
    assert max(index._holders.values()).bit_length() <= 256


def test_cached_prefix_is_followed(make_harness):
    harness = make_harness(count=4, capacity=8)
    harness.submit("first", prompt_tokens=2560, prefix=PREFIX)
    warm = harness.running["first"].upstream
    harness.end("first", prompt_tokens=2560)
    harness.advance(1.0)
    for i in range(4):
        assert (
            harness.submit(f"r{i}", prompt_tokens=2560, prefix=PREFIX).upstream == warm
        )


def test_cached_prefix_is_not_followed_when_the_wait_costs_more(make_harness):
    """The engine with the cached prefix starts a prefill of four seconds.

    The prefix saves only 0.3 s, and the request would wait for that prefill.
    """
    harness = make_harness(count=2, capacity=8)
    harness.submit("first", prompt_tokens=2560, prefix=PREFIX)
    warm = harness.running["first"].upstream
    harness.end("first", prompt_tokens=2560)
    cold = "u1" if warm == "u0" else "u0"
    harness.submit("draw", prompt_tokens=32000, exclude=(cold,))
    assert harness.submit("next", prompt_tokens=2560, prefix=PREFIX).upstream == cold


def test_cache_events_add_prefixes_that_the_cell_did_not_send(make_harness):
    harness = make_harness(count=2, capacity=8)
    harness.cell.apply_cache_events("u1", 0.0, stored=PREFIX)
    assert harness.submit("a", prompt_tokens=2560, prefix=PREFIX).upstream == "u1"


def test_cached_prompt_may_still_meet_its_deadline(make_harness):
    """A prompt with a prefill of 4 s is due in 1 s, but is nearly all cached.

    By its length alone it would be refused.
    """
    prefix = tuple(range(500))
    harness = make_harness(count=2, capacity=8)
    assert harness.submit("cold", budget=1.0, prompt_tokens=32100, prefix=prefix).code
    harness.cell.apply_cache_events("u1", 0.0, stored=prefix)
    warm = harness.submit("warm", budget=1.0, prompt_tokens=32100, prefix=prefix)
    assert warm.upstream == "u1"


def test_same_digests_as_the_engine_stand_in():
    """The entry and the engine must compute equal digests of a prompt.

    Engines report cached blocks by digest. If digests differed, cache events
    would match no prompt, and cached prompts would be prefilled again.
    """
    text = " ".join(f"w{i}" for i in range(300))
    assert list(prompt_prefix(text)) == list(prefix_blocks(text))
