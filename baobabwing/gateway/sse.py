"""Splitting of an event stream's bytes into whole events."""

from __future__ import annotations

__all__ = ["EventSplitter"]

_EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
_MAX_MARK_BYTES = 4


class EventSplitter:
    """Splits a body into whole events and tracks their number and the last id.

    A stream that breaks off inside an event can continue at another upstream only if
    the caller has received whole events, so an incomplete event is buffered.

    :ivar last_id: id of the last whole event.
    :ivar events: number of whole events with an id.
    :ivar bytes_without_event: bytes received after the last event with an id or data.
    """

    def __init__(self) -> None:
        self._incomplete = b""
        self.last_id = ""
        self.events = 0
        self.bytes_without_event = 0

    def feed(self, data: bytes) -> bytes:
        """Return the events completed by these bytes, as the upstream sent them."""
        searched = max(len(self._incomplete) - _MAX_MARK_BYTES, 0)
        self._incomplete += data
        self.bytes_without_event += len(data)
        end = max(
            _end_of_last(self._incomplete, mark, searched) for mark in _EVENT_ENDS
        )
        whole, self._incomplete = self._incomplete[:end], self._incomplete[end:]
        for line in whole.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                self.events += 1
            if line.startswith((b"id:", b"data:")):
                self.bytes_without_event = len(self._incomplete)
        return whole

    @property
    def incomplete_bytes(self) -> int:
        """Number of bytes received after the last whole event."""
        return len(self._incomplete)

    def remainder(self) -> bytes:
        """Return the bytes after the last whole event."""
        return self._incomplete

    @property
    def inside_event(self) -> bool:
        """Whether the bytes received so far end inside an event."""
        return bool(self._incomplete.strip(b"\r\n"))

    def drop_incomplete(self) -> None:
        """Drop an incomplete event before the stream continues at another upstream."""
        self._incomplete = b""
        self.bytes_without_event = 0


def _end_of_last(data: bytes, mark: bytes, searched: int) -> int:
    """Return the end of the last occurrence of a mark; 0 without one.

    :param searched: bytes at the start that are known to have none.
    """
    start = data.rfind(mark, searched)
    return start + len(mark) if start >= 0 else 0
