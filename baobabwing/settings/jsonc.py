"""JSON with comments and trailing commas, with the line of every field."""

from __future__ import annotations

import json
import re
from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass
from json.decoder import scanstring

from baobabwing.exceptions import SettingsError

__all__ = ["Document", "read_document", "strip_comments"]

_STRING_OR_COMMENT = re.compile(
    r'"(?:\\.|[^"\\\n])*"|//[^\n]*|/\*.*?\*/|/\*', re.DOTALL
)
_STRING_OR_COMMA = re.compile(r'"(?:\\.|[^"\\\n])*"|,(?=\s*[}\]])', re.DOTALL)
_SPACE = re.compile(r"\s*")
_SCALAR = re.compile(r"[^\s,\]}]+")
_NO_VALUE_BEFORE = "[{,:"


@dataclass(frozen=True, kw_only=True)
class Document:
    """A parsed document.

    :param value: what the text stands for.
    :param lines: line, from 1, of each field by its path, such as
        ``"pools[0].name"``; the whole document is the empty path.
    """

    value: object
    lines: dict[str, int]

    def line_of(self, path: str) -> int:
        """Return the line of a field, or of the nearest one that encloses it."""
        while path not in self.lines:
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return self.lines[path]


def strip_comments(text: str) -> str:
    """Replace comments and trailing commas by blanks of the same length.

    Line breaks stay, so that a position in the result is one in the source.

    :raises SettingsError: if a block comment is not closed.
    """

    def blank_comment(found: re.Match[str]) -> str:
        token = found.group()
        if token.startswith('"'):
            return token
        if token == "/*":
            line = text.count("\n", 0, found.start()) + 1
            raise SettingsError(f"line {line}: comment is not closed", step="settings")
        return re.sub(r"[^\n]", " ", token)

    plain = _STRING_OR_COMMENT.sub(blank_comment, text)

    def blank_comma(found: re.Match[str]) -> str:
        before = plain[: found.start()].rstrip()[-1:]
        if found.group() == "," and before and before not in _NO_VALUE_BEFORE:
            return " "
        return found.group()

    return _STRING_OR_COMMA.sub(blank_comma, plain)


def read_document(text: str) -> Document:
    """Parse JSON with comments.

    :param text: the whole document.
    :returns: the value and the line of each of its fields.
    :raises SettingsError: if the text is malformed, names a field twice or is
        nested too deeply; the message starts with the line.
    """
    plain = strip_comments(text)
    try:
        value = json.loads(plain, parse_constant=_refuse_constant)
        lines = dict(_walk_document(plain))
    except json.JSONDecodeError as exc:
        raise SettingsError(f"line {exc.lineno}: {exc.msg}", step="settings") from exc
    except RecursionError as exc:
        raise SettingsError("line 1: nested too deeply", step="settings") from exc
    return Document(value=value, lines=lines)


def _refuse_constant(word: str) -> float:
    raise SettingsError(f"line 1: {word} is not a number in JSON", step="settings")


def _walk_document(plain: str) -> Iterator[tuple[str, int]]:
    seen: dict[str, int] = {}
    breaks = [found.start() for found in re.finditer("\n", plain)]
    for path, position in _walk(plain, _SPACE.match(plain).end(), "", [0]):
        line = _line_at(breaks, position)
        if path in seen:
            raise SettingsError(
                f"line {line}: {path} is there twice, first in line {seen[path]}",
                step="settings",
            )
        seen[path] = line
        yield path, line


def _line_at(breaks: list[int], position: int) -> int:
    return bisect_left(breaks, position) + 1


def _walk(text: str, at: int, path: str, end: list[int]) -> Iterator[tuple[str, int]]:
    """Yield path and position of each value; the text is known to be valid."""
    yield path, at
    if text[at] == "{":
        yield from _walk_object(text, at, path, end)
    elif text[at] == "[":
        yield from _walk_array(text, at, path, end)
    elif text[at] == '"':
        end[0] = scanstring(text, at + 1)[1]
    else:
        end[0] = _SCALAR.match(text, at).end()


def _walk_object(
    text: str, at: int, path: str, end: list[int]
) -> Iterator[tuple[str, int]]:
    at = _skip(text, at + 1)
    while text[at] != "}":
        name, at = scanstring(text, at + 1)
        at = _skip(text, _skip(text, at) + 1)
        yield from _walk(text, at, f"{path}.{name}" if path else name, end)
        at = _skip_comma(text, end[0])
    end[0] = at + 1


def _walk_array(
    text: str, at: int, path: str, end: list[int]
) -> Iterator[tuple[str, int]]:
    at = _skip(text, at + 1)
    index = 0
    while text[at] != "]":
        yield from _walk(text, at, f"{path}[{index}]", end)
        at = _skip_comma(text, end[0])
        index += 1
    end[0] = at + 1


def _skip(text: str, at: int) -> int:
    return _SPACE.match(text, at).end()


def _skip_comma(text: str, at: int) -> int:
    at = _skip(text, at)
    return _skip(text, at + 1) if text[at] == "," else at
