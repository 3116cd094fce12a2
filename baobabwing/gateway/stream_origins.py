"""Exchange between nodes of where streams began.

What two versions of an upstream's software write does not fit together, so a stream
goes on only at the version that began it. Its caller may take it up at any node, and
the first node may have ended. So while a pool may have several versions, each node
sends what it knows of its own streams to a few others, ranked by the stream, before the
caller gets the first event; a node that is asked to go on with a stream asks these.
Beside several versions, a node that follows the store also stores it.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import functools
import hashlib
import heapq
import itertools
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from baobabwing.fleet.host import Host
from baobabwing.gateway.batches import batches
from baobabwing.gateway.call import Call
from baobabwing.gateway.decisions.stream_origins import (
    SOFTWARE_KEPT_S,
    BegunStreams,
    KnownBy,
    OriginAnswer,
    SoftwareView,
    StreamOrigin,
    software_crc,
    sole_software,
)
from baobabwing.gateway.document_distribution import MAX_LIST_AGE_S
from baobabwing.gateway.members import Members
from baobabwing.gateway.model import UpstreamEntry
from baobabwing.gateway.placement.codec import name_crc
from baobabwing.gateway.placement.gateway_link import GatewayLink
from baobabwing.gateway.placement.messages import (
    StreamQuery,
    StreamQueryAnswer,
    StreamRecord,
    StreamRecords,
)
from baobabwing.gateway.pool import PoolRuntime
from baobabwing.gateway.state import GatewayState
from baobabwing.gateway.stream_archive import StreamArchive

__all__ = ["FoundOrigin", "StreamOrigins", "stream_digest", "stream_keepers"]

# Nodes that keep the record of a stream, beside the one that serves it.
_COPIES = 3
# Nodes, this one included, that have to know that a pool has had one version only, as
# long as others may still answer. One of them may be about to hear of a second one.
_CONFIRMATIONS = 2
# Times of the queries to each of these nodes, from the first one, and the time after
# which those that have not answered are left out. Datagrams may be lost.
_QUERY_TIMES_S = (0.0, 0.1, 0.3)
_QUERY_TIMEOUT_S = 0.6
# Interval at which a take-up that waits for a check of the list looks for it, and the
# shortest one between two checks that are asked for.
_LIST_CHECK_INTERVAL_S = 0.1
_MIN_ASK_INTERVAL_S = 0.2
# A node that stood still has read by then what had come to it meanwhile, such as an
# old answer of the store.
_BACKLOG_S = 0.1
# A record is kept for this long after its caller's deadline.
_RECORD_MARGIN_S = 2.0
# Records are sent again after changes of the membership, at most this often.
_MIN_RESEND_INTERVAL_S = 0.5
_EXPIRY_INTERVAL_S = 1.0
# Records that fit a datagram that is not fragmented.
_MAX_PER_DATAGRAM = 70
# Hosts of a stream's ranking among which those in different zones are chosen.
_MAX_CONSIDERED = 12
_MAX_CACHED_NAMES = 1024
_DIGEST_BYTES = 8
_MASK = (1 << 64) - 1
_NOTHING_SEEN = SoftwareView(versions=0, sole=0, watched_s=0.0)
# Multiplier and shifts of a 64-bit finalizer, which mixes all bits of its input.
_MULTIPLIER = 0xFF51AFD7ED558CCD
_SHIFT = 33


def stream_keepers(stream: int, hosts: Iterable[Host], count: int) -> list[Host]:
    """Return the hosts that keep the record of a stream, by rendezvous hashing.

    Where there are several availability zones, the first hosts are in different ones.

    :param stream: digest of the stream.
    """
    ranked = heapq.nlargest(
        _MAX_CONSIDERED, hosts, key=lambda host: _score(stream, host.name)
    )
    seen_in_zone: Counter[str] = Counter()
    layered = []
    for position, host in enumerate(ranked):
        layered.append((seen_in_zone[host.zone], position, host))
        seen_in_zone[host.zone] += 1
    layered.sort(key=lambda item: item[:2])
    return [host for _, _, host in layered[:count]]


def _score(stream: int, name: str) -> int:
    mixed = ((stream ^ _name_key(name)) * _MULTIPLIER) & _MASK
    mixed ^= mixed >> _SHIFT
    return (mixed * _MULTIPLIER) & _MASK


@functools.lru_cache(maxsize=_MAX_CACHED_NAMES)
def _name_key(name: str) -> int:
    return stream_digest(name)


def stream_digest(text: str) -> int:
    """Return the 64-bit digest of a stream's id."""
    data = text.encode("latin-1", "replace")
    return int.from_bytes(
        hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest(), "big"
    )


@dataclass(frozen=True, kw_only=True)
class FoundOrigin:
    """Where a stream began, and how this node knows it."""

    origin: StreamOrigin
    known_by: KnownBy


@dataclass(kw_only=True)
class _Query:
    """A query that waits for answers.

    :param own: what this node has seen of the stream's pool.
    :param keepers: addresses of the nodes that were asked.
    :param began_at: when the first message was sent.
    :param answers: by address.
    :param settled: set once more answers would change nothing.
    """

    own: SoftwareView
    keepers: list[str]
    began_at: float
    answers: dict[str, OriginAnswer] = field(default_factory=dict)
    settled: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def recorded(self) -> StreamOrigin | None:
        """The record of a keeper that has one."""
        origins = (answer.origin for answer in self.answers.values())
        return next((origin for origin in origins if origin is not None), None)

    def sole(self, *, confirmations: int) -> int:
        """Return the only version that may have begun the stream; 0 if unclear."""
        others = [answer.seen for answer in self.answers.values()]
        return sole_software(self.own, others, confirmations=confirmations)

    @property
    def complete(self) -> bool:
        """Whether all keepers have answered."""
        return 0 < len(self.keepers) == len(self.answers)

    def add(self, address: str, answer: OriginAnswer) -> None:
        """Add a keeper's answer."""
        self.answers[address] = answer
        if self.complete or self.recorded:
            self.settled.set()


class StreamOrigins:
    """Records of the streams of this node, and of those that others began.

    :param state: the pools, with the versions that they have had.
    :param members: the nodes that keep records.
    :param link: carries the messages.
    :param list_checked_at: returns when the list of upstreams was last known to be
        current, by the monotonic clock.
    :param list_followed_since: returns since when it was checked without a gap in
        which changes may have been missed.
    :param check_list: has the list checked soon, where this node can.
    :param store_followers: returns the nodes that follow the store; none if all do.
    :ivar archive: stores records for nodes that start.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        members: Members,
        link: GatewayLink,
        list_checked_at: Callable[[], float],
        list_followed_since: Callable[[], float] = lambda: float("-inf"),
        check_list: Callable[[], None] = lambda: None,
        store_followers: Callable[[], Sequence[Host]] = tuple,
    ) -> None:
        self._state = state
        self._members = members
        self._link = link
        self._list_checked_at = list_checked_at
        self._list_followed_since = list_followed_since
        self._check_list = check_list
        self._asked_for_check_at = float("-inf")
        self._store_followers = store_followers
        self.archive = StreamArchive()
        self._records = BegunStreams()
        self._open: dict[int, tuple[StreamOrigin, float]] = {}
        self._recorded: set[int] = set()
        self._queries: dict[int, _Query] = {}
        self._numbers = itertools.count(1)
        self._membership_changed = asyncio.Event()
        link.handle(StreamRecords, self._handle_records)
        link.handle(StreamQuery, self._handle_query)
        link.handle(StreamQueryAnswer, self._handle_answer)
        members.on_change(self._membership_changed.set)

    @property
    def records(self) -> int:
        """Number of streams of which this node has a record."""
        return len(self._records)

    @property
    def recorded_pools(self) -> int:
        """Number of pools whose streams this node sends to other nodes."""
        return len(self._recorded)

    async def run(self) -> None:
        """Send records again after changes of the membership; drop old ones."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_EXPIRY_INTERVAL_S):
                    await self._membership_changed.wait()
            if self._membership_changed.is_set():
                self._membership_changed.clear()
                self._send(self._open)
            self._records.expire(time.monotonic())
            for pool in tuple(self._state.pools.values()):
                self.list_pool(pool.cells.crc)
            await asyncio.sleep(_MIN_RESEND_INTERVAL_S)

    def began(self, call: Call, entry: UpstreamEntry) -> None:
        """Record a stream whose first event has come and was not sent to its caller.

        :param entry: the upstream that sent the event.
        """
        call.software = software_crc(entry.version)
        if not call.route.resumable:
            return
        stream = stream_digest(call.stream_id)
        origin = StreamOrigin(pool=name_crc(call.pool), software=call.software)
        wait_s = call.request_head.deadline_s or call.route.timeout_s
        until = call.arrived + wait_s + _RECORD_MARGIN_S
        self._records.add(stream, origin, until)
        self._open[stream] = origin, until
        self._send((stream,))

    def ended(self, call: Call) -> None:
        """Note that a stream has ended at this node; its caller may take it up."""
        if call.software:
            self._open.pop(stream_digest(call.stream_id), None)

    def list_pool(self, pool: int) -> None:
        """Send the records of a pool's streams once it may have several versions.

        While the list may be out of date no node vouches for the only version, so that
        streams go on by records alone.

        :param pool: CRC-32 of its name.
        """
        runtime, now = self._state.pool_by_crc(pool), time.monotonic()
        needs_records = runtime is not None and (
            runtime.software.needs_records(now) or self._has_old_list(now)
        )
        if not needs_records:
            self._recorded.discard(pool)
        elif pool not in self._recorded:
            self._recorded.add(pool)
            self._send(self._open)

    async def find(self, call: Call) -> FoundOrigin | None:
        """Return where a stream began that its caller takes up.

        :returns: ``None`` if that is not certain.
        """
        stream = stream_digest(call.stream_id)
        origin = self._records.find(stream, time.monotonic())
        if origin is not None:
            return FoundOrigin(origin=origin, known_by=KnownBy.OWN)
        runtime = self._state.pool(call.pool)
        query = await self._ask(stream, runtime)
        is_certain = query.recorded is not None or not self._is_in_doubt(query)
        if not is_certain:
            is_certain = await self._wait_for_list(time.monotonic())
            if is_certain and not (query.answers and self._has_followed(runtime)):
                # Others may be in reach again, and know what this node has missed.
                query = await self._ask(stream, runtime)
        if query.recorded is not None:
            return FoundOrigin(origin=query.recorded, known_by=KnownBy.PEER)
        query.own = self._view(runtime)
        software = query.sole(confirmations=1) if is_certain else 0
        is_alone = not query.answers and self._members.total > 1
        if not software or (is_alone and not self._has_followed(runtime)):
            stored = await self.archive.find(stream)
            return stored and FoundOrigin(origin=stored, known_by=KnownBy.STORED)
        origin = StreamOrigin(pool=runtime.cells.crc, software=software)
        return FoundOrigin(origin=origin, known_by=KnownBy.SOLE)

    def _is_in_doubt(self, query: _Query) -> bool:
        """Whether nodes that know another version may be out of reach.

        Nodes that are cut off together confirm what each of them sees. They miss the
        answers of the others, or have just taken them for dead.
        """
        if self._members.total == 1:
            return False
        checked_at = self._list_checked_at()
        if checked_at <= self._members.lost_at:
            return True
        return not (query.complete or self._is_confirmed(query, checked_at))

    def _is_confirmed(self, query: _Query, checked_at: float) -> bool:
        """Whether the list was checked since a query, and enough nodes agree."""
        return (
            checked_at > query.began_at + _BACKLOG_S
            and query.sole(confirmations=_CONFIRMATIONS) != 0
        )

    def _has_followed(self, pool: PoolRuntime) -> bool:
        """Whether this node can't have missed a version that came and went."""
        since = self._list_followed_since()
        followed = time.monotonic() - since >= SOFTWARE_KEPT_S
        return followed or pool.software.restored_at > since

    def _ask_for_check(self) -> None:
        now = time.monotonic()
        if now - self._asked_for_check_at >= _MIN_ASK_INTERVAL_S:
            self._asked_for_check_at = now
            self._check_list()

    async def _wait_for_list(self, since: float) -> bool:
        """Wait until the list of upstreams is checked once more; return whether it was.

        A node that others do not answer may have been cut off, from the store too.
        """
        until = since + MAX_LIST_AGE_S
        while self._list_checked_at() <= since:
            if time.monotonic() >= until:
                return False
            self._ask_for_check()
            await asyncio.sleep(_LIST_CHECK_INTERVAL_S)
        return True

    def _view(self, pool: PoolRuntime) -> SoftwareView:
        """Return what this node has seen of a pool.

        With a list that may be out of date it vouches for no time at all.
        """
        now = time.monotonic()
        seen = pool.software.view(now)
        if self._has_old_list(now):
            return dataclasses.replace(seen, watched_s=0.0)
        return seen

    def _has_old_list(self, now: float) -> bool:
        """Whether there may be newer lists of upstreams, which others follow."""
        is_old = now - self._list_checked_at() > MAX_LIST_AGE_S
        return is_old and self._members.total > 1

    async def _ask(self, stream: int, pool: PoolRuntime) -> _Query:
        """Ask the nodes that may have a record of a stream."""
        query = _Query(
            own=self._view(pool),
            keepers=self._keepers(stream, _COPIES + 1),
            began_at=time.monotonic(),
        )
        if not query.keepers:
            return query
        number = next(self._numbers)
        self._queries[number] = query
        message = StreamQuery(number=number, pool=pool.cells.crc, stream=stream)
        times_s = (*_QUERY_TIMES_S, _QUERY_TIMEOUT_S)
        try:
            for sent_s, until_s in itertools.pairwise(times_s):
                for address in set(query.keepers) - set(query.answers):
                    self._link.send(address, message)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(until_s - sent_s):
                        await query.settled.wait()
                        break
                if not self._is_in_doubt(query) and self._has_followed(pool):
                    break
                self._ask_for_check()
        finally:
            del self._queries[number]
        now = time.monotonic()
        for answer in query.answers.values():
            pool.software.adopt(answer.seen, now)
        return query

    def _keepers(self, stream: int, count: int) -> list[str]:
        """Return the addresses of the nodes that keep a record, without this one."""
        hosts = stream_keepers(stream, self._members.serving(), _COPIES + 1)
        works = [host.work for host in hosts if host.work != self._members.work]
        return works[:count]

    def _send(self, streams: Iterable[int]) -> None:
        """Send the records of streams of pools that may have several versions."""
        now = time.monotonic()
        by_address: defaultdict[str, list[StreamRecord]] = defaultdict(list)
        for stream in streams:
            origin, until = self._open[stream]
            if origin.pool not in self._recorded:
                continue
            record = StreamRecord(stream=stream, origin=origin, left_s=until - now)
            addresses = set(self._keepers(stream, _COPIES))
            if self._has_several_versions(origin.pool, now):
                addresses.add(self._archivist(stream))
            if self._members.work in addresses:
                addresses.remove(self._members.work)
                self.archive.add(record)
            for address in addresses:
                by_address[address].append(record)
        for address, records in by_address.items():
            for batch in batches(records, _MAX_PER_DATAGRAM):
                self._link.send(address, StreamRecords(records=batch))

    def _has_several_versions(self, pool: int, now: float) -> bool:
        runtime = self._state.pool_by_crc(pool)
        return runtime is not None and runtime.software.view(now).versions > 1

    def _archivist(self, stream: int) -> str:
        """Return the address of the node that stores the record of a stream."""
        hosts = stream_keepers(stream, self._store_followers(), 1)
        return hosts[0].work if hosts else self._members.work

    def _handle_records(self, message: StreamRecords, address: str) -> None:
        now = time.monotonic()
        own, is_large = self._members.work, bool(self._store_followers())
        for record in message.records:
            self._records.add(record.stream, record.origin, now + record.left_s)
            if is_large and self._archivist(record.stream) == own:
                self.archive.add(record)

    def _handle_query(self, message: StreamQuery, address: str) -> None:
        now = time.monotonic()
        pool = self._state.pool_by_crc(message.pool)
        answer = OriginAnswer(
            origin=self._records.find(message.stream, now),
            seen=self._view(pool) if pool is not None else _NOTHING_SEEN,
        )
        self._link.send(
            address, StreamQueryAnswer(number=message.number, answer=answer)
        )

    def _handle_answer(self, message: StreamQueryAnswer, address: str) -> None:
        query = self._queries.get(message.number)
        if query is not None and address in query.keepers:
            query.add(address, message.answer)
