"""Events of a stream, cut out of the bytes of an answer."""

from __future__ import annotations

__all__ = ["EventSplitter"]

_EVENT_END = b"\n\n"


class EventSplitter:
    """Splits a body into whole events and remembers the last one's number.

    A stream that breaks off inside an event can only go on elsewhere if the
    caller has whole events, so an unfinished event is held back.
    """

    def __init__(self) -> None:
        self._incomplete = b""
        self.last_id = ""
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Return all events that are whole now, as the upstream sent them."""
        self._incomplete += data
        end = self._incomplete.rfind(_EVENT_END)
        if end < 0:
            return b""
        whole = self._incomplete[: end + len(_EVENT_END)]
        self._incomplete = self._incomplete[end + len(_EVENT_END) :]
        for line in whole.split(b"\n"):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                self.events += 1
        return whole

    def remainder(self) -> bytes:
        """Return the bytes after the last whole event."""
        return self._incomplete

    def drop_incomplete(self) -> None:
        """Forget an unfinished event, before the stream goes on elsewhere."""
        self._incomplete = b""
