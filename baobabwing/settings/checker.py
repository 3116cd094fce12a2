"""Build frozen data classes from plain values, by their fields and rules."""

from __future__ import annotations

import difflib
import functools
import ipaddress
import typing
from collections.abc import Callable, Mapping
from dataclasses import MISSING, Field, dataclass, field, fields, is_dataclass
from enum import StrEnum

from baobabwing.exceptions import SettingsError

__all__ = ["FieldError", "Rule", "build", "is_address", "rule", "rule_of", "set_rules"]

_RULE = "rule"
_FOUND_LENGTH = 60
_RULES: dict[type, dict[str, Rule]] = {}
_TYPE_WORDS = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    bool: "a boolean",
}


@dataclass(frozen=True, kw_only=True)
class Rule:
    """What a field allows beyond its type; for a list, what each element allows.

    :param least: lowest number, or shortest length of a string.
    :param most: highest number, or greatest length of a string.
    :param choices: the only values allowed, if there are any.
    :param check: further test of a value.
    :param words: what is allowed, in words, when ``check`` fails.
    :param least_items: shortest length of a list.
    :param secret: the value is never shown.
    """

    least: float | None = None
    most: float | None = None
    choices: tuple[str, ...] = ()
    check: Callable[[typing.Any], bool] | None = None
    words: str = ""
    least_items: int = 0
    secret: bool = False


class FieldError(SettingsError):
    """A field of a document is not as it must be.

    :param path: path of the field.
    :param found: what stands there, shortened.
    :param allowed: what may stand there.
    :param source: file or other origin of the document.
    :param line: line in the file, or 0 when it is not known.
    """

    def __init__(
        self,
        *,
        path: str,
        found: str,
        allowed: str,
        source: str = "",
        line: int = 0,
    ) -> None:
        where = f"{source}:{line}: " if source else ""
        super().__init__(
            f"{where}{path or 'document'}: found {found}, allowed is {allowed}",
            step="settings",
        )
        self.path = path
        self.found = found
        self.allowed = allowed
        self.source = source
        self.line = line

    def at(self, *, source: str, line: int) -> FieldError:
        """Return the same error with its place in a file."""
        return FieldError(
            path=self.path,
            found=self.found,
            allowed=self.allowed,
            source=source,
            line=line,
        )


def rule(default: object = MISSING, **bounds: typing.Any) -> typing.Any:
    """Declare a field of a data class together with its :class:`Rule`."""
    return field(default=default, metadata={_RULE: Rule(**bounds)})


def set_rules(cls: type, **rules: Rule) -> None:
    """Give rules to the fields of a data class that is declared elsewhere."""
    _RULES[cls] = rules
    _shape.cache_clear()


def build(cls: type, value: object, *, path: str = "") -> typing.Any:
    """Make an instance of a data class from a mapping.

    Nested data classes and homogeneous tuples are built in turn. Time grows
    with the size of the value.

    :param cls: a data class whose fields are typed.
    :param value: what a document holds at ``path``.
    :raises FieldError: for the first field that is unknown, missing, of another
        type or outside its rule.
    """
    if not isinstance(value, Mapping):
        raise FieldError(path=path, found=_show(value), allowed="an object")
    shape = _shape(cls)
    made = {}
    for name, found in value.items():
        place = _join(path, name)
        if name not in shape:
            raise _unknown_field(place, name, list(shape))
        item = shape[name]
        made[name] = _convert(item.hint, found, item.limits, place)
    for name, item in shape.items():
        if item.required and name not in made:
            place = _join(path, name)
            raise FieldError(path=place, found="nothing", allowed="a value")
    return cls(**made)


def is_address(text: str) -> bool:
    """Tell whether a text is an IP number and a port, such as ``10.0.0.1:80``."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    bracketed = host.startswith("[") and host.endswith("]")
    is_number = port.isascii() and port.isdecimal()
    return bracketed == (":" in host) and is_number and 0 < int(port) < 2**16


@dataclass(frozen=True, kw_only=True)
class _FieldShape:
    hint: typing.Any
    limits: Rule
    required: bool


@functools.cache
def _shape(cls: type) -> dict[str, _FieldShape]:
    hints = typing.get_type_hints(cls)
    return {
        item.name: _FieldShape(
            hint=hints[item.name],
            limits=rule_of(cls, item),
            required=item.default is MISSING and item.default_factory is MISSING,
        )
        for item in fields(cls)
    }


def _unknown_field(path: str, name: str, known: list[str]) -> FieldError:
    near = difflib.get_close_matches(name, known, n=1, cutoff=0.0)
    return FieldError(
        path=path, found="an unknown field", allowed=f"its nearest name {near[0]!r}"
    )


def rule_of(cls: type, item: Field) -> Rule:
    """Return what a field of a data class allows beyond its type."""
    given = _RULES.get(cls, {}).get(item.name)
    return given or item.metadata.get(_RULE, Rule())


def _convert(hint: typing.Any, value: object, limits: Rule, path: str) -> object:
    if is_dataclass(hint):
        return build(hint, value, path=path)
    if typing.get_origin(hint) is tuple:
        return _convert_list(typing.get_args(hint)[0], value, limits, path)
    if issubclass(hint, StrEnum):
        return _convert_choice(hint, value, path)
    return _check_scalar(hint, value, limits, path)


def _convert_list(
    hint: typing.Any, value: object, limits: Rule, path: str
) -> tuple[object, ...]:
    if not isinstance(value, list | tuple):
        raise FieldError(path=path, found=_show(value), allowed="a list")
    if len(value) < limits.least_items:
        raise FieldError(
            path=path,
            found=f"{len(value)} elements",
            allowed=f"at least {limits.least_items}",
        )
    return tuple(
        _convert(hint, element, limits, f"{path}[{index}]")
        for index, element in enumerate(value)
    )


def _convert_choice(hint: type[StrEnum], value: object, path: str) -> StrEnum:
    try:
        return hint(value)
    except ValueError:
        allowed = "one of " + ", ".join(hint)
        raise FieldError(path=path, found=_show(value), allowed=allowed) from None


def _check_scalar(hint: type, value: object, limits: Rule, path: str) -> object:
    if hint is float and type(value) is int:
        value = float(value)
    fits = type(value) is hint
    if not fits or not _within(value, limits):
        found = "a value that is not shown" if limits.secret else _show(value)
        raise FieldError(path=path, found=found, allowed=_allowed(hint, limits))
    return value


def _within(value: typing.Any, limits: Rule) -> bool:
    size = len(value) if isinstance(value, str) else value
    if limits.least is not None and size < limits.least:
        return False
    if limits.most is not None and size > limits.most:
        return False
    if limits.choices and value not in limits.choices:
        return False
    return limits.check is None or limits.check(value)


def _allowed(hint: type, limits: Rule) -> str:
    words = _TYPE_WORDS[hint]
    unit = " characters" if hint is str else ""
    if limits.choices:
        return "one of " + ", ".join(limits.choices)
    if limits.least is not None:
        words += f" of at least {limits.least:g}{unit}"
    if limits.most is not None:
        words += f" of at most {limits.most:g}{unit}"
    if limits.words:
        words += f", {limits.words}"
    return words


def _show(value: object) -> str:
    text = repr(value)
    return text if len(text) <= _FOUND_LENGTH else text[:_FOUND_LENGTH] + "…"


def _join(path: str, name: object) -> str:
    return f"{path}.{name}" if path else str(name)
