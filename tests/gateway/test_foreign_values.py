"""JSON that other programs wrote."""

import json

import pytest

from baobabwing.gateway import foreign_values

MANY = {
    "lists": b"[" + b"[]," * 500_000 + b"1]",
    "objects": b"[" + b"{}," * 500_000 + b"1]",
    "numbers": b"[" + b"0," * 500_000 + b"1]",
    "utf-16": ("[" + "0," * 500_000 + "1]").encode("utf-16"),
    "open": b"[" * 500_000,
}


@pytest.mark.parametrize("data", MANY.values(), ids=MANY)
def test_values_that_would_fill_the_memory_are_refused(data):
    with pytest.raises(foreign_values.TooManyValuesError):
        foreign_values.load_json(data)
    with pytest.raises(foreign_values.TooManyValuesError):
        foreign_values.load_object(b'{"a": ' + data + b"}")


def test_list_of_the_largest_fleet_is_read():
    row = {f"field_{number}": number for number in range(12)}
    rows = {f"i-{number:08x}": row for number in range(6600)}
    assert foreign_values.load_object(json.dumps(rows).encode()) == rows


@pytest.mark.parametrize("error", [MemoryError(), RecursionError()])
def test_document_that_can_not_be_decoded_is_refused(monkeypatch, error):
    def fail(*args, **kwargs):
        raise error

    monkeypatch.setattr(foreign_values.json, "loads", fail)
    with pytest.raises(ValueError):
        foreign_values.load_json(b"{}")
    with pytest.raises(ValueError):
        foreign_values.load_object(b"{}")
