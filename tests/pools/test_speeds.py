"""Learned speeds of upstreams and hardware generations."""

import pytest

from baobabwing.pools.catalogue import Upstream
from baobabwing.pools.speeds import GenerationSpeeds, LearnedSpeed


def make_speed():
    return LearnedSpeed(prefill_tokens_per_s=8000.0, step_s=0.008, weight=0.15)


def observe_requests(speed, count, rate=2000.0, step=0.02, batch=1.0):
    for _ in range(count):
        speed.observe_prefill(4000, 4000 / rate)
        speed.observe_steps(100, 100 * step, batch)
        speed.count_sample()


def test_speed_is_learned_within_30_samples():
    speed = make_speed()
    observe_requests(speed, 30)
    assert speed.prefill_tokens_per_s == pytest.approx(2000.0, rel=0.1)
    assert speed.step_s(1) == pytest.approx(0.02, rel=0.1)


def test_one_stalled_stream_hardly_changes_the_estimate():
    speed = make_speed()
    observe_requests(speed, 30)
    speed.observe_steps(100, 100 * 10.0, 1.0)
    assert speed.step_s(1) < 0.025


def test_step_time_grows_with_the_batch():
    speed = make_speed()
    for i in range(400):
        batch = 1 + (i * 7) % 16
        speed.observe_steps(100, 100 * (0.006 + 0.0005 * batch), batch)
        speed.count_sample()
    assert speed.step_s(2) == pytest.approx(0.007, rel=0.1)
    assert speed.step_s(16) == pytest.approx(0.014, rel=0.1)


def test_short_prompts_determine_the_overhead():
    speed = make_speed()
    for _ in range(40):
        speed.observe_prefill(10, 0.03)
        speed.count_sample()
    assert speed.overhead_s == pytest.approx(0.029, rel=0.1)
    assert speed.prefill_tokens_per_s == 8000.0


def test_new_upstream_starts_with_the_speed_of_its_generation():
    generations = GenerationSpeeds()
    known = Upstream(name="a", pool="p", address="127.0.0.1:1", generation="new")
    observe_requests(generations.generation_speed(known), 300)
    fresh = Upstream(name="b", pool="p", address="127.0.0.1:2", generation="new")
    other = Upstream(name="c", pool="p", address="127.0.0.1:3", generation="old")
    assert generations.initial_speed(fresh).step_s(1) == pytest.approx(0.02, rel=0.1)
    assert generations.initial_speed(other).step_s(1) == pytest.approx(0.008)
