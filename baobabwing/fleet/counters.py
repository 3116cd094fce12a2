"""Counters of the datagrams that a node sent, received and dropped."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Mapping
from enum import StrEnum

__all__ = ["DropReason", "LinkCounters"]


class DropReason(StrEnum):
    """Reason for which a datagram was dropped on receipt or not sent."""

    OVERSIZED = "oversized"
    FORGED = "forged"
    MALFORMED = "malformed"
    REPLAYED = "replayed"
    CLOCK = "clock"
    STALE = "stale"
    OWN = "own"
    UNEXPECTED = "unexpected"
    FAILED = "failed"
    SEND_FAILED = "send_failed"


class LinkCounters:
    """Thread-safe counters of datagrams and bytes."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sent = 0
        self._sent_bytes = 0
        self._received = 0
        self._received_bytes = 0
        self._dropped: Counter[DropReason] = Counter()

    @property
    def sent(self) -> int:
        """Datagrams sent."""
        return self._sent

    @property
    def sent_bytes(self) -> int:
        """Bytes of UDP payload sent."""
        return self._sent_bytes

    @property
    def received(self) -> int:
        """Datagrams received, including dropped ones."""
        return self._received

    @property
    def received_bytes(self) -> int:
        """Bytes of UDP payload received."""
        return self._received_bytes

    def dropped(self) -> Mapping[DropReason, int]:
        """Return the number of dropped datagrams by reason."""
        with self._lock:
            return dict(self._dropped)

    def add_sent(self, size: int) -> None:
        """Count one datagram that was sent."""
        with self._lock:
            self._sent += 1
            self._sent_bytes += size

    def add_received(self, size: int) -> None:
        """Count one datagram that arrived."""
        with self._lock:
            self._received += 1
            self._received_bytes += size

    def add_dropped(self, reason: DropReason) -> None:
        """Count one datagram that was dropped."""
        with self._lock:
            self._dropped[reason] += 1
