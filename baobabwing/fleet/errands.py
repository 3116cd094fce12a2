"""Probes on behalf of members that got no answer themselves."""

from __future__ import annotations

import threading
import time

from baobabwing.fleet.host import Host
from baobabwing.fleet.probe import Errand
from baobabwing.fleet.settings import MembershipSettings
from baobabwing.fleet.speaker import Speaker
from baobabwing.wire.datagram import DatagramKind

__all__ = ["Errands"]

_MS = 0.001
_LIMIT = 128
_NEVER = float("inf")


class Errands:
    """Open probes for others; each ends with a word to who asked.

    That a target is silent is said in words too. A node that is cut off hears
    nothing at all, and can tell that apart from a target that is dead.
    """

    def __init__(self, *, speaker: Speaker, cfg: MembershipSettings) -> None:
        self._speaker = speaker
        self._timeout_s = cfg.probe_timeout_ms * _MS
        self._lock = threading.Lock()
        self._errands: list[Errand] = []
        self._by_sequence: dict[int, Errand] = {}

    def take(self, *, asker: Host, target: Host, answers: int) -> None:
        """Ping a target for another member, unless too many errands are open."""
        now = time.monotonic()
        errand = Errand(
            asker=asker,
            target=target,
            answers=answers,
            retry_at=now + self._timeout_s / 2,
            ends_at=now + self._timeout_s,
        )
        with self._lock:
            if len(self._errands) >= _LIMIT:
                return
            self._errands.append(errand)
        self._ping(errand)

    def answered(self, sequence: int, name: str) -> None:
        """Tell who asked that the target answered."""
        with self._lock:
            errand = self._by_sequence.get(sequence)
            if errand is None or errand.target.name != name:
                return
            self._close(errand)
        self._report(errand, DatagramKind.INDIRECT_ACK)

    def advance(self, now: float) -> None:
        """Ping again or give up where it is time."""
        with self._lock:
            errands = list(self._errands)
        for errand in errands:
            if now >= errand.ends_at:
                self._give_up(errand)
            elif errand.retry_at is not None and now >= errand.retry_at:
                errand.retry_at = None
                self._ping(errand)

    def next_due(self) -> float:
        """Return when :meth:`advance` has something to do."""
        with self._lock:
            return min(
                (
                    errand.ends_at if errand.retry_at is None else errand.retry_at
                    for errand in self._errands
                ),
                default=_NEVER,
            )

    def _ping(self, errand: Errand) -> None:
        sequence = self._speaker.say(DatagramKind.PING, errand.target)
        with self._lock:
            if errand in self._errands:
                errand.sequences.add(sequence)
                self._by_sequence[sequence] = errand

    def _give_up(self, errand: Errand) -> None:
        with self._lock:
            if errand not in self._errands:
                return
            self._close(errand)
        self._report(errand, DatagramKind.INDIRECT_NACK)

    def _close(self, errand: Errand) -> None:
        self._errands.remove(errand)
        for sequence in errand.sequences:
            self._by_sequence.pop(sequence, None)

    def _report(self, errand: Errand, kind: DatagramKind) -> None:
        self._speaker.say(
            kind, errand.asker, target=errand.target.name, answers=errand.answers
        )
