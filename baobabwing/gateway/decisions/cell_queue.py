"""Queue and places of one cell, as its home knows them.

The home orders the requests of all nodes and counts what each has at each engine. It
keeps nothing that the nodes could not tell it again: each node repeats what it holds
and what waits, so that a new home knows all of it after one round.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from random import Random
from typing import NamedTuple

from baobabwing.gateway.decisions.scheduling import Ask, Grant, PoolScheduler
from baobabwing.gateway.decisions.tracking import UpstreamTrack
from baobabwing.gateway.model import EngineSpec, UpstreamEntry

__all__ = ["CellQueue", "HeldPlace", "Holder", "NoteKind", "ReportResult"]

# A home that was just taken over knows of no request at any engine. Nodes tell it
# with their first question; those with traffic ask within some 50 ms.
_COLLECTION_S = 0.06
# A new home has not given any places yet, which says nothing of how many there are.
_EXPIRY_DELAY_S = 1.0
# A node that has not repeated what it holds for this many times is gone, and its
# requests with it.
_NODE_TIMEOUT_REPORTS = 3.5
# What a node says that it holds was written before it had the grants of this time.
_IN_TRANSIT_S = 0.25


class Holder(NamedTuple):
    """A request: the node that has it, and the node's number for it."""

    node: int
    number: int


class NoteKind(IntEnum):
    """What a node tells of a request; the numbers travel between nodes.

    ``LOST`` means that the engine is not there at all, ``RELEASED`` that the request
    ended for reasons that say nothing of the engine. After ``FIRST``, and after
    ``LEAVING``, which means that the engine said that it leaves, the request goes on.
    """

    FIRST = 1
    DONE = 2
    FAILED = 3
    LOST = 4
    FULL = 5
    RELEASED = 6
    LEAVING = 7

    @property
    def ends(self) -> bool:
        """Whether the request gives its place back."""
        return self not in (NoteKind.FIRST, NoteKind.LEAVING)


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldPlace:
    """A request that a node has at an engine.

    :param upstream: crc of the engine's incarnation.
    :param unread: prompt tokens that wait to be read there.
    """

    number: int
    upstream: int
    unread: int


@dataclass(frozen=True, kw_only=True)
class ReportResult:
    """What a home makes of a node's report.

    :param unknown: requests that wait at the node and not here.
    :param granted: places whose grant the node seems to have missed.
    :param dropped: whether something has ended that the node did not say before.
    """

    unknown: tuple[int, ...] = ()
    granted: tuple[tuple[Holder, Grant], ...] = ()
    dropped: bool = False


class CellQueue:
    """All requests of one cell. Knows no network and no clock.

    :param engine: figures of the cell's engines.
    :param rng: breaks ties.
    :param now: when this node became the cell's home.
    """

    def __init__(self, *, engine: EngineSpec | None, rng: Random, now: float) -> None:
        self.scheduler = PoolScheduler(engine=engine, rng=rng)
        self.opens_at = now + _COLLECTION_S
        self.used_at = now
        self._waiting: dict[Holder, Ask] = {}
        self._reserved: dict[Holder, Grant] = {}
        self._holder_by_number: dict[int, Holder] = {}
        self._received_at: dict[int, float] = {}
        self._holders_by_node: defaultdict[int, set[Holder]] = defaultdict(set)

    def list_upstreams(self, entries: Iterable[UpstreamEntry]) -> None:
        """Take the engines of the cell."""
        self.scheduler.list_upstreams(entries)

    def ask(self, holder: Holder, ask: Ask, now: float) -> Grant | None:
        """Queue a request; one that has its place already gets it again."""
        self._record_received(holder.node, now)
        held = self._reserved.get(holder)
        if held is not None or holder in self._waiting:
            return held
        self._waiting[holder] = ask
        self._register(holder, ask)
        self.scheduler.submit(ask)
        return None

    def move(self, holder: Holder, ask: Ask, upstream: int, now: float) -> Grant | None:
        """Place a running request at a much faster engine, if one is free.

        :param upstream: crc of the engine where it runs.
        """
        self._record_received(holder.node, now)
        than = self.scheduler.track(upstream)
        grant = self.scheduler.faster(ask, than, now) if than is not None else None
        if grant is not None:
            self._register(holder, ask)
            self._reserved[holder] = grant
        return grant

    def grants(self, now: float) -> list[tuple[Holder, Grant]]:
        """Place what can be placed now."""
        if now < self.opens_at:
            return []
        granted = []
        for grant in self.scheduler.grants(now):
            holder = self._holder_by_number[grant.ask.number]
            del self._waiting[holder]
            self._reserved[holder] = grant
            granted.append((holder, grant))
        return granted

    def hopeless(self, now: float) -> list[tuple[Holder, float]]:
        """Take out of the queue what will hardly get a place while it is of use.

        :returns: the requests, and when each would probably have its place.
        """
        if now < self.opens_at + _EXPIRY_DELAY_S:
            return []
        given_up = []
        for ask, wait_s in self.scheduler.hopeless(now):
            holder = self._unregister(ask)
            del self._waiting[holder]
            given_up.append((holder, wait_s))
        return given_up

    def note(
        self, holder: Holder, kind: NoteKind, pace_s: float | None, now: float
    ) -> None:
        """Take what a node tells of its request.

        :param pace_s: mean time between its events; of a first event the time that it
            took, as the node saw it: a home that is behind reads of it late.
        """
        self._record_received(holder.node, now)
        if holder in self._waiting:
            self._withdraw(holder)
            return
        grant = self._reserved.get(holder)
        if grant is None:
            return
        if kind is NoteKind.LEAVING:
            return
        if kind is NoteKind.FIRST:
            first_at = now if pace_s is None else grant.since + pace_s
            grant.track.first_event(grant.ask.number, first_at)
            return
        self._record_outcome(grant.track, kind, pace_s, now)
        self.scheduler.held(now - grant.since)
        self._release(holder)

    def report(
        self,
        node: int,
        held: Iterable[HeldPlace],
        waiting: Iterable[int],
        now: float,
        *,
        whole: bool = True,
    ) -> ReportResult:
        """Take what a node has in this cell.

        What it does not name any more has ended, and the word of it was lost.

        :param whole: whether it names all requests that wait.
        """
        self._record_received(node, now)
        named = set()
        for place in held:
            holder = Holder(node, place.number)
            named.add(holder)
            self._adopt(holder, place, now)
        asked = {Holder(node, number) for number in waiting}
        dropped = self._release_unreported(node, named | asked, now, whole=whole)
        missed = [holder for holder in asked if holder in self._reserved]
        return ReportResult(
            unknown=tuple(
                holder.number
                for holder in asked
                if holder not in self._waiting and holder not in self._reserved
            ),
            granted=tuple((holder, self._reserved[holder]) for holder in missed),
            dropped=dropped,
        )

    def forget(self, now: float, *, repeat_s: float) -> None:
        """Drop requests that nobody waits for, and all of nodes that are silent.

        :param repeat_s: how often nodes repeat what they hold.
        """
        silent_s = _NODE_TIMEOUT_REPORTS * repeat_s
        for holder, ask in tuple(self._waiting.items()):
            if ask.deadline_at <= now:
                self._withdraw(holder)
        silent = {
            node for node, heard in self._received_at.items() if now - heard > silent_s
        }
        for node in silent:
            del self._received_at[node]
        for holder in [one for one in self._waiting if one.node in silent]:
            self._withdraw(holder)
        for holder in [one for one in self._reserved if one.node in silent]:
            self._release(holder)

    def drop(self, node: int) -> bool:
        """Forget a node that runs no more, with all that it has here.

        :returns: whether it had anything.
        """
        self._received_at.pop(node, None)
        had = tuple(self._holders_by_node.get(node, ()))
        for holder in had:
            if holder in self._waiting:
                self._withdraw(holder)
            else:
                self._release(holder)
        return bool(had)

    def engine_of(self, holder: Holder) -> UpstreamEntry | None:
        """Return the engine at which a request has its place."""
        grant = self._reserved.get(holder)
        return grant.track.entry if grant is not None else None

    def waits(self, holder: Holder) -> bool:
        """Whether a request has no place yet."""
        return holder in self._waiting

    def learn(self, seen: Mapping[str, UpstreamTrack]) -> None:
        """Take over the pace of engines that this node has seen itself."""
        for instance, track in self.scheduler.tracks.items():
            if instance in seen:
                track.pace_s = seen[instance].pace_s

    @property
    def idle(self) -> bool:
        """Whether no node has anything here."""
        return not self._waiting and not self._reserved

    @property
    def held(self) -> int:
        """Requests that have their place."""
        return len(self._reserved)

    def _record_received(self, node: int, now: float) -> None:
        self._received_at[node] = now
        self.used_at = now

    def _record_outcome(
        self, track: UpstreamTrack, kind: NoteKind, pace_s: float | None, now: float
    ) -> None:
        if pace_s is not None:
            track.paced(pace_s)
        if kind is NoteKind.DONE:
            track.succeeded()
        elif kind in (NoteKind.FAILED, NoteKind.LOST):
            track.failed(now, hard=kind is NoteKind.LOST)
        elif kind is NoteKind.FULL:
            track.refused(now)

    def _adopt(self, holder: Holder, place: HeldPlace, now: float) -> None:
        """Count a request that another home placed before."""
        known = self._reserved.get(holder)
        if known is not None:
            if place.unread == 0:
                known.track.first_event(known.ask.number)
            return
        track = self.scheduler.track(place.upstream)
        if track is None or holder in self._waiting:
            return
        ask = Ask(
            rank=0,
            arrived=now,
            objective_at=now,
            deadline_at=now,
            prompt_tokens=place.unread,
        )
        grant = self.scheduler.adopt(ask, track, now, started=place.unread == 0)
        self._register(holder, ask)
        self._reserved[holder] = grant

    def _release_unreported(
        self, node: int, named: set[Holder], now: float, *, whole: bool
    ) -> bool:
        settled = now - _IN_TRANSIT_S
        dropped = False
        for holder in tuple(self._holders_by_node.get(node, ())):
            if holder in named:
                continue
            ask, grant = self._waiting.get(holder), self._reserved.get(holder)
            if whole and ask is not None and ask.asked_at < settled:
                self._withdraw(holder)
            if grant is not None and grant.since < settled:
                self._release(holder)
                dropped = True
        return dropped

    def _withdraw(self, holder: Holder) -> None:
        ask = self._waiting.pop(holder)
        self._unregister(ask)
        self.scheduler.withdraw(ask)

    def _release(self, holder: Holder) -> None:
        grant = self._reserved.pop(holder)
        self._unregister(grant.ask)
        grant.track.end(grant.ask.number)

    def _register(self, holder: Holder, ask: Ask) -> None:
        self._holder_by_number[ask.number] = holder
        self._holders_by_node[holder.node].add(holder)

    def _unregister(self, ask: Ask) -> Holder:
        holder = self._holder_by_number.pop(ask.number)
        of_node = self._holders_by_node[holder.node]
        of_node.discard(holder)
        if not of_node:
            del self._holders_by_node[holder.node]
        return holder
