"""Publish a new version of the configuration with compare-and-set."""

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
    """Return a new unique attempt id."""
    return uuid.uuid4().hex


def publish(tables: Tables, *, base: int, cfg: Configuration) -> Configuration:
    """Make a configuration the current one if the base version still is.

    The call is idempotent by ``attempt``: repeated with the id of an earlier call
    that took effect, it returns the version written then and publishes nothing.

    :param base: version that the change was made from; 0 if there is none yet.
    :param cfg: the new configuration; its version is ignored.
    :returns: the configuration as published, version ``base + 1``.
    :raises ConflictError: naming who changed what since the base.
    :raises PlatformUnavailableError: if nothing was changed.
    :raises PlatformUncertainError: if it is unknown whether the change took
        effect; call again with the same attempt.
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
            # The write may have taken effect although its answer was lost, or may
            # take effect later. The next round looks for the attempt id in the
            # store; if it is missing, it repeats the same compare-and-set, of
            # which at most one can succeed.
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
    """Whether a version in the store was written by an attempt.

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
    """Run one round of read, compare-and-set and history.

    :param uncertain: whether a write of an earlier round may have taken effect.
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
        # The row has changed, possibly by an earlier write of this attempt.
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
    """Decide the outcome when the current version is not the base.

    :returns: the configuration, if this attempt wrote it.
    :raises ConflictError: if another attempt replaced the base.
    :raises PlatformUncertainError: if the store does not show which one did.
    """
    written = _version_at(tables, stored, cfg.version) if stored else None
    if written is not None and written.attempt == cfg.attempt:
        _try_save_history(tables, cfg)
        return cfg
    if uncertain and written is None:
        # The read is older than this version and does not show who wrote it. A
        # conflict reported now could be a conflict with this very attempt.
        raise PlatformUncertainError(
            "stale read: the new version is not visible yet", step="publish"
        )
    base = cfg.version - 1
    raise ConflictError(
        f"version {base} is no longer current: {_changes_since(tables, base)}",
        step="publish",
    )


def _version_at(
    tables: Tables, stored: StoredConfiguration, version: int
) -> Configuration | None:
    """Return the configuration of a version, or ``None`` if the store has none."""
    if stored.cfg.version < version:
        return None
    if stored.cfg.version == version:
        return stored.cfg
    return fetch_version(tables, version)


def _save_history(tables: Tables, stored: StoredConfiguration | None) -> None:
    # The process that published the current version may have died before it
    # wrote the history. Replacing that version without a history row would lose
    # its author and whether its attempt took effect.
    if stored is None:
        return
    try:
        _insert_history(tables, stored.cfg)
    except PlatformUncertainError as exc:
        # Only the history was written: the change itself was not sent yet.
        raise PlatformUnavailableError(
            exc.message, step="publish", peer=exc.peer
        ) from exc


def _try_save_history(tables: Tables, cfg: Configuration) -> None:
    # The change is already in force; the next publisher writes this row if it is
    # missing.
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
