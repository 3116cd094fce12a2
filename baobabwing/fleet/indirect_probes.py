"""Indirect probes, on behalf of members that received no answer themselves."""

from __future__ import annotations

import threading
import time

from baobabwing.fleet.datagram_sender import DatagramSender
from baobabwing.fleet.host import Host
from baobabwing.fleet.probe import IndirectProbe
from baobabwing.fleet.settings import MembershipSettings
from baobabwing.wire.datagram import DatagramKind

__all__ = ["IndirectProbes"]

_MS = 0.001
_MAX_OPEN_PROBES = 128
_NEVER = float("inf")


class IndirectProbes:
    """Open indirect probes; the result of each is reported to its requester.

    An unresponsive target is reported explicitly. A partitioned requester receives
    no report at all, which distinguishes its own failure from that of the target.
    """

    def __init__(
        self, *, datagram_sender: DatagramSender, cfg: MembershipSettings
    ) -> None:
        self._datagram_sender = datagram_sender
        self._timeout_s = cfg.probe_timeout_ms * _MS
        self._lock = threading.Lock()
        self._open: list[IndirectProbe] = []
        self._by_sequence: dict[int, IndirectProbe] = {}

    def start(self, *, requester: Host, target: Host, answers: int) -> None:
        """Ping a target for another member, unless too many probes are open."""
        now = time.monotonic()
        probe = IndirectProbe(
            requester=requester,
            target=target,
            answers=answers,
            retry_at=now + self._timeout_s / 2,
            ends_at=now + self._timeout_s,
        )
        with self._lock:
            if len(self._open) >= _MAX_OPEN_PROBES:
                return
            self._open.append(probe)
        self._ping(probe)

    def handle_ack(self, sequence: int, name: str) -> None:
        """Report to the requester that the target answered."""
        with self._lock:
            probe = self._by_sequence.get(sequence)
            if probe is None or probe.target.name != name:
                return
            self._close(probe)
        self._report(probe, DatagramKind.INDIRECT_ACK)

    def advance(self, now: float) -> None:
        """Send the second pings that are due and end probes that timed out."""
        with self._lock:
            open_probes = list(self._open)
        for probe in open_probes:
            if now >= probe.ends_at:
                self._give_up(probe)
            elif probe.retry_at is not None and now >= probe.retry_at:
                probe.retry_at = None
                self._ping(probe)

    def next_due(self) -> float:
        """Return the monotonic time at which :meth:`advance` has work to do."""
        with self._lock:
            return min(
                (
                    probe.ends_at if probe.retry_at is None else probe.retry_at
                    for probe in self._open
                ),
                default=_NEVER,
            )

    def _ping(self, probe: IndirectProbe) -> None:
        sequence = self._datagram_sender.send_to(DatagramKind.PING, probe.target)
        with self._lock:
            if probe in self._open:
                probe.sequences.add(sequence)
                self._by_sequence[sequence] = probe

    def _give_up(self, probe: IndirectProbe) -> None:
        with self._lock:
            if probe not in self._open:
                return
            self._close(probe)
        self._report(probe, DatagramKind.INDIRECT_NACK)

    def _close(self, probe: IndirectProbe) -> None:
        self._open.remove(probe)
        for sequence in probe.sequences:
            self._by_sequence.pop(sequence, None)

    def _report(self, probe: IndirectProbe, kind: DatagramKind) -> None:
        self._datagram_sender.send_to(
            kind, probe.requester, target=probe.target.name, answers=probe.answers
        )
