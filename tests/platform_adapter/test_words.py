"""The platform's names stay in its folder."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
WORDS = (
    r"X-Baobabwing-",
    r"x-baobabwing-",
    r"rows-(get|tx|feed|parts)",
    r"blob-(put|get|drop|list)",
    r"BAOBABWING_SETTINGS",
    r"api_keys",
    r"plain_tokens",
    r"gap_aim_ms",
    r"max_attempts",
    r"cold_remaining_ms",
    r"baobabwing_platform",
    r"\btenants?\b",
    r"fleetbench",
)


@pytest.mark.parametrize("word", WORDS)
def test_no_name_of_the_platform_outside_its_folder(word):
    found = [
        f"{path.relative_to(ROOT)}:{number}"
        for path in sorted((ROOT / "baobabwing").rglob("*.py"))
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if re.search(word, line)
    ]
    assert found == []


def test_folder_stays_small():
    lines = sum(
        len(path.read_text().splitlines()) for path in (ROOT / "platform").rglob("*.py")
    )
    assert lines < 2500


def test_folder_hides_no_module_of_the_standard_library():
    """The folder is called like a module of the standard library.

    As a package it would be imported in its place by every library that asks
    for it.
    """
    assert not (ROOT / "platform" / "__init__.py").exists()
    import platform

    assert platform.python_version()
