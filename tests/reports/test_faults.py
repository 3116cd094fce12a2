"""Faults are told without the text that they carry."""

from baobabwing.entry.parsing import parse_last_event
from baobabwing.reports.faults import describe_fault


def caught(run):
    try:
        run()
    except Exception as exc:
        return exc
    return None


def test_the_place_is_told_and_the_text_is_not():
    fault = describe_fault(caught(lambda: parse_last_event(7)))
    assert fault.startswith("TypeError at entry/parsing.py:") or fault.startswith(
        "AttributeError at entry/parsing.py:"
    )
    assert describe_fault(caught(lambda: int("secret"))) == "ValueError"
