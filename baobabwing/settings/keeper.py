"""Holder of the configuration in force in this process."""

from __future__ import annotations

import threading
from collections.abc import Callable

from baobabwing.reports.events import log
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.events import (
    CONFIGURATION_APPLIED,
    CONFIGURATION_DIFFERS,
    CONFIGURATION_REFUSED,
)

__all__ = ["ConfigurationKeeper"]


class ConfigurationKeeper:
    """Holds the newest configuration; its version never decreases.

    Safe to use from any thread.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._current: Configuration | None = None
        self._highest_known = 0
        self._callbacks: list[Callable[[Configuration], None]] = []
        self._delivery_lock = threading.RLock()
        self._delivered_version = 0

    def current(self) -> Configuration | None:
        """Return the configuration in force, or ``None`` if there is none yet."""
        return self._current

    def highest_heard(self) -> int:
        """Return the highest version known to exist, applied here or not."""
        return self._highest_known

    def heard(self, version: int) -> None:
        """Record that a version exists, and wake threads waiting to fetch it."""
        with self._changed:
            if version > self._highest_known:
                self._highest_known = version
                self._changed.notify_all()

    def offer(self, cfg: Configuration, *, source: str) -> bool:
        """Apply a configuration unless a higher version is known to exist.

        The callbacks of :meth:`on_change` run before the method returns.

        :param source: origin of the configuration, for the log.
        :returns: whether it was applied; ``False`` also if its version already is.
        """
        with self._changed:
            applied = self._apply(cfg, source)
        if applied:
            self._deliver()
        return applied

    def wait_for(self, version: int, timeout_s: float) -> bool:
        """Wait until a version or a higher one is in force.

        :returns: whether it is; ``False`` if the timeout expired.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: self._current_version() >= version, timeout_s
            )

    def wait_until_behind(self, timeout_s: float) -> int:
        """Wait until a version higher than the one in force is known to exist.

        :returns: the version to fetch, or 0 if the timeout expired.
        """
        with self._changed:
            is_behind = self._changed.wait_for(
                lambda: self._highest_known > self._current_version(), timeout_s
            )
            return self._highest_known if is_behind else 0

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        """Register a callback for each applied configuration, the current one first.

        Callbacks run one at a time, with increasing versions; a version that was
        replaced before its delivery is skipped.
        """
        with self._delivery_lock:
            current = self._current
            if current is not None and current.version == self._delivered_version:
                callback(current)
            self._callbacks.append(callback)

    def _current_version(self) -> int:
        return self._current.version if self._current else 0

    def _apply(self, cfg: Configuration, source: str) -> bool:
        if self._current and cfg.version == self._current.version:
            if cfg != self._current:
                log(CONFIGURATION_DIFFERS, version=cfg.version, source=source)
            return False
        # A peer that was partitioned can offer a version that was replaced
        # meanwhile. Applying it would restore what an operator removed, such as a
        # key, so the version is compared with the highest one known to exist, even
        # if that document was not received yet.
        if cfg.version <= 0 or cfg.version < self._highest_known:
            log(CONFIGURATION_REFUSED, version=cfg.version, source=source)
            return False
        self._highest_known = cfg.version
        self._current = cfg
        self._changed.notify_all()
        log(CONFIGURATION_APPLIED, version=cfg.version, source=source)
        return True

    def _deliver(self) -> None:
        # Two threads can apply versions 5 and 6 and get here in the opposite order,
        # which would leave a callback with 5 as the last version. Each thread
        # therefore delivers the newest version, unless it was delivered already.
        with self._delivery_lock:
            cfg = self._current
            if cfg is None or cfg.version <= self._delivered_version:
                return
            self._delivered_version = cfg.version
            for callback in tuple(self._callbacks):
                callback(cfg)
