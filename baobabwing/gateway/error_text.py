"""Text for standard error, which becomes log lines."""

from __future__ import annotations

import io

from baobabwing.gateway.events import ERROR_TEXT
from baobabwing.reports.events import log

__all__ = ["ErrorText"]

_MAX_CHARS = 2000


class ErrorText(io.TextIOBase):
    """Replaces ``sys.stderr``: writing to a pipe that nobody reads would block."""

    def __init__(self) -> None:
        self._text = ""

    def writable(self) -> bool:
        """Whether text can be written."""
        return True

    def write(self, text: str) -> int:
        """Keep text until the next flush, the last of it if it is long."""
        self._text = (self._text + text)[-_MAX_CHARS:]
        return len(text)

    def flush(self) -> None:
        """Log what was written."""
        text, self._text = self._text.strip(), ""
        if text:
            log(ERROR_TEXT, text=text)
