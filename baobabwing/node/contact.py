"""Detects that this node can no longer receive configuration changes.

A node that receives nothing from its peers or the platform cannot know which
configuration version is in force. It finishes the requests that it dispatched and
refuses new ones after ``MAX_ISOLATION_S``: an operator's change has to be in force
everywhere within seconds, and an isolated node does not receive, for example, the
withdrawal of a key. A node that has lost only the platform still receives new
versions from its peers; one that has lost only its peers, from the platform.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from baobabwing.entry.context import Readiness
from baobabwing.node.events import NODE_CUT_OFF
from baobabwing.reports.events import log

__all__ = ["MAX_ISOLATION_S", "IsolationMonitor"]

MAX_ISOLATION_S = 3.0
CHECK_INTERVAL_S = 0.25
_BLOCK_REASON = "cut_off"


class IsolationMonitor:
    """Refuses new requests while both peers and platform are unreachable.

    :param readiness: blocked while new requests have to be refused.
    :param isolated: whether the membership receives from no other host although
        there were some before.
    """

    def __init__(self, *, readiness: Readiness, isolated: Callable[[], bool]) -> None:
        self._readiness = readiness
        self._isolated = isolated
        self._platform_answered_at = time.monotonic()
        self._isolated_since: float | None = None
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the thread that checks for isolation."""
        threading.Thread(target=self._check_loop, name="contact", daemon=True).start()

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()

    def record_platform_answer(self) -> None:
        """Record that the platform answered just now."""
        self._platform_answered_at = time.monotonic()

    def check(self, now: float) -> bool:
        """Block or unblock new requests, and return whether they are blocked."""
        if not self._isolated():
            self._isolated_since = None
        elif self._isolated_since is None:
            self._isolated_since = now
        if self._isolated_since is None:
            self._readiness.remove_reason(_BLOCK_REASON)
            return False
        disconnected_since = max(self._isolated_since, self._platform_answered_at)
        is_disconnected = now - disconnected_since > MAX_ISOLATION_S
        if is_disconnected and _BLOCK_REASON not in self._readiness.reasons():
            log(NODE_CUT_OFF, seconds=round(now - disconnected_since, 1))
        if is_disconnected:
            self._readiness.add_reason(_BLOCK_REASON)
        else:
            self._readiness.remove_reason(_BLOCK_REASON)
        return is_disconnected

    def _check_loop(self) -> None:
        while not self._stopping.wait(CHECK_INTERVAL_S):
            self.check(time.monotonic())
