"""Restricted metrics, which name all brands, need an operator of all brands."""

from types import SimpleNamespace

import pytest
import urllib3

import baobabwing.entry.operations  # noqa: F401, I001  (registers the routes)
from baobabwing.bench.ports import free_port
from baobabwing.brands.catalogue import Brand
from baobabwing.brands.operators import Operator, Role, token_digest
from baobabwing.entry.context import Catalogue
from baobabwing.entry.server import EntryServer
from baobabwing.reports.metrics import NodeMetrics
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.schema import NodeLimits


@pytest.fixture
def context():
    operators = tuple(
        Operator(name=name, sha256=token_digest(name), role=Role.VIEWER, brands=brands)
        for name, brands in (("ana", ()), ("desk", ("b",)))
    )
    cfg = Configuration(version=1, brands=(Brand(name="b"),), operators=operators)
    limits = NodeLimits(worker_threads=2, connections=10)
    settings = SimpleNamespace(
        http=f"127.0.0.1:{free_port()}", limits=limits, open_metrics=False
    )
    return SimpleNamespace(
        settings=settings, metrics=NodeMetrics(), catalogue=Catalogue(cfg=cfg)
    )


@pytest.fixture
def scrape(context):
    entry = EntryServer(context=context)
    entry.start()

    def get(token=None):
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        url = f"http://{context.settings.http}/metrics"
        return urllib3.request("GET", url, headers=headers, retries=False)

    yield get
    entry.stop()


def test_restricted_metrics_require_an_operator_of_all_brands(scrape):
    answers = {token: scrape(token) for token in (None, "nobody", "desk", "ana")}
    assert [answer.status for answer in answers.values()] == [401, 401, 403, 200]
    assert b"baobabwing_members" not in answers["desk"].data
    assert b"baobabwing_serving_members" in answers["ana"].data


def test_restricted_metrics_are_refused_without_a_configuration(scrape, context):
    context.catalogue = None
    assert scrape("ana").status == 503


def test_open_metrics_need_no_token(scrape, context):
    context.settings.open_metrics = True
    assert scrape().status == 200
