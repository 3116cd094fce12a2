"""Descriptions of exceptions omit their messages."""

from baobabwing.entry.parsing import parse_last_event
from baobabwing.reports.faults import describe_fault


def raised_by(call):
    try:
        call()
    except Exception as exc:
        return exc
    return None


def test_location_is_described_and_message_is_not():
    fault = describe_fault(raised_by(lambda: parse_last_event(7)))
    assert fault.startswith("TypeError at entry/parsing.py:") or fault.startswith(
        "AttributeError at entry/parsing.py:"
    )
    assert describe_fault(raised_by(lambda: int("secret"))) == "ValueError"
