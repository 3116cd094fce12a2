"""Tests of settings files: comments, line numbers, ranges and unknown fields."""

from pathlib import Path

import pytest

from baobabwing.exceptions import SettingsError
from baobabwing.settings.checker import FieldError, is_address
from baobabwing.settings.jsonc import read_document
from baobabwing.settings.loader import load_file, load_settings

EXAMPLES = Path(__file__).parents[2] / "examples"
NODE_SETTINGS = """{
  // a comment with "quotes" and a /* start
  "name": "entry-1", "region": "r", "zone": "a",
  "http": "127.0.0.1:8001", /* two
  lines */ "peer": "127.0.0.1:9001",
  "platform_url": "http://127.0.0.1:7001", // kept: "//"
  "peer_secrets": ["0123456789abcdef",],
  "limits": {
    "connections": 5,
  },
}
"""


def load(tmp_path, text):
    path = tmp_path / "node.jsonc"
    path.write_text(text)
    return load_settings(path)


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.jsonc")), ids=lambda p: p.name)
def test_examples_are_valid(path):
    assert load_file(path)


def test_comments_and_trailing_commas(tmp_path):
    cfg = load(tmp_path, NODE_SETTINGS)
    assert cfg.platform_url == "http://127.0.0.1:7001"
    assert (cfg.limits.connections, cfg.limits.worker_threads) == (5, 640)


@pytest.mark.parametrize(
    ("old", "new", "line", "path", "allowed"),
    [
        ('"connections": 5', '"connections": 0', 9, "limits.connections", "at least 1"),
        ('"connections": 5', '"connection": 5', 9, "limits.connection", "connections"),
        ('"connections": 5', '"connections": true', 9, "limits.connections", "whole"),
        ("127.0.0.1:9001", "localhost:9001", 5, "peer", "IP number"),
        ("0123456789abcdef", "short", 7, "peer_secrets[0]", "16 characters"),
        ('["0123456789abcdef",]', "[]", 7, "peer_secrets", "at least 1"),
        ('"name": "entry-1", ', "", 1, "name", "a value"),
        ('"zone": "a"', '"zone": "a", "log_level": "loud"', 3, "log_level", "debug"),
        ("127.0.0.1:9001", "127.0.0.1:8001", 5, "peer", "http"),
    ],
)
def test_invalid_field_is_named_with_its_line(tmp_path, old, new, line, path, allowed):
    with pytest.raises(FieldError) as caught:
        load(tmp_path, NODE_SETTINGS.replace(old, new))
    exc = caught.value
    assert (exc.line, exc.path) == (line, path)
    assert allowed in exc.allowed
    assert f"node.jsonc:{line}: {path}" in str(exc)


def test_secrets_are_not_shown(tmp_path):
    with pytest.raises(FieldError) as caught:
        load(tmp_path, NODE_SETTINGS.replace("0123456789abcdef", "hunter2"))
    assert "hunter2" not in str(caught.value)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('{\n"a": 1,\n"a": 2}', "line 3: duplicate field a, first in line 2"),
        ('{\n"a": [,]}', "line 2"),
        ("{\n/* open", "line 2: comment is not closed"),
        ('{"a": NaN}', "NaN"),
        ('{"a"\n: 1 "b"}', "line 2"),
        ("[" * 100_000, "line 1"),
        ("", "line 1"),
    ],
)
def test_malformed_text(text, message):
    with pytest.raises(SettingsError, match=message):
        read_document(text)


def test_positions_of_nested_fields():
    document = read_document('[\n{"a": [1,\n"x,]//"]},\n]')
    assert document.value == [{"a": [1, "x,]//"]}]
    assert document.lines["[0].a[1]"] == 3


def test_environment_is_not_read(tmp_path, monkeypatch):
    monkeypatch.setenv("BAOBABWING_LOG_LEVEL", "debug")
    monkeypatch.setenv("LOG_LEVEL", "debug")
    assert load(tmp_path, NODE_SETTINGS).log_level == "info"


@pytest.mark.parametrize(
    ("text", "is_valid"),
    [
        ("10.0.0.1:80", True),
        ("[::1]:80", True),
        ("::1:80", False),
        ("10.0.0.1", False),
        ("10.0.0.1:0", False),
        ("10.0.0.1:65536", False),
        ("[10.0.0.1]:80", False),
        ("host:80", False),
    ],
)
def test_addresses(text, is_valid):
    assert is_address(text) is is_valid
