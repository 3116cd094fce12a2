"""A configuration is compressed once for all queries."""

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

QUERYING_PEERS = 8


@pytest.fixture
def compressed_versions(monkeypatch):
    """The versions that were compressed, in order."""
    versions = []

    def record_and_deflate(cfg):
        versions.append(cfg.version)
        return deflate(cfg)

    monkeypatch.setattr(packing, "deflate", record_and_deflate)
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


def test_concurrent_queries_share_one_compression(compressed_versions):
    """Guards against one compression per querying peer.

    After a change of a large configuration, the first host that had it compressed
    it again for each peer. Waiting peers reached their timeout and all read from
    the store, so that some hosts applied the change seconds later than others.
    """
    keeper = ConfigurationKeeper()
    keeper.offer(Configuration(version=1), source="test")
    spreader = _spreader(keeper)
    barrier = threading.Barrier(QUERYING_PEERS)

    def query(number):
        barrier.wait()
        return spreader.answer(ConfigurationQuery(least=1)).document

    with ThreadPoolExecutor(QUERYING_PEERS) as pool:
        documents = set(pool.map(query, range(QUERYING_PEERS)))
    assert compressed_versions == [1]
    assert [inflate(document).version for document in documents] == [1]
    keeper.offer(Configuration(version=2), source="test")
    assert inflate(spreader.answer(ConfigurationQuery(least=1)).document).version == 2
    assert compressed_versions == [1, 2]


def test_received_document_is_forwarded_unchanged(compressed_versions):
    cfg = Configuration(version=3)
    cache = PackedConfiguration()
    cache.store(cfg, b"as it came")
    assert cache.document_of(cfg) == b"as it came"
    assert compressed_versions == []


def test_another_document_of_the_same_version_is_never_forwarded(compressed_versions):
    """Guards against sending peers a document that is not in force here.

    Two stores that were split from one may hold two documents with the same
    version.
    """
    in_force, other = (
        Configuration(version=3, author=name) for name in ("me", "other")
    )
    cache = PackedConfiguration()
    cache.store(other, deflate(other))
    assert inflate(cache.document_of(in_force)).author == "me"
