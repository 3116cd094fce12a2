"""The documented reference pages match the code."""

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
def test_page_matches_the_code(name):
    page = (ROOT / f"docs/operators/{name}.md").read_text()
    assert page == PAGES[name]()


def test_every_setting_has_a_meaning():
    """Every setting on the page must have a description.

    Guards against a field added without a line in its class's docstring.
    """
    settings = rows(PAGES["settings"]())
    assert {"peer_secrets", "limits.body_bytes", "operators[].brands"} <= set(settings)
    assert not [name for name, cells in settings.items() if not cells[-1].strip()]


def test_every_metric_that_a_node_exposes_is_listed():
    """Every series that a node or gateway exposes must be listed on the page."""
    text = NodeMetrics().render() + GatewayMetrics().render()
    exposed = re.findall(r"^# HELP (\S+) ", text.decode(), re.M)
    listed = rows(PAGES["metrics"]())
    assert [name for name in exposed if not name.endswith("_created")] == list(listed)
