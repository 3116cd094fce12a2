"""Build frozen data classes from parsed JSON, checking field types and rules."""

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

_RULE_KEY = "rule"
_MAX_SHOWN_LENGTH = 60
_REGISTERED_RULES: dict[type, dict[str, Rule]] = {}
_TYPE_DESCRIPTIONS = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    bool: "a boolean",
}


@dataclass(frozen=True, kw_only=True)
class Rule:
    """Constraints on a field beyond its type; for a list, on each element.

    :param least: minimum of a number, or minimum length of a string.
    :param most: maximum of a number, or maximum length of a string.
    :param choices: the only values allowed; empty if any value is.
    :param check: predicate that a value must also satisfy.
    :param words: description of the values that ``check`` accepts, for errors.
    :param least_items: minimum length of a list.
    :param secret: whether errors leave the value out.
    """

    least: float | None = None
    most: float | None = None
    choices: tuple[str, ...] = ()
    check: Callable[[typing.Any], bool] | None = None
    words: str = ""
    least_items: int = 0
    secret: bool = False


class FieldError(SettingsError):
    """A field of a document is invalid.

    :param path: path of the field, such as ``"pools[0].name"``.
    :param found: description of the invalid value, shortened.
    :param allowed: description of the values that are allowed.
    :param source: file or other origin of the document.
    :param line: line in the file, or 0 if unknown.
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
        location = f"{source}:{line}: " if source else ""
        super().__init__(
            f"{location}{path or 'document'}: found {found}, allowed is {allowed}",
            step="settings",
        )
        self.path = path
        self.found = found
        self.allowed = allowed
        self.source = source
        self.line = line

    def with_location(self, *, source: str, line: int) -> FieldError:
        """Return a copy of the error that names the file and the line."""
        return FieldError(
            path=self.path,
            found=self.found,
            allowed=self.allowed,
            source=source,
            line=line,
        )


def rule(default: object = MISSING, **bounds: typing.Any) -> typing.Any:
    """Declare a field of a data class together with its :class:`Rule`."""
    return field(default=default, metadata={_RULE_KEY: Rule(**bounds)})


def set_rules(cls: type, **rules: Rule) -> None:
    """Register rules for the fields of a data class declared in another module."""
    _REGISTERED_RULES[cls] = rules
    _field_specs.cache_clear()


def build(cls: type, value: object, *, path: str = "") -> typing.Any:
    """Build an instance of a data class from a mapping.

    Nested data classes and homogeneous tuples are built recursively.

    :complexity: linear in the size of the value.
    :param cls: a data class whose fields are typed.
    :param value: the part of a document at ``path``.
    :raises FieldError: for the first field that is unknown, missing, of the wrong
        type or against its rule.
    """
    if not isinstance(value, Mapping):
        raise FieldError(path=path, found=_shortened_repr(value), allowed="an object")
    specs = _field_specs(cls)
    arguments = {}
    for name, field_value in value.items():
        field_path = _join_path(path, name)
        if name not in specs:
            raise _unknown_field(field_path, name, list(specs))
        spec = specs[name]
        arguments[name] = _convert(spec.hint, field_value, spec.rule, field_path)
    for name, spec in specs.items():
        if spec.required and name not in arguments:
            field_path = _join_path(path, name)
            raise FieldError(path=field_path, found="nothing", allowed="a value")
    return cls(**arguments)


def is_address(text: str) -> bool:
    """Whether a text is an IP address with a port, such as ``10.0.0.1:80``.

    An IPv6 address stands in brackets; host names are not accepted.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    bracketed = host.startswith("[") and host.endswith("]")
    is_number = port.isascii() and port.isdecimal()
    return bracketed == (":" in host) and is_number and 0 < int(port) < 2**16


@dataclass(frozen=True, kw_only=True)
class _FieldSpec:
    """Type hint and rule of a field, and whether a document must contain it."""

    hint: typing.Any
    rule: Rule
    required: bool


@functools.cache
def _field_specs(cls: type) -> dict[str, _FieldSpec]:
    hints = typing.get_type_hints(cls)
    return {
        item.name: _FieldSpec(
            hint=hints[item.name],
            rule=rule_of(cls, item),
            required=item.default is MISSING and item.default_factory is MISSING,
        )
        for item in fields(cls)
    }


def _unknown_field(path: str, name: str, known: list[str]) -> FieldError:
    nearest = difflib.get_close_matches(name, known, n=1, cutoff=0.0)
    return FieldError(
        path=path, found="an unknown field", allowed=f"its nearest name {nearest[0]!r}"
    )


def rule_of(cls: type, item: Field) -> Rule:
    """Return the rule of a field: the registered one, or that of its declaration."""
    registered = _REGISTERED_RULES.get(cls, {}).get(item.name)
    return registered or item.metadata.get(_RULE_KEY, Rule())


def _convert(hint: typing.Any, value: object, field_rule: Rule, path: str) -> object:
    if is_dataclass(hint):
        return build(hint, value, path=path)
    if typing.get_origin(hint) is tuple:
        return _convert_list(typing.get_args(hint)[0], value, field_rule, path)
    if issubclass(hint, StrEnum):
        return _convert_enum(hint, value, path)
    return _check_scalar(hint, value, field_rule, path)


def _convert_list(
    hint: typing.Any, value: object, field_rule: Rule, path: str
) -> tuple[object, ...]:
    if not isinstance(value, list | tuple):
        raise FieldError(path=path, found=_shortened_repr(value), allowed="a list")
    if len(value) < field_rule.least_items:
        raise FieldError(
            path=path,
            found=f"{len(value)} elements",
            allowed=f"at least {field_rule.least_items}",
        )
    return tuple(
        _convert(hint, element, field_rule, f"{path}[{index}]")
        for index, element in enumerate(value)
    )


def _convert_enum(hint: type[StrEnum], value: object, path: str) -> StrEnum:
    try:
        return hint(value)
    except ValueError:
        allowed = "one of " + ", ".join(hint)
        raise FieldError(
            path=path, found=_shortened_repr(value), allowed=allowed
        ) from None


def _check_scalar(hint: type, value: object, field_rule: Rule, path: str) -> object:
    if hint is float and type(value) is int:
        value = float(value)
    has_type = type(value) is hint
    if not has_type or not _satisfies(value, field_rule):
        found = (
            "a value that is not shown" if field_rule.secret else _shortened_repr(value)
        )
        raise FieldError(
            path=path, found=found, allowed=_describe_allowed(hint, field_rule)
        )
    return value


def _satisfies(value: typing.Any, field_rule: Rule) -> bool:
    size = len(value) if isinstance(value, str) else value
    if field_rule.least is not None and size < field_rule.least:
        return False
    if field_rule.most is not None and size > field_rule.most:
        return False
    if field_rule.choices and value not in field_rule.choices:
        return False
    return field_rule.check is None or field_rule.check(value)


def _describe_allowed(hint: type, field_rule: Rule) -> str:
    text = _TYPE_DESCRIPTIONS[hint]
    unit = " characters" if hint is str else ""
    if field_rule.choices:
        return "one of " + ", ".join(field_rule.choices)
    if field_rule.least is not None:
        text += f" of at least {field_rule.least:g}{unit}"
    if field_rule.most is not None:
        text += f" of at most {field_rule.most:g}{unit}"
    if field_rule.words:
        text += f", {field_rule.words}"
    return text


def _shortened_repr(value: object) -> str:
    text = repr(value)
    return text if len(text) <= _MAX_SHOWN_LENGTH else text[:_MAX_SHOWN_LENGTH] + "…"


def _join_path(path: str, name: object) -> str:
    return f"{path}.{name}" if path else str(name)
