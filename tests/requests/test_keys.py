"""Parsing of bound and caller-chosen idempotency keys."""

import pytest

from baobabwing.requests.keys import key_prefix, parse_bound_key


def test_round_trip():
    prefix = key_prefix(node="node-1", incarnation=2**63, now_s=1_700_000_000.9)
    bound = parse_bound_key(prefix + "a.b.c")
    assert (bound.node, bound.incarnation, bound.issued_s) == (
        "node-1",
        2**63,
        1_700_000_000,
    )


@pytest.mark.parametrize(
    "key",
    ["", "booking-7", "bw1.", "bw1.n.ff.10.", "bw1.n.xyz.10.k", "bw2.n.ff.10.k"],
)
def test_callers_own_keys(key):
    assert parse_bound_key(key) is None
