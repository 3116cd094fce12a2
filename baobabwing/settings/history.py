"""History of the configuration: versions, their authors and changes."""

from __future__ import annotations

from dataclasses import dataclass

from baobabwing.settings.changes import Change, changes_between
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.fetch import fetch_configuration, fetch_version
from baobabwing.store.tables import Tables

__all__ = ["HistoryEntry", "read_history"]

_EMPTY = Configuration(version=0)


@dataclass(frozen=True, kw_only=True)
class HistoryEntry:
    """One version and its changes against the version before.

    :param attempt: id of the attempt that wrote it; the plan's id if a plan did.
    """

    version: int
    author: str
    summary: str
    attempt: str
    changes: tuple[Change, ...]


def read_history(tables: Tables, *, limit: int) -> tuple[HistoryEntry, ...]:
    """Read the most recent versions, newest first.

    Each version costs one read of the table service.

    :param limit: maximum number of versions returned.
    :raises PlatformUnavailableError: if the service did not answer.
    """
    newest = fetch_configuration(tables)
    entries: list[HistoryEntry] = []
    while newest is not None and len(entries) < limit:
        previous = fetch_version(tables, newest.version - 1)
        entries.append(_entry(newest, previous or _EMPTY))
        newest = previous
    return tuple(entries)


def _entry(cfg: Configuration, previous: Configuration) -> HistoryEntry:
    return HistoryEntry(
        version=cfg.version,
        author=cfg.author,
        summary=cfg.summary,
        attempt=cfg.attempt,
        changes=changes_between(previous, cfg),
    )
