"""Asking the home of a cell for a place, and doing without one that is silent."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from baobabwing.exceptions import NoPlaceError
from baobabwing.gateway.decisions.cell_queue import HeldPlace, NoteKind
from baobabwing.gateway.decisions.scheduling import Ask, Grant
from baobabwing.gateway.decisions.tracking import Outstanding, UpstreamTrack
from baobabwing.gateway.events import HOME_SILENT
from baobabwing.gateway.lateness import LoopWatch
from baobabwing.gateway.members import Members
from baobabwing.gateway.placement.choosing import CellChoice
from baobabwing.gateway.placement.codec import crc
from baobabwing.gateway.placement.homes import CellPool, held_pause_s
from baobabwing.gateway.placement.link import WorkLink
from baobabwing.gateway.placement.messages import (
    AskMessage,
    CellKey,
    CellState,
    Granted,
    Holdings,
    HoldingsTaken,
    Queued,
    Refused,
)
from baobabwing.gateway.placement.notes import NoteBox
from baobabwing.gateway.placement.patience import HomePatience
from baobabwing.reports.events import log

__all__ = ["Placer", "Ticket"]

# A question that a home does not answer while it answers others is sent so many times.
_SENDS = 4
# Nodes that are asked for a cell, one after the other, before a request is placed
# without any of them.
_HOMES = 3
# Requests that wait are repeated this often, since only the answers show that the home
# is still there.
_REPEAT_S = 0.1
# From this many nodes on the homes would get too much of it; the time grows with it.
_NODES_AT_FULL_PACE = 12
# Answers to repeats that may be lost before a home counts as silent.
_LOST_REPEATS = 4
# Requests that wait and are named in one datagram.
_MOST_NAMED = 200
_NOBODY_WAITS_S = 3600.0
# A pause longer by this was no pause between repeats: the process did not run.
_STOOD_STILL_S = 0.04


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """Where a request has its place.

    :param home: address of the home that gave it.
    :param state: how full the cell was then.
    """

    cell: CellKey
    pool: CellPool
    track: UpstreamTrack
    home: str
    state: CellState


@dataclass(kw_only=True, eq=False)
class _Waiting:
    """A request that waits for its place.

    :param done: called with the place; with ``None`` where this home does not answer,
        with an error where it has no place.
    """

    message: AskMessage
    home: str
    ask: Ask
    pool: CellPool
    done: Callable[[Grant | NoPlaceError | None], None]
    since: float
    sends: int = 0
    heard: bool = False
    timer: asyncio.TimerHandle | None = None


class Placer:
    """Gets places for this node's requests.

    :param link: carries the messages.
    :param members: tell which nodes there are.
    :param rng: draws between cells.
    :param watch: tells how late this process itself is.
    """

    def __init__(
        self, *, link: WorkLink, members: Members, rng: Random, watch: LoopWatch
    ) -> None:
        self._watch = watch
        self._link = link
        self._members = members
        self._node = rng.getrandbits(32)
        self._waiting: dict[int, _Waiting] = {}
        self._tickets: dict[int, Ticket] = {}
        self._notes = NoteBox(link=link, node=self._node)
        self._told: set[CellKey] = set()
        self._served_by: dict[CellKey, str] = {}
        self._cells = CellChoice(node=self._node, rng=rng)
        self._patience = HomePatience()
        link.handle(Queued, self._take_queued)
        link.handle(Granted, self._take_granted)
        link.handle(Refused, self._take_refused)
        link.handle(HoldingsTaken, self._take_holdings_taken)
        members.on_change(self._rehome)

    async def place(self, pool: CellPool, ask: Ask) -> Grant | None:
        """Get a place from the home of a cell.

        :returns: ``None`` if no home answers; the node is on its own then.
        :raises NoPlaceError: if there will be none while it is of use.
        """
        for _ in range(_HOMES):
            key = self._cells.choose(pool)
            home = self._home_of(key, pool)
            if home is None:
                return None
            grant = await self._ask(home, key, pool, ask)
            if grant is not None:
                return grant
        return None

    def move(
        self,
        pool: CellPool,
        ask: Ask,
        grant: Grant,
        done: Callable[[Grant | NoPlaceError | None], None],
    ) -> None:
        """Ask for a place at a much faster engine for a request that runs.

        :param done: called with the place, or with anything else where there is none.
        """
        ticket = self._tickets.get(grant.ask.number)
        home = self._home_of(ticket.cell, pool) if ticket else None
        if home is None:
            done(None)
            return
        self._begin(
            _Waiting(
                message=self._message(
                    ask, ticket.cell, pool, moves_from=grant.track.crc
                ),
                home=home,
                ask=ask,
                pool=pool,
                done=done,
                since=time.monotonic(),
            )
        )

    def note(self, grant: Grant, kind: NoteKind, pace_s: float | None = None) -> None:
        """Tell the home what became of a request that has its place from there."""
        number = grant.ask.number
        ticket = self._tickets.get(number)
        if ticket is None:
            return
        home = self._home_of(ticket.cell, ticket.pool)
        if home is not None:
            self._notes.add(home, ticket.cell, number, kind, pace_s)
        if kind.ends:
            del self._tickets[number]

    def state_of(self, pool: CellPool) -> CellState | None:
        """Return how full a pool is, as its homes said lately."""
        return self._cells.state_of(pool)

    def ticket(self, grant: Grant) -> Ticket | None:
        """Return where a request has its place, if a home gave it."""
        return self._tickets.get(grant.ask.number)

    async def run(self) -> None:
        """Repeat to the homes what this node holds, and notice silent ones."""
        held_at = 0.0
        while True:
            began = time.monotonic()
            pause_s = _REPEAT_S * max(1.0, self._members.total / _NODES_AT_FULL_PACE)
            await asyncio.sleep(pause_s)
            if time.monotonic() - began > 2 * pause_s + _STOOD_STILL_S:
                # This process stood still; the answers wait in its socket.
                self._patience.excuse(time.monotonic())
                continue
            self._notice_silence(_LOST_REPEATS * pause_s)
            with_held = began - held_at >= held_pause_s(self._members.total) - pause_s
            held_at = began if with_held else held_at
            self._repeat(with_held=with_held)

    # Questions and their answers.

    async def _ask(
        self, home: str, key: CellKey, pool: CellPool, ask: Ask
    ) -> Grant | None:
        fut: asyncio.Future[Grant | None] = asyncio.get_running_loop().create_future()

        def done(result: Grant | NoPlaceError | None) -> None:
            if isinstance(result, NoPlaceError) and not fut.done():
                fut.set_exception(result)
            elif not fut.done():
                fut.set_result(result)
            elif isinstance(result, Grant):
                self.note(result, NoteKind.RELEASED)

        waiting = _Waiting(
            message=self._message(ask, key, pool),
            home=home,
            ask=ask,
            pool=pool,
            done=done,
            since=time.monotonic(),
        )
        self._begin(waiting)
        try:
            return await fut
        except asyncio.CancelledError:
            self._withdraw(waiting, fut)
            raise

    def _begin(self, waiting: _Waiting) -> None:
        self._waiting[waiting.message.number] = waiting
        self._send(waiting)

    def _send(self, waiting: _Waiting) -> None:
        waiting.sends += 1
        key = waiting.message.cell
        if self._served_by.get(key) != waiting.home:
            # A new home knows nothing of what this node has at the cell's engines.
            self._served_by[key] = waiting.home
            self._tell_holdings(key, waiting.home)
        # A request that gave its place back and asks again would get the same one.
        self._notes.send()
        self._link.send(waiting.home, waiting.message)
        self._patience.asked(waiting.home, time.monotonic())
        repeat_s = self._patience.repeat_s(waiting.home)
        pause_s = repeat_s * 2 ** max(waiting.sends - 2, 0)
        loop = asyncio.get_running_loop()
        waiting.timer = loop.call_later(pause_s, self._unanswered, waiting)

    def _unanswered(self, waiting: _Waiting) -> None:
        if waiting.heard or waiting.message.number not in self._waiting:
            return
        quiet_s = self._patience.quiet_s(waiting.home, time.monotonic())
        if quiet_s >= self._patience.limit_s(waiting.home):
            self._avoid(waiting.home)
        elif waiting.sends >= _SENDS:
            self._finish(waiting, None)
        else:
            self._send(waiting)

    def _finish(self, waiting: _Waiting, result: Grant | NoPlaceError | None) -> None:
        self._waiting.pop(waiting.message.number, None)
        if waiting.timer is not None:
            waiting.timer.cancel()
        waiting.done(result)

    def _withdraw(self, waiting: _Waiting, fut: asyncio.Future[Grant | None]) -> None:
        """Give up a question whose request has ended, or the place it got."""
        if self._waiting.pop(waiting.message.number, None) is not None:
            if waiting.timer is not None:
                waiting.timer.cancel()
            key, number = waiting.message.cell, waiting.message.number
            self._notes.add(waiting.home, key, number, NoteKind.RELEASED, None)
            return
        got = fut.done() and not fut.cancelled() and fut.exception() is None
        # The place may have been given in the very moment the caller left.
        if got and fut.result() is not None:
            self.note(fut.result(), NoteKind.RELEASED)

    def _take_queued(self, message: Queued, address: str) -> None:
        waiting = self._hear_answer(address, message)
        if waiting is not None:
            waiting.heard = True

    def _take_granted(self, message: Granted, address: str) -> None:
        waiting = self._hear_answer(address, message)
        if waiting is None:
            if message.number not in self._tickets:
                # The request has ended, or was placed by another home.
                kind = NoteKind.RELEASED
                self._notes.add(address, message.cell, message.number, kind, None)
            return
        track = waiting.pool.scheduler.track(message.upstream)
        now = time.monotonic()
        if track is None or not track.open(now):
            # The home has not heard yet what this node has, or the engine wants
            # nothing from this node. It is asked again, with the engine left out.
            waiting.ask.unusable.add(message.upstream)
            kind = NoteKind.RELEASED
            self._notes.add(address, message.cell, message.number, kind, None)
            self._finish(waiting, None)
            return
        predicted_s = message.predicted_s
        grant = Grant(ask=waiting.ask, track=track, predicted_s=predicted_s, since=now)
        self._tickets[message.number] = Ticket(
            cell=message.cell,
            pool=waiting.pool,
            track=track,
            home=address,
            state=message.state,
        )
        track.begin(
            message.number,
            Outstanding(
                prompt_tokens=waiting.ask.prompt_tokens,
                since=now,
                predicted_s=predicted_s,
            ),
        )
        self._finish(waiting, grant)

    def _take_refused(self, message: Refused, address: str) -> None:
        waiting = self._hear_answer(address, message)
        if waiting is not None:
            no_place = NoPlaceError(
                "no place while it is of use",
                retry_after_s=message.retry_after_s,
                step="place",
                peer=address,
            )
            self._finish(waiting, no_place)

    def _take_holdings_taken(self, message: HoldingsTaken, address: str) -> None:
        self._hear(address, message.cell, message.state)
        for number in message.unknown:
            waiting = self._waiting.get(number)
            if waiting is not None and waiting.home == address:
                self._link.send(address, self._renewed(waiting))

    def _message(
        self, ask: Ask, key: CellKey, pool: CellPool, *, moves_from: int = 0
    ) -> AskMessage:
        now = time.monotonic()
        closed = (track.crc for track in pool.scheduler.closed(now))
        return AskMessage(
            node=self._node,
            number=ask.number,
            cell=key,
            rank=ask.rank,
            route_rank=ask.route_rank,
            waited_s=now - ask.arrived,
            objective_s=ask.objective_at - now,
            deadline_s=ask.deadline_at - now,
            ends_s=min(ask.ends_at - now, _NOBODY_WAITS_S),
            prompt_tokens=ask.prompt_tokens,
            expected_out=ask.expected_out,
            committed=ask.committed,
            excluded=tuple({*map(crc, ask.exclude), *ask.unusable, *closed}),
            moves_from=moves_from,
        )

    def _renewed(self, waiting: _Waiting) -> AskMessage:
        """Return a question as it is to be asked now; its times are from now."""
        return self._message(
            waiting.ask,
            waiting.message.cell,
            waiting.pool,
            moves_from=waiting.message.moves_from,
        )

    # Which node is the home of a cell.

    def _home_of(self, key: CellKey, pool: CellPool) -> str | None:
        """Return the first node of the cell's ranking that is not silent."""
        now = time.monotonic()
        for address in self._members.homes(f"cell/{pool.name}/{key.index}", _HOMES):
            if not self._patience.left(address, now):
                return address
        return None

    def _hear_answer(
        self, address: str, message: Queued | Granted | Refused
    ) -> _Waiting | None:
        """Return the question that a home answers, if it still waits there."""
        waiting = self._waiting.get(message.number)
        if waiting is not None and waiting.home != address:
            waiting = None
        answer_s = None
        if waiting is not None and not waiting.heard:
            answer_s = time.monotonic() - waiting.since
        self._hear(address, message.cell, message.state, answer_s)
        return waiting

    def _hear(
        self,
        address: str,
        key: CellKey,
        state: CellState,
        answer_s: float | None = None,
    ) -> None:
        now = time.monotonic()
        self._patience.heard(address, now, answer_s)
        self._cells.hear(key, state, now)

    @property
    def slowest_answer_s(self) -> float:
        """Usual time to the answer of the slowest home that was asked."""
        return self._patience.slowest_s

    def _avoid(self, address: str) -> None:
        """Ask others instead of a home that is silent, for a while."""
        now = time.monotonic()
        asked = [one for one in self._waiting.values() if one.home == address]
        log(
            HOME_SILENT,
            peer=address,
            asked=len(asked),
            heard_s=round(self._patience.unheard_s(address, now), 3),
            limit_s=round(self._patience.limit_s(address), 3),
            answer_ms=round(1000 * self._patience.answer_s(address), 1),
            own_late_ms=round(1000 * self._watch.late_s, 1),
            avoided_s=self._patience.leave(address, now),
        )
        for waiting in asked:
            self._finish(waiting, None)

    def _notice_silence(self, limit_s: float) -> None:
        now = time.monotonic()
        asked = {one.home for one in self._waiting.values() if one.heard}
        for address in asked:
            if self._patience.unheard_s(address, now) > limit_s:
                self._avoid(address)

    def _rehome(self) -> None:
        """Have requests that wait ask again where their cell's home is another now."""
        for waiting in tuple(self._waiting.values()):
            home = self._home_of(waiting.message.cell, waiting.pool)
            if home is not None and home != waiting.home:
                key, number = waiting.message.cell, waiting.message.number
                self._notes.add(waiting.home, key, number, NoteKind.RELEASED, None)
                self._finish(waiting, None)

    # What homes are told unasked.

    def _repeat(self, *, with_held: bool) -> None:
        cells = {
            one.message.cell: one.home for one in self._waiting.values() if one.heard
        }
        if with_held:
            held = {ticket.cell: ticket.pool for ticket in self._tickets.values()}
            for key, pool in held.items():
                cells.setdefault(key, self._home_of(key, pool))
            # Once more after the last one has ended, in case that word was lost.
            for key in self._told - set(held):
                cells.setdefault(key, self._served_by.get(key))
            self._told = set(held)
        for key, home in cells.items():
            if home is not None:
                self._tell_holdings(key, home)

    def _tell_holdings(self, key: CellKey, home: str) -> None:
        held = [
            _held_place(number, ticket)
            for number, ticket in self._tickets.items()
            if ticket.cell == key
        ]
        waiting = [
            number
            for number, one in self._waiting.items()
            if one.home == home and one.heard and one.message.cell == key
        ]
        self._link.send(
            home,
            Holdings(
                node=self._node,
                cell=key,
                held=tuple(held),
                waiting=tuple(waiting[:_MOST_NAMED]),
                whole=len(waiting) <= _MOST_NAMED,
            ),
        )


def _held_place(number: int, ticket: Ticket) -> HeldPlace:
    item = ticket.track.own.get(number)
    return HeldPlace(
        number=number,
        upstream=ticket.track.crc,
        unread=item.prompt_tokens if item else 0,
    )
