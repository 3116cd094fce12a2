"""Rows of the platform's store, decoded."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

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
    cfg = documents.decode_configuration(CONFIG)
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
    cfg = documents.decode_configuration(CONFIG)
    assert cfg.routes[0].patience_s == 4.0
    slow = {**ROUTE, "target_latency_ms": 2000}
    cfg = documents.decode_configuration({**CONFIG, "routes": [slow]})
    assert cfg.routes[0].patience_s == 8.0


def test_split_by_weight():
    split = {
        **ROUTE,
        "split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
    }
    cfg = documents.decode_configuration({**CONFIG, "routes": [split]})
    assert [(one.pool, one.weight) for one in cfg.routes[0].targets] == [
        ("a", 90.0),
        ("b", 10.0),
    ]


def test_without_organisations_no_key_is_needed():
    cfg = documents.decode_configuration(
        {key: value for key, value in CONFIG.items() if key != "tenants"}
    )
    assert not cfg.keys_required


def test_keys_are_not_shown():
    assert "k1" not in repr(documents.decode_configuration(CONFIG))


@pytest.mark.parametrize(
    "value",
    [
        {},
        {**CONFIG, "version": "seven"},
        {**CONFIG, "routes": [{**ROUTE, "kind": "other"}]},
        {**CONFIG, "routes": None},
        {**CONFIG, "routes": [["r-1"]]},
        {**CONFIG, "limits": [1]},
        [],
        None,
    ],
)
def test_unreadable_configuration_is_an_error_of_its_own(value):
    with pytest.raises(ConfigurationError):
        documents.decode_configuration(value)


def test_worker():
    entry = documents.decode_upstream(
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


WORKER = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
    "born": 1_790_000_000_123,
}


def test_start_is_part_of_what_an_upstream_is():
    """A worker starts again under its key: another incarnation of the same name."""
    first = documents.decode_upstream("i-1", WORKER)
    again = documents.decode_upstream("i-1", {**WORKER, "born": WORKER["born"] + 1})
    assert first.name == again.name == "i-1"
    assert first.instance != again.instance


TEXT = st.text("a1é ", max_size=3)
NUMBERS = st.one_of(
    TEXT,
    st.booleans(),
    st.none(),
    st.floats(),
    st.integers(max_value=-1),
    st.integers(min_value=1 << 70),
    st.lists(st.integers(), max_size=2),
)
NO_TEXT = st.one_of(st.integers(), st.none(), st.booleans(), st.just(""), st.just([]))
WRONG = {
    "service": NO_TEXT,
    "zone": NO_TEXT,
    "address": st.one_of(
        NO_TEXT,
        st.sampled_from(
            ["10.0.0.1", "x:80", "10.0.0.1:0", "10.0.0.1:99999", ":", "10.0.0.1:8x"]
        ),
    ),
    "state": st.one_of(NO_TEXT, st.sampled_from(["gone", "READY", "starting"])),
    "slots": st.one_of(NUMBERS, st.just(0)),
    "sequence": NUMBERS,
    "born": st.one_of(NUMBERS, st.just(0)),
}


@st.composite
def foreign_rows(draw):
    """Return what another writer may have left under a key."""
    how = draw(st.sampled_from(["field", "missing", "other"]))
    if how == "other":
        return draw(st.one_of(st.none(), TEXT, st.lists(st.none()), st.just({})))
    field = draw(st.sampled_from(sorted(WRONG)))
    row = dict(WORKER)
    if how == "missing":
        del row[field]
    else:
        row[field] = draw(WRONG[field])
    return row


@settings(derandomize=True, max_examples=300)
@given(st.dictionaries(st.integers(0, 30), foreign_rows(), max_size=8))
def test_rows_of_other_writers_name_no_upstream(foreign):
    """Somebody else writes into the table of the workers.

    A row that is not as a worker writes it is passed over; all others hold.
    """
    sound = {f"i-{number}": WORKER for number in range(10)}
    rows = {**sound, **{f"x-{number}": row for number, row in foreign.items()}}
    found = documents.UpstreamDecoder().decode(rows)
    assert {entry.name for entry in found.entries} == set(sound)
    assert set(found.unreadable) == rows.keys() - sound.keys()


def test_rows_that_changed_are_decoded_anew():
    decoder = documents.UpstreamDecoder()
    row = {**WORKER, "slots": 1}
    assert decoder.decode({"i-1": row}).entries[0].slots == 1
    assert decoder.decode({"i-1": {**row, "slots": 2}}).entries[0].slots == 2
    assert decoder.decode({"i-1": {**row, "slots": True}}).entries == ()
    assert decoder.decode({"i-1": row}).unreadable == {}
    assert decoder.decode({"i-1": {**row, "slots": 1.0}}).entries == ()
    assert decoder.decode({}).entries == ()


def test_rows_that_stay_are_decoded_once(monkeypatch):
    """Workers register one after the other, and each time the whole list comes."""
    decoded = []
    decode = documents.decode_upstream

    def note(name, value):
        decoded.append(name)
        return decode(name, value)

    monkeypatch.setattr(documents, "decode_upstream", note)
    decoder = documents.UpstreamDecoder()
    for count in range(1, 41):
        rows = {f"i-{n}": {**WORKER, "sequence": n} for n in range(count)}
        assert len(decoder.decode(rows).entries) == count
    assert len(decoded) == 40
