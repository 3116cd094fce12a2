"""Limits under which callers may work while a configuration changes."""

from __future__ import annotations

from collections import deque

from baobabwing.gateway.model import CallerLimits

__all__ = ["LimitsHistory"]

# Time for which callers may go on by limits that have been replaced.
_KEPT_S = 5.0
_MAX_REPLACED = 64


class LimitsHistory:
    """The limits in force, and those replaced before.

    Callers learn of a change later or earlier than this node, and a connection may be
    idle, or a request be sent, throughout a change. A limit that is stricter than one
    by which the caller may work would end its connection with a request on its way.
    """

    def __init__(self) -> None:
        self._current: CallerLimits | None = None
        self._replaced: deque[tuple[float, CallerLimits]] = deque(maxlen=_MAX_REPLACED)

    def replace(self, limits: CallerLimits, now: float) -> None:
        """Put other limits in force.

        :param now: monotonic time.
        """
        if limits == self._current:
            return
        if self._current is not None:
            self._replaced.append((now, self._current))
        self._current = limits

    def loosest_since(self, began_at: float) -> CallerLimits:
        """Return the loosest of each limit by which a caller may have worked.

        :param began_at: monotonic time since which it has worked; the result never
            becomes stricter for the same time.
        """
        current = self._current or CallerLimits()
        limits = [current]
        for replaced_at, replaced in reversed(self._replaced):
            if replaced_at < began_at - _KEPT_S:
                break
            limits.append(replaced)
        if len(limits) == 1:
            return current
        return CallerLimits(
            head_bytes=max(one.head_bytes for one in limits),
            body_bytes=max(one.body_bytes for one in limits),
            head_timeout_s=max(one.head_timeout_s for one in limits),
            idle_timeout_s=max(one.idle_timeout_s for one in limits),
        )
