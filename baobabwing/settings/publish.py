"""Publish a new version of the configuration by compare-and-set."""

from __future__ import annotations

import contextlib
import uuid
from dataclasses import replace

from baobabwing.exceptions import (
    ConflictError,
    PlatformError,
    PlatformUnavailableError,
    PlatformUncertainError,
)
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.documents import (
    check_administrators,
    check_configuration,
    dump_configuration,
)
from baobabwing.settings.fetch import (
    CONFIGURATION_TABLE,
    CURRENT_KEY,
    StoredConfiguration,
    fetch_stored,
    fetch_version,
    history_key,
)
from baobabwing.store.tables import Insert, Tables

__all__ = ["find_attempt", "new_attempt", "publish"]

_MAX_ROUNDS = 3
_MAX_LISTED_VERSIONS = 5


def new_attempt() -> str:
    """Return an id that no other attempt has."""
    return uuid.uuid4().hex


def publish(tables: Tables, *, base: int, cfg: Configuration) -> Configuration:
    """Make a configuration the current one if the base still is.

    A call with the ``attempt`` of an earlier one finds what that one wrote and
    returns it; nothing is applied twice.

    :param base: version that the change was made from; 0 if there is none yet.
    :param cfg: what is to be in force; its version is not used.
    :returns: the configuration as published, version ``base + 1``.
    :raises ConflictError: naming who changed what since the base.
    :raises PlatformUnavailableError: if nothing was changed.
    :raises PlatformUncertainError: if it could not be found out whether the
        change took effect; call again with the same attempt.
    """
    attempt = cfg.attempt or new_attempt()
    cfg = replace(cfg, version=base + 1, attempt=attempt)
    check_configuration(cfg)
    check_administrators(cfg)
    uncertain: PlatformUncertainError | None = None
    for _ in range(_MAX_ROUNDS):
        try:
            return _publish_once(tables, cfg, uncertain=uncertain is not None)
        except PlatformUncertainError as exc:
            # The write may have taken effect although its answer was lost, or
            # may still take effect. The next round reads back by attempt id and
            # else repeats the same compare-and-set, of which only one can win.
            uncertain = exc
        except PlatformUnavailableError:
            if uncertain is None:
                raise
    raise PlatformUncertainError(
        f"attempt {attempt} may have taken effect; repeat it with the same id",
        step="publish",
        peer=uncertain.peer,
    ) from uncertain


def find_attempt(tables: Tables, *, version: int, attempt: str) -> bool:
    """Tell whether an attempt wrote a version, by reading back.

    :raises PlatformUnavailableError: if the service did not answer.
    """
    stored = fetch_stored(tables)
    if stored is None or stored.cfg.version < version:
        return False
    written = _version_at(tables, stored, version)
    return written is not None and written.attempt == attempt


def _publish_once(
    tables: Tables, cfg: Configuration, *, uncertain: bool
) -> Configuration:
    """Try once.

    :param uncertain: whether an earlier try may have taken effect.
    """
    base = cfg.version - 1
    stored = fetch_stored(tables)
    current = stored.cfg.version if stored else 0
    if current != base:
        return _resolve_mismatch(tables, stored, cfg, uncertain=uncertain)
    _save_history(tables, stored)
    document = dump_configuration(cfg)
    expected = stored.row_version if stored else None
    try:
        tables.put(CONFIGURATION_TABLE, CURRENT_KEY, document, expected=expected)
    except ConflictError:
        # The row has changed, perhaps by an earlier try of this attempt.
        return _resolve_mismatch(tables, fetch_stored(tables), cfg, uncertain=True)
    _try_save_history(tables, cfg)
    return cfg


def _resolve_mismatch(
    tables: Tables,
    stored: StoredConfiguration | None,
    cfg: Configuration,
    *,
    uncertain: bool,
) -> Configuration:
    written = _version_at(tables, stored, cfg.version) if stored else None
    if written is not None and written.attempt == cfg.attempt:
        _try_save_history(tables, cfg)
        return cfg
    if uncertain and written is None:
        # The store shows what was before this version, so it cannot tell who
        # wrote it. A conflict told now could be one with the own change.
        raise PlatformUncertainError("reads lag", step="publish")
    base = cfg.version - 1
    raise ConflictError(
        f"version {base} is no longer current: {_changes_since(tables, base)}",
        step="publish",
    )


def _version_at(
    tables: Tables, stored: StoredConfiguration, version: int
) -> Configuration | None:
    """Return the configuration of a version, if the store shows it."""
    if stored.cfg.version < version:
        return None
    if stored.cfg.version == version:
        return stored.cfg
    return fetch_version(tables, version)


def _save_history(tables: Tables, stored: StoredConfiguration | None) -> None:
    # The process that published the current version may have died before it
    # wrote the history. Replacing that version now would lose who made it and
    # whether an attempt took effect, so it is kept before it is replaced.
    if stored is None:
        return
    try:
        _insert_history(tables, stored.cfg)
    except PlatformUncertainError as exc:
        # This write touches the history only: the change itself was not sent.
        raise PlatformUnavailableError(
            exc.message, step="publish", peer=exc.peer
        ) from exc


def _try_save_history(tables: Tables, cfg: Configuration) -> None:
    # The change is in force by now; whoever replaces it writes this again.
    with contextlib.suppress(PlatformError):
        _insert_history(tables, cfg)


def _insert_history(tables: Tables, cfg: Configuration) -> None:
    row = Insert(key=history_key(cfg.version), value=dump_configuration(cfg))
    tables.insert_many(CONFIGURATION_TABLE, [row])


def _changes_since(tables: Tables, base: int) -> str:
    stored = fetch_stored(tables)
    if stored is None:
        return "there is no current version"
    newest = stored.cfg
    first = max(base + 1, newest.version - _MAX_LISTED_VERSIONS + 1)
    earlier = [
        fetch_version(tables, version) for version in range(first, newest.version)
    ]
    listed = [cfg for cfg in earlier if cfg] + [newest]
    return "; ".join(
        f"version {cfg.version} by {cfg.author or 'unknown'}: "
        f"{cfg.summary or 'no summary'}"
        for cfg in listed
    )
