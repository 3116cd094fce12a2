"""Tests of deltas: a peer with an older version receives only the changes."""

import dataclasses

import pytest

from baobabwing.brands.catalogue import Brand, Limits, Organisation
from baobabwing.exceptions import SettingsError
from baobabwing.pools.catalogue import Pool, PoolKind, Upstream
from baobabwing.settings.configuration import Configuration, LeavingHost
from baobabwing.settings.deltas import (
    DeltaLog,
    apply_deltas,
    make_delta,
    pack,
    unpack,
)

POOL = Pool(name="p", kind=PoolKind.ENGINE, models=("m",))


def upstream(number, **changes):
    return Upstream(
        name=f"u{number}", pool="p", address=f"127.0.0.1:{number}", **changes
    )


FIRST_VERSION = Configuration(
    version=1,
    brands=(Brand(name="b"),),
    organisations=(Organisation(name="o", brand="b"),),
    pools=(POOL,),
    upstreams=tuple(upstream(number) for number in range(1, 60)),
)
SECOND_VERSION = dataclasses.replace(
    FIRST_VERSION,
    version=2,
    author="ana",
    organisations=(Organisation(name="o", brand="b", limits=Limits(concurrency=3)),),
    upstreams=(*FIRST_VERSION.upstreams[1:], upstream(99)),
)
FOURTH_VERSION = dataclasses.replace(
    SECOND_VERSION, version=4, leaving_hosts=(LeavingHost(name="entry-1"),)
)


def test_delta_gives_the_new_version_and_shares_unchanged_groups():
    result = apply_deltas(
        FIRST_VERSION, unpack(pack([make_delta(FIRST_VERSION, SECOND_VERSION)]))
    )
    assert result == SECOND_VERSION
    assert result.pools is FIRST_VERSION.pools


def test_log_returns_a_gapless_chain_or_nothing():
    delta_log = DeltaLog()
    delta_log.note(FIRST_VERSION, SECOND_VERSION)
    delta_log.note(SECOND_VERSION, FOURTH_VERSION)
    assert apply_deltas(FIRST_VERSION, delta_log.between(1, 4)) == FOURTH_VERSION
    assert delta_log.between(2, 4)
    assert delta_log.between(3, 4) == ()
    assert delta_log.between(1, 3) == ()
    assert delta_log.between(0, 4) == ()


def test_delta_with_another_digest_or_base_is_refused():
    """Guards against applying a configuration that was never published.

    A delta does not carry the order of items, and it must not be applied to a
    version other than its base.
    """
    reordered = dataclasses.replace(
        SECOND_VERSION, upstreams=SECOND_VERSION.upstreams[::-1]
    )
    with pytest.raises(SettingsError):
        apply_deltas(FIRST_VERSION, [make_delta(FIRST_VERSION, reordered)])
    with pytest.raises(SettingsError):
        apply_deltas(SECOND_VERSION, [make_delta(FIRST_VERSION, SECOND_VERSION)])


@pytest.mark.parametrize("data", [b"", b"junk", pack([])[:-2]])
def test_invalid_bytes_are_refused(data):
    with pytest.raises(SettingsError):
        unpack(data)


def test_invalid_item_is_refused():
    delta = make_delta(FIRST_VERSION, SECOND_VERSION)
    groups = tuple(
        dataclasses.replace(group, changed=({"name": 3},)) for group in delta.groups
    )
    with pytest.raises(SettingsError):
        apply_deltas(FIRST_VERSION, [dataclasses.replace(delta, groups=groups)])
