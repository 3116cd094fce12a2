"""Which start of an upstream is the latest, whatever order its rows arrive in."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from baobabwing.gateway.model import UpstreamEntry

__all__ = ["StartBook"]

# Upstreams that departed and whose last start is remembered; a late row of one comes
# within seconds, in which a few dozen go at the most.
_MAX_DEPARTED = 1024


@dataclass(frozen=True, kw_only=True)
class _LatestEntry:
    entry: UpstreamEntry
    listed: bool


class StartBook:
    """Last known entry of each upstream, by name.

    An upstream that starts again keeps its name. A write of its earlier start that was
    on its way may land after the first of the later one, and would bring back an
    address, a state or a number of slots that are no longer true; requests would be
    sent to a process that has ended, or not to one that runs. The time of the start
    tells starts apart, and the count of an upstream's own writes tells rows of one
    start apart, so that only what is newer is taken.
    """

    def __init__(self) -> None:
        self._latest: dict[str, _LatestEntry] = {}

    def settle(self, listed: Iterable[UpstreamEntry]) -> list[UpstreamEntry]:
        """Return the entries to use, given those that are listed.

        :param listed: at most one entry for each name.

        Notes
        -----
        Takes time in proportion to the entries listed and remembered.

        """
        current: dict[str, UpstreamEntry] = {}
        for entry in listed:
            before = self._latest.get(entry.name)
            if before is None or not _is_older(entry, before.entry):
                current[entry.name] = entry
            elif before.listed:
                current[entry.name] = before.entry
        self._remember(current)
        return list(current.values())

    def forget_gone(self) -> None:
        """Forget upstreams that are not listed.

        Counts of a store that came back from an older copy start again from there: one
        that is listed again would count as older than itself, for good.
        """
        self._latest = {name: one for name, one in self._latest.items() if one.listed}

    def _remember(self, current: dict[str, UpstreamEntry]) -> None:
        departed = {
            name: _LatestEntry(entry=known.entry, listed=False)
            for name, known in self._latest.items()
            if name not in current
        }
        for name in list(departed)[: max(len(departed) - _MAX_DEPARTED, 0)]:
            del departed[name]
        self._latest = departed | {
            name: _LatestEntry(entry=entry, listed=True)
            for name, entry in current.items()
        }


def _is_older(entry: UpstreamEntry, known: UpstreamEntry) -> bool:
    """Whether an entry was written before the known one."""
    if not entry.started_ms or not known.started_ms:
        # Where upstreams do not tell when they started, each start has its own name.
        return False
    order = (entry.started_ms, entry.sequence)
    return order < (known.started_ms, known.sequence)
