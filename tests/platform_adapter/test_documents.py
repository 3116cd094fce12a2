"""Rows of the platform's store, decoded."""

import pytest

from baobabwing.exceptions import ConfigurationError
from baobabwing.gateway.model import QuotaUnit, RouteKind
from baobabwing_platform import documents

ROUTE = {
    "name": "r-1",
    "host": "h.example",
    "prefix": "/a/",
    "kind": "stream",
    "timeout_ms": 8000,
    "target_latency_ms": 800,
    "gap_aim_ms": 500,
    "priority": 2,
    "service": "engines",
    "max_attempts": 2,
    "resumable": True,
    "public": False,
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {
            "name": "engines",
            "health_path": "/health",
            "max_connections": 610,
            "engine": {"slots": 8, "kv_tokens": 219916, "stride": 3},
        }
    ],
    "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
    "tenants": [
        {
            "name": "t",
            "api_keys": ["k1", "k2"],
            "priority": 1,
            "unit": "tokens",
            "plain_tokens": 200,
            "rate_per_s": 84892,
            "burst": 84892,
        }
    ],
}


def test_configuration_in_the_products_terms():
    cfg = documents.configuration(CONFIG)
    (route,) = cfg.routes
    assert (cfg.version, cfg.keys_required) == (7, True)
    assert route.kind is RouteKind.STREAM
    assert (route.timeout_s, route.objective_s, route.gap_objective_s) == (8, 0.8, 0.5)
    assert (route.rank, route.attempts, route.repeatable) == (2, 2, True)
    assert [one.pool for one in route.targets] == ["engines"]
    assert cfg.pools[0].engine.tokens_per_event == 3
    (organisation,) = cfg.organisations
    assert organisation.unit is QuotaUnit.TOKENS
    assert (organisation.rank, organisation.plain_units) == (1, 200)
    assert cfg.limits.idle_timeout_s == 15.0


def test_patience_is_the_longest_of_the_callers_waits():
    """Callers leave a stream after 2 s, four objectives or eight pauses."""
    cfg = documents.configuration(CONFIG)
    assert cfg.routes[0].patience_s == 4.0
    slow = {**ROUTE, "target_latency_ms": 2000}
    cfg = documents.configuration({**CONFIG, "routes": [slow]})
    assert cfg.routes[0].patience_s == 8.0


def test_split_by_weight():
    split = {
        **ROUTE,
        "split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
    }
    cfg = documents.configuration({**CONFIG, "routes": [split]})
    assert [(one.pool, one.weight) for one in cfg.routes[0].targets] == [
        ("a", 90.0),
        ("b", 10.0),
    ]


def test_without_organisations_no_key_is_needed():
    cfg = documents.configuration(
        {key: value for key, value in CONFIG.items() if key != "tenants"}
    )
    assert not cfg.keys_required


def test_keys_are_not_shown():
    assert "k1" not in repr(documents.configuration(CONFIG))


@pytest.mark.parametrize(
    "value",
    [
        {},
        {**CONFIG, "version": "seven"},
        {**CONFIG, "routes": [{**ROUTE, "kind": "other"}]},
        {**CONFIG, "routes": None},
    ],
)
def test_unreadable_configuration_is_an_error_of_its_own(value):
    with pytest.raises(ConfigurationError):
        documents.configuration(value)


def test_worker():
    entry = documents.upstream(
        "i-1",
        {
            "service": "s",
            "address": "10.0.0.1:80",
            "zone": "z",
            "slots": 6,
            "state": "draining",
            "sequence": 4,
        },
    )
    assert (entry.pool, entry.slots, entry.draining) == ("s", 6, True)
