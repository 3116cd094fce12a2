"""Joining the fleet through candidates, and pulling its members page by page."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Iterable

from baobabwing.fleet.datagram_sender import DatagramSender
from baobabwing.fleet.events import SEEDS_FAILED
from baobabwing.fleet.host import Host, MemberState
from baobabwing.fleet.settings import MembershipSettings
from baobabwing.fleet.table import MemberTable
from baobabwing.fleet.targets import live_others
from baobabwing.reports.events import log
from baobabwing.wire.datagram import DatagramKind

__all__ = ["Joining", "SeedReader"]

_MS = 0.001
_PAGE_TIMEOUT_S = 0.3
_MAX_PAGE_ATTEMPTS = 6
_LASTING_DIFFERENCE_S = 10.0
_AGREEMENTS_BEFORE_CLEAR = 8
_NEVER = float("inf")


class SeedReader:
    """Reads the list of hosts on a thread of its own.

    The list comes from the platform; reading it may take seconds or fail. On the
    probing thread that delay would make the other members declare this node dead.
    The list only names candidates: a host missing from it stays a member.
    """

    def __init__(
        self, *, seeds: Callable[[], Iterable[Host]], cfg: MembershipSettings
    ) -> None:
        self._seeds = seeds
        self._interval_s = cfg.seed_interval_ms * _MS
        self._retry_s = cfg.join_interval_ms * _MS
        self._stopping = False
        self._woken = threading.Event()
        self._candidates: tuple[Host, ...] = ()
        self.on_first_list: Callable[[], None] = lambda: None

    def candidates(self) -> tuple[Host, ...]:
        """Return the hosts of the last list that was read successfully."""
        return self._candidates

    def run(self) -> None:
        """Read the list until stopped."""
        while not self._stopping:
            self._read()
            pause_s = self._interval_s if self._candidates else self._retry_s
            self._woken.wait(pause_s)
            self._woken.clear()

    def wake(self) -> None:
        """Read the list now instead of after the interval."""
        self._woken.set()

    def stop(self) -> None:
        """Tell the thread to end after the current read."""
        self._stopping = True
        self.wake()

    def _read(self) -> None:
        before = self._candidates
        try:
            self._candidates = tuple(self._seeds())
        except Exception as exc:
            # Membership works without the list, and the thread must still run when
            # the platform is available again, whatever its client raised.
            log(SEEDS_FAILED, error=repr(exc))
        if self._candidates and not before:
            self.on_first_list()


class Joining:
    """Joins through candidates and completes the member table by pulling pages."""

    def __init__(
        self,
        *,
        table: MemberTable,
        datagram_sender: DatagramSender,
        seeds: SeedReader,
        cfg: MembershipSettings,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._datagram_sender = datagram_sender
        self._seeds = seeds
        self._cfg = cfg
        self._rng = rng
        self._lock = threading.Lock()
        self._join_at = 0.0
        self._pull_needed = True
        self._source: Host | None = None
        self._cursor = ""
        self._requested_at = 0.0
        self._request_sequence = 0
        self._attempts = 0
        self._differs_since: float | None = None
        self._pulled_at = -_NEVER
        self._agreements = 0

    def advance(self, now: float) -> None:
        """Contact candidates when due, and request a lost page again."""
        if now >= self._join_at:
            self._join(now)
        if self._source is not None and now >= self._requested_at + _PAGE_TIMEOUT_S:
            self._retry_page(now)

    def next_due(self) -> float:
        """Return the monotonic time at which :meth:`advance` has work to do."""
        if self._source is not None:
            return min(self._join_at, self._requested_at + _PAGE_TIMEOUT_S)
        return self._join_at

    def join_now(self) -> None:
        """Contact candidates at the next :meth:`advance`."""
        self._join_at = 0.0

    def handle_live_member(self, host: Host) -> None:
        """Request all members from a live member, if a pull is needed."""
        with self._lock:
            if not self._pull_needed or self._source is not None:
                return
            self._start_pull(host, time.monotonic())

    def request_full_pull(self) -> None:
        """Request all members from the next live member that sends a datagram."""
        self._pull_needed = True

    def compare_digest(self, host: Host, *, differs: bool) -> None:
        """Handle whether a member's digest differs from the own one.

        Samples usually repair a difference within seconds. If it lasts, all members
        are pulled from a peer that differs, at a bounded rate.
        """
        now = time.monotonic()
        with self._lock:
            if not differs:
                self._differs_since = None
                self._count_agreement()
                return
            self._agreements = 0
            if self._differs_since is None:
                self._differs_since = now
            lasting = now - self._differs_since > _LASTING_DIFFERENCE_S
            interval_s = self._cfg.page_interval_ms * _MS
            interval_over = now - self._pulled_at > interval_s
            if lasting and interval_over and self._source is None:
                self._start_pull(host, now)

    def _count_agreement(self) -> None:
        # After a start or the loss of a zone, more updates are queued than can be
        # piggybacked in minutes at the highest rate, although all nodes have them.
        self._agreements += 1
        if self._agreements == _AGREEMENTS_BEFORE_CLEAR:
            self._agreements = 0
            self._datagram_sender.clear_updates()

    def on_page(self, sender: str, answers: int, cursor: str) -> None:
        """Request the next page after a received one, if there is one."""
        with self._lock:
            if self._source is None or sender != self._source.name:
                return
            if answers != self._request_sequence:
                return
            if not cursor:
                self._source = None
                return
            self._cursor = cursor
            self._attempts = 0
            self._request_page(time.monotonic())

    def _start_pull(self, host: Host, now: float) -> None:
        self._pull_needed = False
        self._source = host
        self._cursor = ""
        self._attempts = 0
        self._pulled_at = now
        self._request_page(now)

    def _request_page(self, now: float) -> None:
        self._requested_at = now
        self._attempts += 1
        self._request_sequence = self._datagram_sender.send_to(
            DatagramKind.PAGE_REQUEST, self._source, target=self._cursor
        )

    def _retry_page(self, now: float) -> None:
        with self._lock:
            if self._source is None:
                return
            if self._attempts >= _MAX_PAGE_ATTEMPTS:
                self._source = None
                self._pull_needed = True
                return
            self._request_page(now)

    def _join(self, now: float) -> None:
        view = self._table.view()
        me = self._table.me.host
        alone = not live_others(view, me.name)
        interval_ms = (
            self._cfg.join_interval_ms if alone else self._cfg.seed_interval_ms
        )
        self._join_at = now + interval_ms * _MS
        unknown_hosts = [
            host for host in self._seeds.candidates() if self._is_unknown(host)
        ]
        self._rng.shuffle(unknown_hosts)
        for host in unknown_hosts[: self._cfg.fan_out]:
            self._datagram_sender.introduce(DatagramKind.JOIN, host.peer)

    def _is_unknown(self, host: Host) -> bool:
        me = self._table.me.host
        if not host.peer or host.name == me.name or host.peer == me.peer:
            return False
        member = self._table.find(host.name)
        return member is None or member.state in (MemberState.DEAD, MemberState.LEFT)
