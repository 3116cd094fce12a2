"""A short run of the soak, and the seeds that ever failed in it."""

import asyncio

import pytest

from tests.platform_adapter.soak.run import Soak
from tests.platform_adapter.soak.seeds import FAILED_ONCE


@pytest.mark.parametrize("seed", [1, 10_001, 10_202, *FAILED_ONCE])
def test_promises_hold_under_faults(tmp_path, seed):
    """Nodes, paths, the store and workers fail in a drawn series; see the soak."""
    soak = Soak(seed=seed, folder=tmp_path)
    wrong = asyncio.run(soak.run())
    assert wrong == [], "\n".join(soak.faults)
    assert soak.records.outcomes["stream served"] > 50
