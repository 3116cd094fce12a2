"""The documented catalogue of events matches the code."""

import re
from pathlib import Path

from baobabwing.reports.catalogue import load_all_events, render_catalogue
from baobabwing.reports.events import catalogue

ROOT = Path(__file__).parents[2]


def test_page_matches_the_code():
    assert (ROOT / "docs/EVENTS.md").read_text() == render_catalogue()


def test_every_event_is_defined_in_a_module_named_events():
    """Every event number in the logs must be listed on the page.

    Events defined outside modules named events are missed when the page is
    generated.
    """
    defining_files = {
        path
        for path in (ROOT / "baobabwing").rglob("*.py")
        if re.search(r"^[A-Z_]+ = define\(", path.read_text(), re.MULTILINE)
    }
    assert {path.name for path in defining_files} == {"events.py"}


def test_names_and_numbers_are_unique():
    load_all_events()
    events = catalogue()
    assert len({event.name for event in events}) == len(events)
