"""Fault injection campaigns with many requests; the results are printed."""

import pytest

from baobabwing.bench.matrix.campaign import Campaign

SEED = 4
LEAST_COMPLETED = 0.95
MOST_RECOMPUTED = 0.02


@pytest.mark.matrix
def test_campaign(site, request):
    """Guard against violations when callers retry at other hosts after any fault."""
    number = request.config.getoption("--campaign-requests")
    seed = request.config.getoption("--fuzz-seed") or SEED
    figures = Campaign(site=site, requests=number, seed=seed).run()
    print(figures.text())
    assert not figures.breaches
    assert not figures.hung


@pytest.mark.matrix
def test_killed_hosts(site):
    """Guard against lost or recomputed streams when hosts are killed.

    Hosts are killed while streams are open, and each caller resumes at another host.
    """
    campaign = Campaign(
        site=site, requests=300, seed=SEED, only="host killed", tokens=(150, 300)
    )
    figures = campaign.run()
    print(figures.text())
    assert not figures.breaches
    assert not figures.hung
    assert figures.cut_streams
    assert figures.completed >= LEAST_COMPLETED * figures.cut_streams
    assert figures.recomputed <= MOST_RECOMPUTED * figures.cut_streams
