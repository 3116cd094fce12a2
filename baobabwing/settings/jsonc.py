"""JSON with comments and trailing commas; records the line of every field."""

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
_WHITESPACE = re.compile(r"\s*")
_SCALAR = re.compile(r"[^\s,\]}]+")
_NO_VALUE_BEFORE = "[{,:"


@dataclass(frozen=True, kw_only=True)
class Document:
    """A parsed document.

    :param value: the parsed value.
    :param lines: line number, from 1, of each field by its path, such as
        ``"pools[0].name"``; the whole document has the empty path.
    """

    value: object
    lines: dict[str, int]

    def line_of(self, path: str) -> int:
        """Return the line of a field, or of the innermost field that encloses it."""
        while path not in self.lines:
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return self.lines[path]


def strip_comments(text: str) -> str:
    """Replace comments and trailing commas by blanks of the same length.

    Line breaks stay, so that positions in the result match those in the source.

    :raises SettingsError: if a block comment is not closed.
    """

    def blank_comment(match: re.Match[str]) -> str:
        token = match.group()
        if token.startswith('"'):
            return token
        if token == "/*":
            line = text.count("\n", 0, match.start()) + 1
            raise SettingsError(f"line {line}: comment is not closed", step="settings")
        return re.sub(r"[^\n]", " ", token)

    without_comments = _STRING_OR_COMMENT.sub(blank_comment, text)

    def blank_comma(match: re.Match[str]) -> str:
        before = without_comments[: match.start()].rstrip()[-1:]
        if match.group() == "," and before and before not in _NO_VALUE_BEFORE:
            return " "
        return match.group()

    return _STRING_OR_COMMA.sub(blank_comma, without_comments)


def read_document(text: str) -> Document:
    """Parse JSON with comments.

    :param text: the whole document.
    :returns: the value and the line of each field.
    :raises SettingsError: if the text is malformed, has a duplicate field or is
        nested too deeply; the message starts with the line.
    """
    json_text = strip_comments(text)
    try:
        value = json.loads(json_text, parse_constant=_refuse_constant)
        lines = dict(_walk_document(json_text))
    except json.JSONDecodeError as exc:
        raise SettingsError(f"line {exc.lineno}: {exc.msg}", step="settings") from exc
    except RecursionError as exc:
        raise SettingsError("line 1: nested too deeply", step="settings") from exc
    return Document(value=value, lines=lines)


def _refuse_constant(constant: str) -> float:
    raise SettingsError(f"line 1: {constant} is not a number in JSON", step="settings")


def _walk_document(json_text: str) -> Iterator[tuple[str, int]]:
    line_by_path: dict[str, int] = {}
    line_breaks = [match.start() for match in re.finditer("\n", json_text)]
    for path, position in _walk(json_text, _WHITESPACE.match(json_text).end(), "", [0]):
        line = _line_at(line_breaks, position)
        if path in line_by_path:
            raise SettingsError(
                f"line {line}: duplicate field {path}, "
                f"first in line {line_by_path[path]}",
                step="settings",
            )
        line_by_path[path] = line
        yield path, line


def _line_at(line_breaks: list[int], position: int) -> int:
    return bisect_left(line_breaks, position) + 1


def _walk(
    text: str, position: int, path: str, end: list[int]
) -> Iterator[tuple[str, int]]:
    """Yield the path and the position of each value of valid JSON.

    :param end: one-element list that receives the position after the value.
    """
    yield path, position
    if text[position] == "{":
        yield from _walk_object(text, position, path, end)
    elif text[position] == "[":
        yield from _walk_array(text, position, path, end)
    elif text[position] == '"':
        end[0] = scanstring(text, position + 1)[1]
    else:
        end[0] = _SCALAR.match(text, position).end()


def _walk_object(
    text: str, position: int, path: str, end: list[int]
) -> Iterator[tuple[str, int]]:
    position = _skip_whitespace(text, position + 1)
    while text[position] != "}":
        name, position = scanstring(text, position + 1)
        position = _skip_whitespace(text, _skip_whitespace(text, position) + 1)
        yield from _walk(text, position, f"{path}.{name}" if path else name, end)
        position = _skip_comma(text, end[0])
    end[0] = position + 1


def _walk_array(
    text: str, position: int, path: str, end: list[int]
) -> Iterator[tuple[str, int]]:
    position = _skip_whitespace(text, position + 1)
    index = 0
    while text[position] != "]":
        yield from _walk(text, position, f"{path}[{index}]", end)
        position = _skip_comma(text, end[0])
        index += 1
    end[0] = position + 1


def _skip_whitespace(text: str, position: int) -> int:
    return _WHITESPACE.match(text, position).end()


def _skip_comma(text: str, position: int) -> int:
    position = _skip_whitespace(text, position)
    return _skip_whitespace(text, position + 1) if text[position] == "," else position
