"""The reference pages in the docs are those of the code."""

import re
from pathlib import Path

import pytest

from baobabwing.gateway.metrics import GatewayMetrics
from baobabwing.reports.metrics import NodeMetrics
from baobabwing.reports.reference import PAGES

ROOT = Path(__file__).parents[2]
ROW = re.compile(r"^\| `([^`]+)` \|(.*)\|$", re.MULTILINE)


def rows(page):
    return {name: cells.split(" | ") for name, cells in ROW.findall(page)}


@pytest.mark.parametrize("name", sorted(PAGES))
def test_the_page_is_what_the_code_defines(name):
    page = (ROOT / f"docs/operators/{name}.md").read_text()
    assert page == PAGES[name]()


def test_every_setting_has_a_meaning():
    """An operator finds a field in the page and reads nothing on it.

    A field was added without a line in its class's docstring.
    """
    found = rows(PAGES["settings"]())
    assert {"peer_secrets", "limits.body_bytes", "operators[].brands"} <= set(found)
    assert not [name for name, cells in found.items() if not cells[-1].strip()]


def test_every_metric_that_a_node_offers_is_listed():
    """A node offers a series that the page does not name."""
    text = NodeMetrics().render() + GatewayMetrics().render()
    offered = re.findall(r"^# HELP (\S+) ", text.decode(), re.M)
    listed = rows(PAGES["metrics"]())
    assert [name for name in offered if not name.endswith("_created")] == list(listed)
