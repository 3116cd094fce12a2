"""The versions of a pool's upstreams, as stored for nodes that start."""

import pytest

from baobabwing.gateway.decisions.stored_software import (
    HeldVersions,
    decode_software,
    decode_stored_versions,
    encode_software,
    encode_stored_versions,
)
from baobabwing.gateway.decisions.stream_origins import (
    SOFTWARE_KEPT_S,
    SoftwareHistory,
    software_crc,
)

VALUE = {"listed": ["v2"], "gone": {"v1": 100.0}, "since_s": 10.0}


def test_version_that_is_gone_counts_for_a_while():
    stored = decode_software("engines", VALUE)
    assert encode_software(stored) == VALUE
    assert stored.recent(100.0 + SOFTWARE_KEPT_S - 1.0) == {"v1", "v2"}
    assert stored.recent(100.0 + SOFTWARE_KEPT_S + 1.0) == {"v2"}


def test_change_keeps_the_versions_that_have_just_gone():
    stored = decode_software("engines", VALUE).successor(frozenset({"v3"}), 110.0)
    assert (stored.listed, stored.gone) == ({"v3"}, {"v1": 100.0, "v2": 110.0})
    later = stored.successor(frozenset({"v2"}), 110.0 + SOFTWARE_KEPT_S)
    assert (later.listed, later.gone) == ({"v2"}, {"v3": 110.0 + SOFTWARE_KEPT_S})
    assert later.since_s == 10.0


@pytest.mark.parametrize(
    "value",
    [
        None,
        [],
        {},
        VALUE | {"listed": [1]},
        VALUE | {"gone": {"v1": "now"}},
        VALUE | {"gone": []},
        VALUE | {"since_s": True},
    ],
)
def test_unreadable_rows_are_errors(value):
    with pytest.raises((KeyError, TypeError, ValueError)):
        decode_software("engines", value)


@pytest.mark.parametrize(
    ("listed", "store_s", "sole"),
    [
        ("v2", 100.0 + SOFTWARE_KEPT_S + 1.0, "v2"),
        ("v2", 101.0, None),
        ("v3", 500.0, None),
    ],
)
def test_node_that_starts_knows_what_was_stored(listed, store_s, sole):
    """All nodes were killed: none remembers what served just before."""
    stored = decode_software("engines", VALUE)
    history = SoftwareHistory()
    history.set_listed([listed], 5.0)
    history.restore(stored.recent(store_s), store_s - stored.since_s, 5.0)
    assert history.needs_records(5.0) == (sole is None)
    if sole is not None:
        assert history.view(5.0).sole == software_crc(sole)


OLD, NEW, BOTH = frozenset({"v1"}), frozenset({"v2"}), frozenset({"v1", "v2"})


@pytest.mark.parametrize(
    ("serving", "stored", "is_held"),
    [
        (BOTH, OLD, True),
        (BOTH, BOTH, False),
        (BOTH, frozenset(), False),
        (NEW, OLD, False),
    ],
)
def test_version_is_held_until_it_is_stored(serving, stored, is_held):
    """Streams began at versions that nodes which start later can't know of."""
    held = HeldVersions()
    held.update(BOTH, serving, stored, 1.0)
    assert ("v2" in held) == is_held
    assert "v1" not in held


def test_version_that_can_not_be_stored_is_not_held_for_ever():
    held = HeldVersions()
    held.update(BOTH, BOTH, OLD, 1.0)
    assert held.update(BOTH, BOTH, OLD, held.release_at - 0.1) == set()
    assert held.update(BOTH, BOTH, OLD, held.release_at) == NEW
    held.update(BOTH, BOTH, OLD, 9.0)
    assert not held


def test_version_is_held_again_when_it_returns():
    held = HeldVersions()
    held.update(BOTH, BOTH, BOTH, 1.0)
    held.update(OLD, OLD, OLD, 20.0)
    held.update(BOTH, BOTH, OLD, 60.0)
    assert "v2" in held


@pytest.mark.parametrize("data", [b"", b"[]", b'{"a": "v1"}', b'{"a": [1]}'])
def test_unreadable_versions_of_a_peer_are_errors(data):
    with pytest.raises(ValueError):
        decode_stored_versions(data)
    versions = {"engines": frozenset({"v1", "v2"}), "none": frozenset()}
    assert decode_stored_versions(encode_stored_versions(versions)) == versions
