"""Reports on rows that can't be decoded and are left out."""

from __future__ import annotations

from collections import OrderedDict

from baobabwing.reports.events import Event, log
from baobabwing.reports.light_metrics import LightCounter

__all__ = ["UnreadableRows"]

# Versions of rows that are remembered as logged; each takes some hundred bytes.
_MAX_REMEMBERED = 4096
# The text of an error may hold the whole value.
_MAX_ERROR_CHARS = 200


class UnreadableRows:
    """Logs and counts unreadable rows, each version of a row once.

    :param counter: counts them by table; ``None`` for none.
    """

    def __init__(self, *, counter: LightCounter | None = None) -> None:
        self._counter = counter
        self._reported: OrderedDict[tuple[str, str], object] = OrderedDict()

    def report(
        self,
        event: Event,
        table: str,
        key: str,
        error: Exception | str,
        version: int | None = None,
        **fields: object,
    ) -> None:
        """Report a row, unless this version of it was the last one reported.

        :param event: with the fields ``row`` and ``error``.
        :param version: tells the versions of a row apart; by default the error does.
        """
        text = error if isinstance(error, str) else f"{error!r:.{_MAX_ERROR_CHARS}}"
        mark = text if version is None else version
        if self._reported.get((table, key)) == mark:
            return
        self._reported[table, key] = mark
        self._reported.move_to_end((table, key))
        if len(self._reported) > _MAX_REMEMBERED:
            self._reported.popitem(last=False)
        log(event, row=key, error=text, **fields)
        if self._counter is not None:
            self._counter.labels(table).inc()

    def forget(self, table: str, key: str) -> None:
        """Report the next version of a row in any case, as it was readable since."""
        self._reported.pop((table, key), None)
