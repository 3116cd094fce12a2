"""Paths from this node to upstreams: direct, or through another node."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable, Iterable, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from random import Random

from baobabwing.exceptions import (
    ConnectionLostError,
    ConnectionRefusedByPeerError,
    DescriptorShortageError,
)
from baobabwing.fleet.host import Host
from baobabwing.gateway.connection import (
    HttpConnection,
    open_connection,
    open_transport,
)
from baobabwing.gateway.events import UPSTREAM_PATH_BACK, UPSTREAM_PATH_LOST
from baobabwing.gateway.tunnels import SplicedEnd, open_tunnel
from baobabwing.reports.events import log

__all__ = ["OpenPath", "UpstreamPaths"]

# An upstream in another availability zone accepts within a few round trips of 3 ms; a
# lost SYN is retransmitted only after 1 s, so a new attempt is better than waiting.
_CONNECT_TIMEOUT_S = 0.3
# Time for which a pending direct path is alone, where it worked before, and where it
# was blocked a while ago. Upstreams accept slowly when all nodes connect at once, as
# after a loss of power; relays would only add to that.
_HEAD_START_S = 0.15
_BLOCKED_HEAD_START_S = 0.06
# The next path is tried beside pending ones after this time.
_STAGGER_S = 0.06
_OPEN_TIMEOUT_S = 0.4
# The same where all paths are heard: each takes its time to connect.
_VERDICT_TIMEOUT_S = 0.8
_MAX_RELAYS_TRIED = 3
# A path that failed while another one worked is left out for this long.
_BLOCKED_S = 2.0
# A path that breaks connections after accepting them is left out for up to this long.
_MAX_SUSPECTED_S = 16.0
# An upstream that no path has reached counts as down for this long, and is then only
# tried directly.
_DOWN_S = 1.0
# A relay that failed is used last for this long.
_RELAY_AVOIDED_S = 1.0
_MAX_GOOD_RELAYS = 4
_HEAD_BYTES = 65_536


@dataclass(frozen=True, kw_only=True)
class OpenPath:
    """An open connection to an upstream.

    :param relay: address of the node through which it goes; empty if direct.
    """

    conn: HttpConnection
    relay: str = ""


@dataclass(frozen=True, kw_only=True)
class _Suspicion:
    """A direct path lost a connection unanswered.

    :param at: when, by the monotonic clock.
    :param pause_s: time for which the path was left out.
    """

    at: float
    pause_s: float


_Attempt = Callable[[], Awaitable[OpenPath]]


class UpstreamPaths:
    """Opens connections to upstreams by whichever path works first.

    A node may lose its path to an upstream that other nodes still reach. A failed
    connection alone can't tell that from an upstream that has ended, so other nodes
    are asked before the upstream counts as lost.

    :param relays: returns the other nodes.
    :param withdrawn: returns the addresses of the nodes that are leaving or have ended.
    :param zone: availability zone of this node.
    :param rng: picks relays.
    :param loop_late_s: returns by how much the timers of this process are late.
    """

    def __init__(
        self,
        *,
        relays: Callable[[], Sequence[Host]] = tuple,
        withdrawn: Callable[[], AbstractSet[str]] = frozenset,
        zone: str = "",
        rng: Random | None = None,
        loop_late_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._relays = relays
        self._withdrawn = withdrawn
        self._zone = zone
        self._rng = rng or Random()
        self._loop_late_s = loop_late_s
        self._blocked_until: dict[str, float] = {}
        # Direct paths known to have failed, not only suspected once.
        self._lost: set[str] = set()
        self._down_until: dict[str, float] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._avoided_until: dict[str, float] = {}
        self._good: deque[str] = deque(maxlen=_MAX_GOOD_RELAYS)

    @property
    def blocked(self) -> int:
        """Number of upstreams that are reached through other nodes only."""
        now = time.monotonic()
        return sum(until > now for until in self._blocked_until.values())

    def blocked_s(self, address: str, now: float) -> float:
        """Return for how long the direct path to an upstream is still tried last."""
        return max(self._blocked_until.get(address, 0.0) - now, 0.0)

    async def open(self, address: str, *, agreeing: int | None = None) -> OpenPath:
        """Connect to an upstream.

        :param address: ``ip:port``.
        :param agreeing: paths on which the connection was refused that are enough to
            take the upstream for ended; by default all are tried.
        :raises ConnectionRefusedByPeerError: with ``agreeing``, if so many paths were
            refused, or any while none was open in time. A refusal of this node's own
            path does not count if that path was lost before.
        :raises DescriptorShortageError: if this process can open no connection.
        :raises ConnectionLostError: if no path leads there.
        """
        now = time.monotonic()
        down = agreeing is None and now < self._down_until.get(address, 0.0)
        attempts = [] if down else self._tunnel_attempts(address, now)
        is_blocked = self.blocked_s(address, now) > 0
        direct = self._direct(address, was_lost=address in self._lost)
        attempts.insert(len(attempts) if is_blocked else 0, direct)
        head_start_s = _STAGGER_S if is_blocked else self._head_start_s(address)
        timeout_s = _OPEN_TIMEOUT_S if agreeing is None else _VERDICT_TIMEOUT_S
        try:
            async with asyncio.timeout(timeout_s):
                path = await _first_open(attempts, head_start_s, agreeing)
        except DescriptorShortageError:
            raise
        except (ConnectionLostError, TimeoutError) as exc:
            self._down_until[address] = time.monotonic() + _DOWN_S
            if agreeing is not None and _is_refusal(exc):
                self._clear_suspicion(address)
            if isinstance(exc, ConnectionLostError):
                raise
            raise ConnectionLostError(
                "no connection in time", step="connect", peer=address
            ) from exc
        self._record_open(address, path, was_blocked=is_blocked)
        return path

    async def open_by(self, address: str, relay: str) -> HttpConnection:
        """Connect to an upstream by one path, whatever is known of it.

        :param relay: address of the node through which it goes; empty if direct.
        :raises ConnectionLostError: if that path does not lead there.
        """
        if not relay:
            return await open_connection(
                address, timeout_s=_CONNECT_TIMEOUT_S, head_bytes=_HEAD_BYTES
            )
        return await open_tunnel(
            relay, address, timeout_s=_CONNECT_TIMEOUT_S, head_bytes=_HEAD_BYTES
        )

    async def connect_for_peer(self, address: str) -> SplicedEnd:
        """Connect directly to an upstream, as one end of a tunnel.

        :raises ConnectionLostError: if this node has no direct path.
        """
        if self.blocked_s(address, time.monotonic()) > 0:
            raise ConnectionLostError(
                "no direct path here either", step="connect", peer=address
            )
        return await open_transport(address, SplicedEnd, timeout_s=_CONNECT_TIMEOUT_S)

    def suspect(self, address: str, relay: str, *, opened_at: float) -> None:
        """Use other paths first for a while: a connection was lost unanswered.

        A direct path is left for longer each time until it has brought an answer, since
        each look at it costs a request.

        :param relay: node through which it went; empty if it was direct.
        :param opened_at: when the connection was opened. Several that are lost together
            count once.
        """
        if relay:
            self._avoid(relay)
            return
        earlier = self._suspicions.get(address)
        if earlier is not None and opened_at <= earlier.at:
            return
        if address in self._blocked_until:
            self._lost.add(address)
        pause_s = min(2 * earlier.pause_s, _MAX_SUSPECTED_S) if earlier else _BLOCKED_S
        now = time.monotonic()
        self._suspicions[address] = _Suspicion(at=now, pause_s=pause_s)
        self._blocked_until[address] = now + pause_s

    def confirm(self, address: str) -> None:
        """Record that an answer has come over a direct path."""
        self._suspicions.pop(address, None)
        self._lost.discard(address)
        if self._blocked_until.pop(address, None) is not None:
            log(UPSTREAM_PATH_BACK, upstream=address)

    def forget(self, listed: set[str]) -> None:
        """Forget the state of upstreams that are no longer listed, and what is over.

        :param listed: addresses of the listed upstreams.
        """
        now = time.monotonic()
        self._lost &= listed
        for table in (self._blocked_until, self._down_until, self._suspicions):
            for address in tuple(table):
                if address not in listed:
                    del table[address]
        self._avoided_until = {
            relay: until for relay, until in self._avoided_until.items() if until > now
        }

    def _record_open(self, address: str, path: OpenPath, *, was_blocked: bool) -> None:
        self._down_until.pop(address, None)
        if not path.relay:
            return
        if path.relay not in self._good:
            self._good.append(path.relay)
        if not was_blocked:
            if address not in self._blocked_until:
                log(UPSTREAM_PATH_LOST, upstream=address, via=path.relay)
            self._lost.add(address)
            self._blocked_until[address] = time.monotonic() + _BLOCKED_S

    def _clear_suspicion(self, address: str) -> None:
        """Drop the suspicion of a path that lost a connection as its upstream ended."""
        if address not in self._lost:
            self._suspicions.pop(address, None)
            self._blocked_until.pop(address, None)

    def _head_start_s(self, address: str) -> float:
        """Return how long a direct path may be pending before a relay is tried.

        A node that is late itself sees connections open late.
        """
        blocked_before = address in self._blocked_until
        head_start_s = _BLOCKED_HEAD_START_S if blocked_before else _HEAD_START_S
        return head_start_s + 2 * self._loop_late_s()

    def _direct(self, address: str, *, was_lost: bool) -> _Attempt:
        """Return the attempt to connect directly.

        :param was_lost: whether other paths worked lately while this one did not, or it
            has broken connections more than once; then its refusal tells of the path.
        """

        async def attempt() -> OpenPath:
            try:
                conn = await open_connection(
                    address, timeout_s=_CONNECT_TIMEOUT_S, head_bytes=_HEAD_BYTES
                )
            except ConnectionRefusedByPeerError as exc:
                if not was_lost:
                    raise
                raise ConnectionLostError(
                    exc.message, step=exc.step, peer=exc.peer
                ) from exc
            return OpenPath(conn=conn)

        return attempt

    def _tunnel_attempts(self, address: str, now: float) -> list[_Attempt]:
        return [self._through(relay, address) for relay in self._pick_relays(now)]

    def _through(self, relay: str, address: str) -> _Attempt:
        async def attempt() -> OpenPath:
            try:
                conn = await open_tunnel(
                    relay, address, timeout_s=_CONNECT_TIMEOUT_S, head_bytes=_HEAD_BYTES
                )
            except DescriptorShortageError:
                raise
            except ConnectionLostError:
                self._avoid(relay)
                raise
            if relay in self._withdrawn():
                conn.abort()
                raise ConnectionLostError(
                    "the relay has begun to leave", step="connect", peer=relay
                )
            return OpenPath(conn=conn, relay=relay)

        return attempt

    def _avoid(self, relay: str) -> None:
        self._avoided_until[relay] = time.monotonic() + _RELAY_AVOIDED_S
        if relay in self._good:
            self._good.remove(relay)

    def _pick_relays(self, now: float) -> list[str]:
        """Return relays to try in turn: those that worked, then near and far ones.

        A whole zone may be cut off, so after one near relay that has not worked yet far
        ones follow. Those that failed a moment ago come last.
        """
        hosts = [host for host in self._relays() if host.work]
        zones = {host.work: host.zone for host in hosts}
        avoided = {work for work in zones if now < self._avoided_until.get(work, 0.0)}
        good = [work for work in self._good if work in zones and work not in avoided]
        self._rng.shuffle(good)
        near = self._sample(
            work for work in zones.keys() - avoided if zones[work] == self._zone
        )
        far = self._sample(
            work for work in zones.keys() - avoided if zones[work] != self._zone
        )
        picked = [
            *good[: _MAX_RELAYS_TRIED - 1],
            *near[:1],
            *far,
            *near[1:],
            *self._sample(avoided),
        ]
        return list(dict.fromkeys(picked))[:_MAX_RELAYS_TRIED]

    def _sample(self, relays: Iterable[str]) -> list[str]:
        """Return some of the relays at random, as many as are tried."""
        candidates = sorted(relays)
        count = min(_MAX_RELAYS_TRIED, len(candidates))
        return self._rng.sample(candidates, count)


async def _first_open(
    attempts: Sequence[_Attempt], head_start_s: float, agreeing: int | None
) -> OpenPath:
    """Return the first path that opens.

    Each attempt starts once one before it has failed, or has been pending for a while.

    :param head_start_s: that time for the first attempt.
    :param agreeing: refused attempts that end the search.
    :raises ConnectionLostError: of the first attempt, if all fail; with ``agreeing`` of
        a refused one, if enough of them were refused.
    """
    remaining = list(attempts)
    tasks: list[asyncio.Task[OpenPath]] = []
    pending: set[asyncio.Task[OpenPath]] = set()
    first = None
    refused: list[BaseException] = []
    try:
        while first is None and (remaining or pending):
            if remaining:
                tasks.append(asyncio.ensure_future(remaining.pop(0)()))
                pending.add(tasks[-1])
            pause_s = head_start_s if len(tasks) == 1 else _STAGGER_S
            done, pending = await asyncio.wait(
                pending,
                timeout=pause_s if remaining else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            first = next((task for task in done if task.exception() is None), None)
            refused += filter(_is_refusal, (task.exception() for task in done))
            if first is None and len(refused) == agreeing:
                raise refused[0]
        if first is None and agreeing is not None and refused:
            raise refused[0]
        return (first or tasks[0]).result()
    finally:
        for task in tasks:
            if task is not first:
                task.cancel()
                task.add_done_callback(_close_late)


def _is_refusal(exc: BaseException | None) -> bool:
    return isinstance(exc, ConnectionRefusedByPeerError)


def _close_late(task: asyncio.Task[OpenPath]) -> None:
    """Close a connection that opened after another one was taken."""
    if not task.cancelled() and task.exception() is None:
        task.result().conn.close()
