"""The catalogue of events in the docs is that of the code."""

import re
from pathlib import Path

from baobabwing.reports.catalogue import load_all_events, render_catalogue
from baobabwing.reports.events import catalogue

ROOT = Path(__file__).parents[2]


def test_the_page_is_what_the_code_defines():
    assert (ROOT / "docs/EVENTS.md").read_text() == render_catalogue()


def test_every_event_is_defined_in_a_module_named_events():
    """An operator would meet a number that the page does not have.

    Events defined outside the modules named events are not found when the page
    is made.
    """
    inside = {
        path
        for path in (ROOT / "baobabwing").rglob("*.py")
        if re.search(r"^[A-Z_]+ = define\(", path.read_text(), re.MULTILINE)
    }
    assert {path.name for path in inside} == {"events.py"}


def test_names_and_numbers_are_unique():
    load_all_events()
    events = catalogue()
    assert len({event.name for event in events}) == len(events)
