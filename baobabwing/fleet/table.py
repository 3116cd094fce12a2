"""The member table: applies updates in a consistent order and builds views."""

from __future__ import annotations

import hashlib
import threading
from collections import OrderedDict
from dataclasses import dataclass, replace
from enum import StrEnum

from baobabwing.fleet.homes import copy_cached_homes
from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView
from baobabwing.wire.datagram import MemberRecord

__all__ = ["Change", "ChangeKind", "MemberTable", "record_of"]

_LIVE = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)
_STATES = frozenset(MemberState)
_DIGEST_BYTES = 8
_WEIGHT_UNITS = 100
_MAX_WEIGHT = 0xFFFF


class ChangeKind(StrEnum):
    """Kind of change that an update made."""

    JOINED = "joined"
    REPLACED = "replaced"
    RETURNED = "back"
    REFRESHED = "refreshed"
    LEAVING = "leaving"
    DEAD = "dead"
    LEFT = "left"
    OWN_REFUTED = "own_refuted"
    OWN_SUPERSEDED = "own_superseded"


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """A change of the table and the record that announces it to other nodes."""

    kind: ChangeKind
    member: Member
    record: MemberRecord


class MemberTable:
    """Members by name, under one lock.

    Updates of a member are ordered by incarnation, then refutation, then state, in
    the order of :class:`MemberState`. All nodes therefore converge on the same
    state in whichever order updates arrive. Suspicion is local to this node and
    not sent to others.

    :param me: this node's host; only this node changes its own entry.
    """

    def __init__(self, *, me: Host) -> None:
        self._lock = threading.Lock()
        self._me = Member(host=me, state=MemberState.ALIVE)
        self._members: dict[str, Member] = {me.name: self._me}
        self._suspects: set[str] = set()
        self._departed_at: dict[str, float] = {}
        self._recent: OrderedDict[str, None] = OrderedDict()
        self._rotation: list[str] = []
        self._isolated = False
        self._digest = _digest_of(self._me)
        self._view: FleetView | None = None
        self._last_view: FleetView | None = None

    @property
    def me(self) -> Member:
        """Entry of this node itself."""
        return self._me

    @property
    def digest(self) -> int:
        """Digest of all live members, independent of their order."""
        return self._digest

    def find(self, name: str) -> Member | None:
        """Return the member with this name, or ``None``."""
        return self._members.get(name)

    def apply(self, record: MemberRecord, *, now: float) -> Change | None:
        """Apply an update received from another node.

        :param now: seconds of a monotonic clock.
        :returns: the change, or ``None`` if the table already had newer state.
        """
        if record.state not in _STATES or record.state == MemberState.SUSPECT:
            return None
        with self._lock:
            if record.name == self._me.host.name:
                return self._apply_own(record)
            known = self._members.get(record.name)
            if known is None:
                return self._add(record, now)
            if _precedence(record) <= _precedence_of(known):
                return None
            if record.incarnation != known.host.incarnation and not record.peer:
                return None
            return self._change(known, record, now)

    def mark_leaving(self) -> MemberRecord:
        """Mark this node as leaving and return the record that announces it."""
        return self._mark_own(MemberState.LEAVING)

    def mark_left(self) -> MemberRecord:
        """Mark this node as having left and return the record that announces it."""
        return self._mark_own(MemberState.LEFT)

    def suspect(self, name: str) -> None:
        """Mark a member as suspect in this node's view."""
        with self._lock:
            if name in self._members and name not in self._suspects:
                self._suspects.add(name)
                self._view = None

    def clear_suspicion(self, name: str) -> bool:
        """Clear the suspicion of a member; return whether it was suspect."""
        with self._lock:
            if name not in self._suspects:
                return False
            self._suspects.discard(name)
            self._view = None
            return True

    def set_isolated(self, isolated: bool) -> bool:
        """Set whether this node may be isolated; return whether that changed."""
        with self._lock:
            if isolated == self._isolated:
                return False
            self._isolated = isolated
            self._view = None
            return True

    def view(self) -> FleetView:
        """Return the current view; the same object until the table changes."""
        with self._lock:
            if self._view is None:
                self._view = self._build_view()
            return self._view

    def samples(self, count: int) -> list[MemberRecord]:
        """Return records of some members, to repair differences between tables.

        Half are the most recently changed ones, since a lost update is most likely
        among them. The rest rotate through the whole table, which repairs any
        other difference.
        """
        with self._lock:
            names = list(reversed(self._recent))[: (count + 1) // 2]
            while len(names) < count and len(names) < len(self._members):
                names.append(self._next_in_turn())
            unique = dict.fromkeys(names)
            return [
                record_of(self._members[name])
                for name in unique
                if name in self._members
            ]

    def page(self, after: str) -> list[MemberRecord]:
        """Return all live members whose names sort after ``after``, by name."""
        with self._lock:
            names = sorted(name for name in self._members if name > after)
            members = (self._members[name] for name in names)
            return [record_of(m) for m in members if m.state in _LIVE]

    def forget(self, *, now: float, dead_kept_s: float, left_kept_s: float) -> set[str]:
        """Drop members that died or left longer ago than given; return their names."""
        with self._lock:
            retention_s = {MemberState.DEAD: dead_kept_s, MemberState.LEFT: left_kept_s}
            expired = {
                name
                for name, departed_at in self._departed_at.items()
                if now - departed_at > retention_s.get(self._members[name].state, 0.0)
            }
            for name in expired:
                del self._members[name]
                del self._departed_at[name]
                self._recent.pop(name, None)
                self._view = None
            return expired

    def _apply_own(self, record: MemberRecord) -> Change | None:
        if record.incarnation > self._me.host.incarnation:
            return Change(
                kind=ChangeKind.OWN_SUPERSEDED, member=self._me, record=record
            )
        reported = (record.refutation, record.state)
        own = (self._me.refutation, self._me.state)
        if record.incarnation < self._me.host.incarnation or reported <= own:
            return None
        if self._me.state is MemberState.LEFT:
            return None
        self._replace(replace(self._me, refutation=record.refutation + 1))
        return Change(
            kind=ChangeKind.OWN_REFUTED, member=self._me, record=record_of(self._me)
        )

    def _add(self, record: MemberRecord, now: float) -> Change | None:
        if not record.peer or MemberState(record.state) not in _LIVE:
            return None
        member = _member_from(record)
        self._replace(member)
        return Change(kind=ChangeKind.JOINED, member=member, record=record_of(member))

    def _change(self, known: Member, record: MemberRecord, now: float) -> Change | None:
        replaced = record.incarnation != known.host.incarnation
        state = MemberState(record.state)
        host = _member_from(record).host if replaced else known.host
        member = Member(host=host, state=state, refutation=record.refutation)
        self._replace(member)
        if state in _LIVE:
            self._departed_at.pop(host.name, None)
        else:
            self._departed_at[host.name] = now
            self._suspects.discard(host.name)
        if replaced or member.refutation > known.refutation:
            self._suspects.discard(host.name)
        kind = _change_kind(known, member, replaced)
        brief = not replaced and kind is not ChangeKind.RETURNED
        update = record_of(member, brief=brief)
        return Change(kind=kind, member=member, record=update)

    def _replace(self, member: Member) -> None:
        name = member.host.name
        known = self._members.get(name)
        if known is not None:
            self._digest ^= _digest_of(known)
        self._digest ^= _digest_of(member)
        self._members[name] = member
        self._recent[name] = None
        self._recent.move_to_end(name)
        self._view = None
        if name == self._me.host.name:
            self._me = member

    def _mark_own(self, state: MemberState) -> MemberRecord:
        with self._lock:
            self._replace(replace(self._me, state=state))
            return record_of(self._me)

    def _build_view(self) -> FleetView:
        names = sorted(self._members)
        view = FleetView(
            members=tuple(self._with_suspicion(self._members[name]) for name in names),
            isolated=self._isolated,
        )
        if self._last_view is not None:
            copy_cached_homes(self._last_view, view)
        self._last_view = view
        return view

    def _with_suspicion(self, member: Member) -> Member:
        if member.state is MemberState.ALIVE and member.host.name in self._suspects:
            return replace(member, state=MemberState.SUSPECT)
        return member

    def _next_in_turn(self) -> str:
        if not self._rotation:
            self._rotation = sorted(self._members, reverse=True)
        return self._rotation.pop()


def record_of(member: Member, *, brief: bool = False) -> MemberRecord:
    """Return the record that is sent about a member.

    :param brief: leave out the host's zone, region, addresses and weight, which
        each node that knows the incarnation already has.
    """
    host = member.host
    if brief:
        return MemberRecord(
            name=host.name,
            incarnation=host.incarnation,
            state=member.state,
            refutation=member.refutation,
        )
    return MemberRecord(
        name=host.name,
        incarnation=host.incarnation,
        state=member.state,
        refutation=member.refutation,
        zone=host.zone,
        region=host.region,
        peer=host.peer,
        http=host.http,
        work=host.work,
        weight=max(0, min(_MAX_WEIGHT, round(host.weight * _WEIGHT_UNITS))),
    )


def _member_from(record: MemberRecord) -> Member:
    host = Host(
        name=record.name,
        incarnation=record.incarnation,
        zone=record.zone,
        region=record.region,
        peer=record.peer,
        http=record.http,
        work=record.work,
        weight=record.weight / _WEIGHT_UNITS,
    )
    return Member(
        host=host, state=MemberState(record.state), refutation=record.refutation
    )


def _precedence(record: MemberRecord) -> tuple[int, int, int]:
    return record.incarnation, record.refutation, record.state


def _precedence_of(member: Member) -> tuple[int, int, int]:
    return member.host.incarnation, member.refutation, member.state


def _change_kind(known: Member, member: Member, replaced: bool) -> ChangeKind:
    if member.state is MemberState.DEAD:
        return ChangeKind.DEAD
    if member.state is MemberState.LEFT:
        return ChangeKind.LEFT
    if replaced:
        return ChangeKind.REPLACED
    if known.state not in _LIVE:
        return ChangeKind.RETURNED
    if member.state is MemberState.LEAVING and known.state is not MemberState.LEAVING:
        return ChangeKind.LEAVING
    return ChangeKind.REFRESHED


def _digest_of(member: Member) -> int:
    if member.state not in _LIVE:
        return 0
    leaving = int(member.state is MemberState.LEAVING)
    data = f"{member.host.name}\0{member.host.incarnation}\0{leaving}".encode()
    return int.from_bytes(
        hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest(), "big"
    )
