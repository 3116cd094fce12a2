"""Reference pages for operators, made from the code.

``python -m baobabwing.reports.reference settings`` and ``... metrics`` write a
page to standard output; the pages are kept in ``docs/operators/``, and a test
compares the two.
"""

from __future__ import annotations

import inspect
import math
import re
import sys
import typing
from collections.abc import Callable, Iterator
from dataclasses import MISSING, Field, fields, is_dataclass
from enum import StrEnum

import baobabwing.settings.rules  # noqa: F401  (gives the fields their rules)
from baobabwing.gateway.metrics import GatewayMetrics
from baobabwing.reports.light_metrics import LightCounter, LightGauge, LightHistogram
from baobabwing.reports.metrics import NodeMetrics
from baobabwing.settings.checker import Rule, rule_of
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.schema import NodeSettings

__all__ = ["PAGES", "render_metrics", "render_settings"]

_SETTINGS_HEAD = """\
# Settings

Made from the code by `python -m baobabwing.reports.reference settings`. Files
are JSON with comments; `baobabwing config check FILE` checks one and
`baobabwing config show FILE` prints it with its defaults. Each node reads its
own settings once, when it starts. The configuration is shared by all nodes and
changed by `baobabwing plan`, `confirm` and `config publish`; `version`,
`attempt`, `author` and `summary` are written by these commands.
"""
_TABLE_HEAD = """
| field | type | unit | range | default | meaning |
|---|---|---|---|---|---|
"""
_METRICS_HEAD = """\
# Metrics

Made from the code by `python -m baobabwing.reports.reference metrics`. Each node
offers these at `GET /metrics` in the text format of Prometheus; all are of this
one node and begin anew when it restarts. A histogram has the series `_bucket`,
`_sum` and `_count`.

| metric | type | labels | meaning | buckets |
|---|---|---|---|---|
"""
_GATEWAY_HEAD = """
## Gateway

A gateway offers these on its metrics address. Each request is counted once in
`baobabwing_gateway_requests_total`.

| metric | type | labels | meaning | buckets |
|---|---|---|---|---|
"""
_UNITS = (
    ("tokens_per_s", "tokens a second"),
    ("requests_per_s", "requests a second"),
    ("cost_per_million", "money a million tokens"),
    ("_ms", "milliseconds"),
    ("_bytes", "bytes"),
    ("_tokens", "tokens"),
)
_TYPES = {str: "string", int: "whole number", float: "number", bool: "boolean"}
_PARAM = re.compile(r":param (\w+): (.+?)(?=\n\s*:|\n\n|\Z)", re.DOTALL)
_ROLE = re.compile(r":\w+:(?=`)")
_COUNTER_SUFFIX = "_total"


def render_settings() -> str:
    """Return the page of all settings as Markdown."""
    parts = [_SETTINGS_HEAD]
    for title, root in (
        ("Node settings", NodeSettings),
        ("Configuration", Configuration),
    ):
        parts.append(f"\n## {title}\n")
        for cls, path in _nested_classes(root, ""):
            parts += _render_section(cls, path)
    return "".join(parts)


def render_metrics() -> str:
    """Return the page of all metrics as Markdown."""
    node = "".join(map(_metric_row, _list_metrics(NodeMetrics())))
    gateway = "".join(map(_metric_row, _list_metrics(GatewayMetrics())))
    return _METRICS_HEAD + node + _GATEWAY_HEAD + gateway


def _list_metrics(metrics: object) -> list[typing.Any]:
    return [metric for metric in vars(metrics).values() if hasattr(metric, "describe")]


def _nested_classes(cls: type, path: str) -> Iterator[tuple[type, str]]:
    """Yield a data class and those nested in it, each with its path."""
    yield cls, path
    hints = typing.get_type_hints(cls)
    for item in fields(cls):
        hint = hints[item.name]
        nested = _element_type(hint)
        if is_dataclass(nested):
            brackets = "" if nested is hint else "[]"
            yield from _nested_classes(nested, f"{path}{item.name}{brackets}.")


def _render_section(cls: type, path: str) -> Iterator[str]:
    if path:
        yield f"\n### `{path.removesuffix('.')}`\n"
    document = inspect.getdoc(cls) or ""
    yield f"\n{document.partition(chr(10))[0]}\n{_TABLE_HEAD}"
    meanings = {name: " ".join(text.split()) for name, text in _PARAM.findall(document)}
    hints = typing.get_type_hints(cls)
    for item in fields(cls):
        hint = hints[item.name]
        limits = rule_of(cls, item)
        cells = (
            f"`{path}{item.name}`",
            _type_name(hint),
            _unit(item.name),
            _range(hint, limits),
            _default(item, limits),
            _ROLE.sub("", meanings.get(item.name, "")).replace("``", "`"),
        )
        yield _table_row(cells)


def _element_type(hint: typing.Any) -> typing.Any:
    """Return the type of the elements of a list, or the type itself."""
    return typing.get_args(hint)[0] if _is_list(hint) else hint


def _is_list(hint: typing.Any) -> bool:
    return typing.get_origin(hint) is tuple


def _type_name(hint: typing.Any) -> str:
    element = _element_type(hint)
    if is_dataclass(element):
        words = "object"
    elif issubclass(element, StrEnum):
        words = "string"
    else:
        words = _TYPES[element]
    return f"list of {words}s" if _is_list(hint) else words


def _unit(name: str) -> str:
    return next((words for end, words in _UNITS if name.endswith(end)), "")


def _range(hint: typing.Any, limits: Rule) -> str:
    element = _element_type(hint)
    parts = []
    if isinstance(element, type) and issubclass(element, StrEnum):
        parts.append(", ".join(f"`{choice}`" for choice in element))
    if limits.choices:
        parts.append(", ".join(f"`{choice}`" for choice in limits.choices))
    bounds = _bounds(limits)
    if bounds:
        parts.append(f"{bounds} characters" if element is str else bounds)
    if limits.words:
        parts.append(limits.words)
    if limits.least_items:
        parts.append(f"at least {limits.least_items} in the list")
    return "; ".join(parts)


def _bounds(limits: Rule) -> str:
    if limits.least is not None and limits.most is not None:
        return f"{_number(limits.least)} to {_number(limits.most)}"
    if limits.least is not None:
        return f"at least {_number(limits.least)}"
    return f"at most {_number(limits.most)}" if limits.most is not None else ""


def _number(value: float) -> str:
    return str(int(value)) if value == int(value) else str(value)


def _default(item: Field, limits: Rule) -> str:
    if item.default is MISSING and item.default_factory is MISSING:
        return "required"
    value = item.default if item.default is not MISSING else item.default_factory()
    if limits.secret:
        return "not shown"
    if is_dataclass(value):
        return "its defaults"
    if isinstance(value, bool):
        return f"`{str(value).lower()}`"
    if isinstance(value, int | float):
        return f"`{_number(value)}`"
    if isinstance(value, tuple):
        return "none" if not value else ", ".join(f"`{item}`" for item in value)
    return f"`{value}`" if value else "empty"


def _metric_row(metric: typing.Any) -> str:
    (family,) = metric.describe()
    name = family.name + (_COUNTER_SUFFIX if family.type == "counter" else "")
    # The library tells labels and buckets only in samples, and a metric without
    # observations has none.
    light = isinstance(metric, (LightCounter, LightGauge, LightHistogram))
    names = metric.label_names if light else metric._labelnames
    labels = ", ".join(f"`{label}`" for label in names)
    buckets = ""
    if family.type == "histogram":
        bounds = (*metric.bounds, math.inf) if light else metric._upper_bounds
        buckets = ", ".join(f"{bound:g}" for bound in bounds)
    cells = (f"`{name}`", family.type, labels, family.documentation, buckets)
    return _table_row(cells)


def _table_row(cells: tuple[str, ...]) -> str:
    escaped = (cell.replace("|", "\\|") for cell in cells)
    return "| " + " | ".join(escaped) + " |\n"


PAGES: dict[str, Callable[[], str]] = {
    "settings": render_settings,
    "metrics": render_metrics,
}


def main(name: str) -> None:
    """Write a page to standard output."""
    print(PAGES[name](), end="")


if __name__ == "__main__":
    main(sys.argv[1])
