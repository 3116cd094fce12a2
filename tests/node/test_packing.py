"""A configuration is packed once, whoever asks for it."""

import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from baobabwing.node import packing
from baobabwing.node.packing import PackedConfiguration
from baobabwing.node.spread import ConfigurationSpreader
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.documents import deflate, inflate
from baobabwing.settings.keeper import ConfigurationKeeper
from baobabwing.wire.messages import ConfigurationQuery

ASKERS = 8


@pytest.fixture
def packed(monkeypatch):
    """Return the versions that were packed, in order."""
    versions = []

    def counted(cfg):
        versions.append(cfg.version)
        return deflate(cfg)

    monkeypatch.setattr(packing, "deflate", counted)
    return versions


def _spreader(keeper):
    return ConfigurationSpreader(
        me=None,
        keeper=keeper,
        tables=None,
        peers=None,
        view=None,
        on_heard_platform=lambda: None,
    )


def test_peers_that_ask_at_one_time_wait_for_one_packing(packed):
    """An operator changes one line of a large configuration and some hosts follow
    seconds later than others: the first host that had it packed it anew for each
    peer, those that waited ran out of time and turned to the store together."""
    keeper = ConfigurationKeeper()
    keeper.offer(Configuration(version=1), source="test")
    spreader = _spreader(keeper)
    together = threading.Barrier(ASKERS)

    def ask(number):
        together.wait()
        return spreader.answer(ConfigurationQuery(least=1)).document

    with ThreadPoolExecutor(ASKERS) as pool:
        documents = set(pool.map(ask, range(ASKERS)))
    assert packed == [1]
    assert [inflate(one).version for one in documents] == [1]
    keeper.offer(Configuration(version=2), source="test")
    assert inflate(spreader.answer(ConfigurationQuery(least=1)).document).version == 2
    assert packed == [1, 2]


def test_what_came_packed_is_handed_on_as_it_came(packed):
    cfg = Configuration(version=3)
    kept = PackedConfiguration()
    kept.store(cfg, b"as it came")
    assert kept.document_of(cfg) == b"as it came"
    assert packed == []


def test_another_document_of_the_same_version_is_never_handed_on(packed):
    """Two stores that were once one may hold two documents of one version; a host
    must hand on the one that it follows itself."""
    mine, other = (Configuration(version=3, author=name) for name in ("me", "other"))
    kept = PackedConfiguration()
    kept.store(other, deflate(other))
    assert inflate(kept.document_of(mine)).author == "me"
