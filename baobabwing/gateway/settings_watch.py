"""Following a file of settings, which may change with or without a signal."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from typing import Protocol, TypeVar

from baobabwing.gateway.events import SETTINGS_UNREADABLE
from baobabwing.reports.events import log

__all__ = ["SettingsWatch"]

_CHECK_INTERVAL_S = 2.0
# Reads of a file that is being written, and the pause between them: 2 s in all.
_READS = 20
_READ_PAUSE_S = 0.1


class _Settings(Protocol):
    @property
    def fields(self) -> Mapping[str, str]:
        """Fields of the file, as they are written there."""


_Read = TypeVar("_Read", bound=_Settings)


class SettingsWatch:
    """Applies the changes of a settings file once it is written whole.

    A file that is missing or unreadable changes nothing. One that lacks a field is
    taken for a part of the new one until it has stayed so for longer than a write
    takes: the default would come into force for the field, and go again.

    :param settings: as read at the start of the process.
    :param load: reads the file; raises an ``OSError``, ``KeyError`` or ``ValueError``
        if it can't be read or decoded.
    :param apply: called with changed settings.
    """

    def __init__(
        self,
        *,
        settings: _Read,
        load: Callable[[], _Read],
        apply: Callable[[_Read], None],
    ) -> None:
        self._fields = settings.fields
        self._load = load
        self._apply = apply
        self._due = asyncio.Event()
        self._logged_error = ""

    def check_now(self) -> None:
        """Have the file read at once."""
        self._due.set()

    async def run(self) -> None:
        """Read the file at intervals, and when asked to."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_CHECK_INTERVAL_S):
                    await self._due.wait()
            self._due.clear()
            settings = await self._read_changed()
            if settings is not None:
                self._fields = settings.fields
                self._apply(settings)

    async def _read_changed(self) -> _Read | None:
        """Return the settings if they have changed, once the file is whole."""
        previous = None
        for _ in range(_READS):
            settings = self._read()
            fields = settings.fields if settings is not None else None
            if fields == self._fields:
                return None
            stays = fields is not None and fields == previous
            if stays and self._fields.keys() <= fields.keys():
                return settings
            previous = fields
            await asyncio.sleep(_READ_PAUSE_S)
        return settings

    def _read(self) -> _Read | None:
        """Read the file; an error is logged once while it lasts."""
        try:
            settings = self._load()
        except (OSError, KeyError, ValueError) as exc:
            error = repr(exc)
            if error != self._logged_error:
                self._logged_error = error
                log(SETTINGS_UNREADABLE, error=error)
            return None
        self._logged_error = ""
        return settings
