"""Read the current and past configurations from the table service."""

from __future__ import annotations

from dataclasses import dataclass

from baobabwing.settings.configuration import Configuration
from baobabwing.settings.documents import parse_configuration
from baobabwing.store.tables import Tables

__all__ = [
    "CONFIGURATION_TABLE",
    "CURRENT_KEY",
    "HISTORY_PREFIX",
    "StoredConfiguration",
    "fetch_configuration",
    "fetch_stored",
    "fetch_version",
    "history_key",
]

CONFIGURATION_TABLE = "configuration"
CURRENT_KEY = "current"
HISTORY_PREFIX = "history/"


@dataclass(frozen=True, kw_only=True)
class StoredConfiguration:
    """The current configuration together with the version of its row."""

    cfg: Configuration
    row_version: int


def fetch_configuration(tables: Tables) -> Configuration | None:
    """Read the current configuration.

    :returns: the configuration, or ``None`` if none was published yet.
    :raises PlatformUnavailableError: if the service did not answer.
    :raises SettingsError: if the row is not a valid configuration.
    """
    stored = fetch_stored(tables)
    return stored.cfg if stored else None


def fetch_stored(tables: Tables) -> StoredConfiguration | None:
    """Read the current configuration with its row version, for a compare-and-set.

    :returns: both, or ``None`` if no configuration was published yet.
    :raises PlatformUnavailableError: if the service did not answer.
    """
    row = tables.read(CONFIGURATION_TABLE, CURRENT_KEY)
    if row is None:
        return None
    cfg = parse_configuration(row.value)
    return StoredConfiguration(cfg=cfg, row_version=row.version)


def fetch_version(tables: Tables, version: int) -> Configuration | None:
    """Read a version from the history.

    :returns: the configuration, or ``None`` if the history lacks the version.
    :raises PlatformUnavailableError: if the service did not answer.
    """
    row = tables.read(CONFIGURATION_TABLE, history_key(version))
    return parse_configuration(row.value) if row else None


def history_key(version: int) -> str:
    """Return the key of a version's row in the history."""
    return f"{HISTORY_PREFIX}{version}"
