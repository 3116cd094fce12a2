"""Tests of configuration documents: references, uniqueness, compression."""

import zlib
from pathlib import Path

import pytest

from baobabwing.exceptions import SettingsError
from baobabwing.settings.checker import FieldError
from baobabwing.settings.documents import (
    check_administrators,
    deflate,
    dump_configuration,
    inflate,
    parse_configuration,
)
from baobabwing.settings.loader import load_configuration

EXAMPLE = Path(__file__).parents[2] / "examples" / "tijera-unida.configuration.jsonc"


@pytest.fixture
def document():
    return dump_configuration(load_configuration(EXAMPLE))


def test_round_trip(document):
    cfg = parse_configuration(document)
    assert dump_configuration(cfg) == document
    assert inflate(deflate(cfg)) == cfg


@pytest.mark.parametrize(
    ("group", "index", "name", "value", "path"),
    [
        ("organisations", 0, "brand", "nobody", "organisations[0].brand"),
        ("credentials", 0, "organisation", "nobody", "credentials[0].organisation"),
        ("credentials", 1, "tier", "nobody", "credentials[1].tier"),
        ("upstreams", 2, "pool", "nobody", "upstreams[2].pool"),
        ("upstreams", 2, "address", "engine:1", "upstreams[2].address"),
        ("upstreams", 1, "address", "127.0.0.1:7101", "upstreams[1].address"),
        ("upstreams", 1, "state", "gone", "upstreams[1].state"),
        ("brands", 1, "name", "Tijera Clasica", "brands[1].name"),
        ("tiers", 3, "rank", 0, "tiers[3].rank"),
        ("tiers", 3, "objective", 1.5, "tiers[3].objective"),
        ("pools", 1, "models", ["assistant-1"], "pools[1].models"),
        ("pools", 0, "models", [], "pools[0].models"),
        ("credentials", 0, "sha256", "abc", "credentials[0].sha256"),
    ],
)
def test_invalid_fields(document, group, index, name, value, path):
    document[group][index][name] = value
    with pytest.raises(FieldError) as caught:
        parse_configuration(document)
    assert caught.value.path == path


def test_model_in_two_pools(document):
    document["pools"][1].update(kind="engine", models=["assistant-1"])
    with pytest.raises(FieldError, match="assistant"):
        parse_configuration(document)


@pytest.mark.parametrize("value", [None, [], 1, {"tiers": {}}, {"tiers": [None]}])
def test_invalid_structure(value):
    with pytest.raises(FieldError):
        parse_configuration(value)


def test_bytes_that_unpack_to_too_much(monkeypatch):
    """Guards against memory exhaustion by a small compressed message.

    A hostile or faulty peer answers a configuration query with a few kilobytes
    that decompress to gigabytes; each node that queries it would crash.
    """
    monkeypatch.setattr("baobabwing.settings.documents._MAX_DOCUMENT_BYTES", 10_000)
    with pytest.raises(SettingsError, match="too large"):
        inflate(zlib.compress(b" " * 1_000_000))


@pytest.mark.parametrize("data", [b"", b"no zlib", zlib.compress(b"{"), b"x\x9c"])
def test_invalid_bytes(data):
    with pytest.raises(SettingsError):
        inflate(data)


OPERATOR = {"name": "ana", "sha256": "a" * 64, "role": "admin"}


@pytest.mark.parametrize(
    ("operators", "path"),
    [
        ([OPERATOR, OPERATOR], "operators[1].name"),
        ([OPERATOR, {**OPERATOR, "name": "eva"}], "operators[1].sha256"),
        ([{**OPERATOR, "role": "owner"}], "operators[0].role"),
        ([{**OPERATOR, "sha256": "token"}], "operators[0].sha256"),
        ([{**OPERATOR, "brands": ["nobody's"]}], "operators[0].brands"),
    ],
)
def test_operators_are_checked(operators, path):
    with pytest.raises(FieldError) as caught:
        parse_configuration({"operators": operators})
    assert caught.value.path == path


def test_an_admin_of_all_brands_is_required():
    brand = [{"name": "own"}]
    confined = [{**OPERATOR, "brands": ["own"]}]
    cfg = parse_configuration({"brands": brand, "operators": confined})
    with pytest.raises(FieldError, match="no admin of all brands"):
        check_administrators(cfg)
    check_administrators(parse_configuration({"operators": [OPERATOR]}))
