"""The configuration that is in force in this process."""

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
    """Holds the newest configuration and never goes back.

    All methods may be called from any thread.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._current: Configuration | None = None
        self._highest_known = 0
        self._callbacks: list[Callable[[Configuration], None]] = []
        self._delivery_lock = threading.RLock()
        self._delivered_version = 0

    def current(self) -> Configuration | None:
        """Return the configuration in force, if there is one."""
        return self._current

    def highest_heard(self) -> int:
        """Return the highest version that this process knows to exist."""
        return self._highest_known

    def heard(self, version: int) -> None:
        """Note that a version exists, and wake whoever fetches it."""
        with self._changed:
            if version > self._highest_known:
                self._highest_known = version
                self._changed.notify_all()

    def offer(self, cfg: Configuration, *, source: str) -> bool:
        """Put a configuration in force if it is newer than all that were heard of.

        :param source: where it came from, for the log.
        :returns: whether it is now in force.
        """
        with self._changed:
            applied = self._apply(cfg, source)
        if applied:
            self._deliver()
        return applied

    def wait_for(self, version: int, timeout_s: float) -> bool:
        """Wait until a version or a higher one is in force."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._current_version() >= version, timeout_s
            )

    def wait_until_behind(self, timeout_s: float) -> int:
        """Wait until a version is heard of that is not in force.

        :returns: the version to fetch, or 0 if time ran out.
        """
        with self._changed:
            is_behind = self._changed.wait_for(
                lambda: self._highest_known > self._current_version(), timeout_s
            )
            return self._highest_known if is_behind else 0

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        """Call back with each configuration put in force, the present one first.

        Calls come one at a time with rising versions; a version that was
        replaced before its turn is left out.
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
        # A peer that was cut off can offer a version that others have left
        # behind. Applying it would bring back what an operator took away, so
        # the highest number heard of counts, also when its document is not here.
        if cfg.version <= 0 or cfg.version < self._highest_known:
            log(CONFIGURATION_REFUSED, version=cfg.version, source=source)
            return False
        self._highest_known = cfg.version
        self._current = cfg
        self._changed.notify_all()
        log(CONFIGURATION_APPLIED, version=cfg.version, source=source)
        return True

    def _deliver(self) -> None:
        # Two threads can apply 5 and 6 and reach this point in the other order;
        # a listener would end on 5. Each therefore delivers the newest, once.
        with self._delivery_lock:
            cfg = self._current
            if cfg is None or cfg.version <= self._delivered_version:
                return
            self._delivered_version = cfg.version
            for callback in tuple(self._callbacks):
                callback(cfg)
