"""Read node settings and configuration files; errors name file and line."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from baobabwing.exceptions import SettingsError
from baobabwing.settings.checker import FieldError, build
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.documents import check_administrators, parse_configuration
from baobabwing.settings.jsonc import Document, read_document
from baobabwing.settings.schema import NodeSettings, check_node

__all__ = ["is_configuration", "load_configuration", "load_file", "load_settings"]

_Parsed = TypeVar("_Parsed")
_CONFIGURATION_FIELDS = {"tiers", "brands", "organisations", "pools", "upstreams"}


def load_settings(path: str | Path) -> NodeSettings:
    """Read the settings of a node from a file.

    Environment variables are not read.

    :raises SettingsError: if the file cannot be read or is invalid; the message
        has file, line, path of the field, value found and values allowed.
    """
    return _parse_document(path, _read_file(path), _parse_settings)


def load_configuration(path: str | Path) -> Configuration:
    """Read a configuration document from a file.

    :raises SettingsError: as :func:`load_settings` does.
    """
    return _parse_document(path, _read_file(path), _parse_configuration)


def load_file(path: str | Path) -> NodeSettings | Configuration:
    """Read node settings or a configuration, depending on the file's fields.

    :raises SettingsError: as :func:`load_settings` does.
    """
    document = _read_file(path)
    if is_configuration(document.value):
        return _parse_document(path, document, _parse_configuration)
    return _parse_document(path, document, _parse_settings)


def is_configuration(value: object) -> bool:
    """Whether a document is a configuration rather than node settings."""
    return isinstance(value, dict) and not _CONFIGURATION_FIELDS.isdisjoint(value)


def _parse_configuration(value: object) -> Configuration:
    cfg = parse_configuration(value)
    check_administrators(cfg)
    return cfg


def _parse_settings(value: object) -> NodeSettings:
    settings = build(NodeSettings, value)
    check_node(settings)
    return settings


def _read_file(path: str | Path) -> Document:
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: cannot be read: {exc}", step="settings") from exc
    try:
        return read_document(text)
    except SettingsError as exc:
        raise SettingsError(f"{path}: {exc.message}", step="settings") from exc


def _parse_document(
    path: str | Path, document: Document, parse: Callable[[object], _Parsed]
) -> _Parsed:
    try:
        return parse(document.value)
    except FieldError as exc:
        line = document.line_of(exc.path)
        raise exc.with_location(source=str(path), line=line) from None
