"""Whether this node can still hear of changes of the configuration.

A node that hears neither its peers nor the platform cannot know which version
is in force. It goes on with what it dispatched, and takes nothing new after a
short while: an operator's change has to be in force everywhere within seconds,
and a node that is cut off cannot be told that it was, say, a key that was
withdrawn. With only the platform down, peers would still bring a new version;
with only the peers cut off, the platform would.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from baobabwing.entry.context import Readiness
from baobabwing.node.events import NODE_CUT_OFF
from baobabwing.reports.events import log

__all__ = ["CUT_OFF_S", "Contact"]

CUT_OFF_S = 3.0
CHECK_S = 0.25
_REASON = "cut_off"


class Contact:
    """Watches for the loss of both peers and platform.

    :param readiness: told when new requests have to be refused.
    :param isolated: whether the membership hears no other host though there
        were some.
    """

    def __init__(self, *, readiness: Readiness, isolated: Callable[[], bool]) -> None:
        self._readiness = readiness
        self._isolated = isolated
        self._platform_at = time.monotonic()
        self._alone_since: float | None = None
        self._stopping = threading.Event()

    def start(self) -> None:
        """Begin to watch."""
        threading.Thread(target=self._watch, name="contact", daemon=True).start()

    def stop(self) -> None:
        """Watch no more."""
        self._stopping.set()

    def heard_platform(self) -> None:
        """Note that the platform answered."""
        self._platform_at = time.monotonic()

    def check(self, now: float) -> bool:
        """Refuse or admit new requests, and return whether they are refused."""
        if not self._isolated():
            self._alone_since = None
        elif self._alone_since is None:
            self._alone_since = now
        if self._alone_since is None:
            self._readiness.remove_reason(_REASON)
            return False
        since = max(self._alone_since, self._platform_at)
        cut_off = now - since > CUT_OFF_S
        if cut_off and _REASON not in self._readiness.reasons():
            log(NODE_CUT_OFF, seconds=round(now - since, 1))
        if cut_off:
            self._readiness.add_reason(_REASON)
        else:
            self._readiness.remove_reason(_REASON)
        return cut_off

    def _watch(self) -> None:
        while not self._stopping.wait(CHECK_S):
            self.check(time.monotonic())
