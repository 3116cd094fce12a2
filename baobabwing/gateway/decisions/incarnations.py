"""Latest incarnation of each upstream, whatever order its rows arrive in."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from baobabwing.gateway.model import UpstreamEntry

__all__ = ["LatestIncarnations"]

# Maximum number of departed upstreams whose latest entry is remembered. A delayed row
# of one arrives within seconds, in which a few dozen leave at most.
_MAX_DEPARTED = 1024


@dataclass(frozen=True, kw_only=True)
class _LatestEntry:
    entry: UpstreamEntry
    listed: bool


class LatestIncarnations:
    """Latest known entry of each upstream, by name.

    An upstream that restarts keeps its name. A delayed write of its earlier incarnation
    may land after the first write of the later one, and would bring back an outdated
    address, state or number of slots; requests would be sent to a process that has
    ended, or not to the one that runs. Incarnations are ordered by their start time,
    and rows of one incarnation by the upstream's own count of its writes; an entry is
    used only if it is not older than the latest one.
    """

    def __init__(self) -> None:
        self._latest: dict[str, _LatestEntry] = {}

    def latest_entries(self, listed: Iterable[UpstreamEntry]) -> list[UpstreamEntry]:
        """Return the entries to use, given those that are listed.

        An outdated entry is replaced by the latest one, or left out if its upstream had
        departed.

        :param listed: at most one entry for each name.

        Notes
        -----
        Takes time proportional to the number of entries listed and remembered.

        """
        current: dict[str, UpstreamEntry] = {}
        for entry in listed:
            latest = self._latest.get(entry.name)
            if latest is None or not _is_older(entry, latest.entry):
                current[entry.name] = entry
            elif latest.listed:
                current[entry.name] = latest.entry
        self._remember(current)
        return list(current.values())

    def forget_departed(self) -> None:
        """Forget upstreams that are not listed.

        Needed after the store was restored from an older snapshot: its counts of writes
        start again from there, so an upstream that is listed again would count as older
        than its remembered entry forever.
        """
        self._latest = {
            name: latest for name, latest in self._latest.items() if latest.listed
        }

    def _remember(self, current: dict[str, UpstreamEntry]) -> None:
        departed = {
            name: _LatestEntry(entry=latest.entry, listed=False)
            for name, latest in self._latest.items()
            if name not in current
        }
        for name in list(departed)[: max(len(departed) - _MAX_DEPARTED, 0)]:
            del departed[name]
        self._latest = departed | {
            name: self._listed(name, entry) for name, entry in current.items()
        }

    def _listed(self, name: str, entry: UpstreamEntry) -> _LatestEntry:
        latest = self._latest.get(name)
        if latest is not None and latest.listed and latest.entry is entry:
            return latest
        return _LatestEntry(entry=entry, listed=True)


def _is_older(entry: UpstreamEntry, latest: UpstreamEntry) -> bool:
    """Whether an entry was written before the latest known one."""
    if not entry.started_ms or not latest.started_ms:
        # Upstreams that do not report a start time use a new name at each start.
        return False
    order = (entry.started_ms, entry.sequence)
    return order < (latest.started_ms, latest.sequence)
