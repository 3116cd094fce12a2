"""Fixtures that build requests and placements."""

import pytest

from baobabwing.requests.request import Placement, Request, RequestFacts


@pytest.fixture
def make_request():
    def make(number=1, *, key="", organisation="salon"):
        return Request(
            facts=RequestFacts(
                request_id=f"req-{number}",
                key=key,
                brand="tijera",
                organisation=organisation,
                tier="chat",
                tier_rank=0,
                pool="assistant",
                prompt_tokens=4,
                output_tokens=8,
                deadline=100.0,
            )
        )

    return make


@pytest.fixture
def make_placement():
    def make(upstream="engine-1", cell="assistant/0"):
        return Placement(
            upstream=upstream, address="127.0.0.1:1", attempt_id="a", cell=cell
        )

    return make
