"""Placement by the loads and work times that upstreams report."""

import random

import pytest

from baobabwing.gateway.decisions.cell_queue import CellQueue
from baobabwing.gateway.decisions.scheduling import PoolScheduler
from baobabwing.gateway.decisions.told_load import ToldLoad
from tests.gateway.decisions.test_scheduling import (
    ENGINE,
    make_request,
    make_scheduler,
    place,
)
from tests.gateway.decisions.told_load_model import SPEEDS, Play, Told, TwoChoices

# Requests a second that three services of 6 slots can serve beside disturbances.
PLAIN_PER_S = sum(6 / (0.09 * work * 1.2) for work in SPEEDS)
ENGINES_PER_S = sum(15 * 5 / (0.6 * work * 1.2) for work in SPEEDS)


def reporting_scheduler(engine_percents, **more):
    scheduler = make_scheduler(tuple(engine_percents), **more)
    scheduler.shares_machines = True
    for name, percent in engine_percents.items():
        load = ToldLoad(running=0, waiting=0, work_percent=percent, at=0.0)
        scheduler.tracks[name].record_told_load(load)
    return scheduler


def expected_s(scheduler, now, **request):
    """Return the expected first event of each upstream, after a placement."""
    for grant in place(scheduler, now):
        grant.track.remove_request(grant.request.number)
    return {
        name: scheduler.first_event_s(make_request(**request), track, now)
        for name, track in scheduler.tracks.items()
    }


def test_report_is_a_prior_for_an_engine_without_samples():
    """A new engine was taken for as fast as the others until its first answers."""
    times = expected_s(reporting_scheduler({"a": 170, "b": 60}), 0.0)
    assert times["a"] / times["b"] == pytest.approx(170 / 60)


def test_home_uses_what_its_own_node_hears():
    """A home measures engines by other nodes' updates, but gets no reports itself."""
    node = reporting_scheduler({"a": 170, "b": 60})
    queue = CellQueue(engine=ENGINE, rng=random.Random(1), now=0.0)
    queue.set_upstreams([track.entry for track in node.tracks.values()])
    queue.scheduler.shares_machines = True
    queue.share_reports(node.tracks)
    times = expected_s(queue.scheduler, 0.0)
    assert times["a"] / times["b"] == pytest.approx(170 / 60)


def test_report_fades():
    times = expected_s(reporting_scheduler({"a": 170, "b": 60}), 60.0)
    assert times["a"] == pytest.approx(times["b"], rel=0.01)


def test_reports_count_no_more_once_the_pool_does_not_share_its_machines():
    scheduler = reporting_scheduler({"a": 170, "b": 60})
    expected_s(scheduler, 0.0)
    scheduler.shares_machines = False
    times = expected_s(scheduler, 0.1)
    assert times["a"] == times["b"]


@pytest.mark.parametrize("nodes", [1, 6])
def test_service_with_requests_of_other_nodes_is_left_until_they_have_ended(nodes):
    """A home counts the requests of all nodes, and must not count them twice."""
    scheduler = reporting_scheduler({"a": 100, "b": 100}, engine=None)
    scheduler.nodes = nodes
    busy = ToldLoad(running=4, waiting=6, work_percent=100, at=1.0)
    for name, track in scheduler.tracks.items():
        track.record_interval(0.09)
        if name == "a":
            track.record_told_load(busy)
    times = expected_s(scheduler, 1.0)
    assert (times["a"] > 3 * times["b"]) is (nodes > 1)
    times = expected_s(scheduler, 2.0)
    assert times["a"] == pytest.approx(times["b"], rel=0.01)


@pytest.mark.parametrize("nodes", [6, 113])
def test_reports_serve_no_worse_than_without_them(nodes):
    """Nodes that see little of each other overfill the services of a full pool."""

    def figures(scheduler):
        plays = [
            Play(scheduler, nodes=nodes, seed=seed, rate=PLAIN_PER_S, seconds=20).run()
            for seed in range(3)
        ]
        columns = zip(*(play.figures() for play in plays), strict=True)
        return [sum(column) / len(plays) for column in columns]

    in_time, rejected, *_ = figures(Told)
    for other in (PoolScheduler, TwoChoices):
        other_in_time, other_rejected, *_ = figures(other)
        assert in_time > other_in_time - 0.01
        assert rejected < 0.8 * other_rejected


@pytest.mark.parametrize("engines", [False, True])
@pytest.mark.parametrize("percent", [1, 10_000])
def test_false_frozen_report_does_not_starve_an_upstream(engines, percent):
    rate = 0.6 * (ENGINES_PER_S if engines else PLAIN_PER_S)

    def least_served(told_percent):
        seconds = 4 if engines else 20
        play = Play(Told, nodes=6, seed=3, rate=rate, seconds=seconds, engines=engines)
        liar = play.machines["u1" if percent == 1 else "u0"]
        liar.told_percent = told_percent
        play.run()
        others = [m.served for m in play.machines.values() if m is not liar]
        return liar.served, min(others)

    honest, false = least_served(None), least_served(percent)
    assert all(now > 0.6 * before for now, before in zip(false, honest, strict=True))


@pytest.mark.parametrize("engines", [False, True])
def test_three_figures_change_no_placement(engines):
    """Pools whose upstreams report no work time are served exactly as before."""
    rate = 0.9 * (ENGINES_PER_S if engines else PLAIN_PER_S)
    with_three, without = (
        Play(
            PoolScheduler,
            nodes=6,
            seed=5,
            rate=rate,
            seconds=1 if engines else 5,
            engines=engines,
            figures_told=figures,
        ).run()
        for figures in (3, 0)
    )
    assert with_three.done == without.done
    assert with_three.refusals == without.refusals
