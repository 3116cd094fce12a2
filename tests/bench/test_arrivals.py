"""Arrivals are determined by the seed and offer the load that scenarios specify."""

import pytest

from baobabwing.bench.arrivals import draw_arrivals, prompt_text
from baobabwing.bench.capacity import Job, max_work_within_deadlines, pool_seconds
from baobabwing.bench.scenarios import get_scenario, scenario_names
from baobabwing.bench.shapes import build_configuration, get_shape, shape_names
from baobabwing.settings.documents import check_configuration

SECONDS = 300.0


def _draw(name, seed=1, seconds=SECONDS):
    scenario = get_scenario(name)
    shape = get_shape(scenario.shape)
    return shape, draw_arrivals(shape, scenario.streams, seed=seed, seconds=seconds)


def _engine_load(shape, arrivals, start, end):
    work = sum(
        pool_seconds(
            shape,
            one.pool,
            prefill_tokens=one.own_tokens,
            output_tokens=one.output_tokens,
        )
        for one in arrivals
        if one.to_engine and start <= one.at_s < end
    )
    return work / (end - start)


@pytest.mark.parametrize("name", scenario_names())
def test_same_seed_gives_the_same_requests_and_another_seed_others(name):
    _, first = _draw(name, seconds=10)
    _, again = _draw(name, seconds=10)
    _, other = _draw(name, seed=2, seconds=10)
    assert first == again
    assert first != other
    assert [one.index for one in first] == list(range(len(first)))
    assert sorted(one.at_s for one in first) == [one.at_s for one in first]


@pytest.mark.parametrize(
    ("name", "calm", "burst"),
    [
        ("tijera-day", 0.55, 0.55),
        ("tijera-rush", 0.68, 2.0),
        ("pitchside-rainout", 0.7, 2.0),
    ],
)
def test_offered_load_is_a_share_of_capacity(name, calm, burst):
    shape, arrivals = _draw(name)
    third = SECONDS / 3
    assert _engine_load(shape, arrivals, 0, third) == pytest.approx(calm, rel=0.2)
    middle = _engine_load(shape, arrivals, third, 2 * third)
    assert middle == pytest.approx(burst, rel=0.2)


def test_lengths_at_pitchside_differ_a_hundredfold():
    _, arrivals = _draw("pitchside-rainout")
    lengths = [one.own_tokens for one in arrivals if one.to_engine]
    assert max(lengths) >= 100 * min(lengths)


def test_prompts_share_their_head_within_a_group_only():
    _, arrivals = _draw("tijera-day", seconds=20)
    chats = [one for one in arrivals if one.work == "chat-turn"]
    first = chats[0]
    for other in chats[1:]:
        same = (
            prompt_text(first).split()[: first.shared_tokens]
            == prompt_text(other).split()[: other.shared_tokens]
        )
        assert same == (other.group == first.group)
    assert len(prompt_text(first).split()) == first.prompt_tokens


@pytest.mark.parametrize("name", shape_names())
def test_configuration_of_each_shape_is_valid(name):
    shape = get_shape(name)
    specs = (*shape.engines, *shape.services)
    addresses = {
        spec.name: f"127.0.0.1:{9_000 + number}" for number, spec in enumerate(specs)
    }
    cfg = build_configuration(shape, addresses, policy="random")
    check_configuration(cfg)
    assert {pool.policy for pool in cfg.pools} == {"random"}
    assert len(cfg.upstreams) == len(specs)


@pytest.mark.parametrize(
    ("jobs", "expected"),
    [
        ([(0.0, 10.0, 2.0)], 2.0),
        ([(0.0, 1.0, 2.0)], 1.0),
        ([(0.0, 10.0, 4.0), (1.0, 3.0, 2.0)], 6.0),
        ([(0.0, 2.0, 2.0), (0.0, 2.0, 2.0)], 2.0),
        ([(0.0, 1.0, 1.0), (5.0, 6.0, 1.0)], 2.0),
        ([(0.0, 8.0, 5.0), (0.0, 3.0, 3.0), (2.0, 4.0, 3.0)], 8.0),
        ([], 0.0),
    ],
)
def test_max_work_within_deadlines(jobs, expected):
    result = max_work_within_deadlines(
        Job(start_s=start_s, deadline_s=deadline_s, work=work)
        for start_s, deadline_s, work in jobs
    )
    assert result == pytest.approx(expected)
