"""Composes and sends datagrams with the updates that each one carries."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.link import PAYLOAD_BYTES, DatagramLink
from baobabwing.fleet.settings import MembershipSettings
from baobabwing.fleet.table import MemberTable, record_of
from baobabwing.fleet.token_bucket import TokenBucket
from baobabwing.fleet.updates import UpdateQueue, fit_records
from baobabwing.wire.datagram import (
    Datagram,
    DatagramKind,
    MemberRecord,
    record_size,
)

__all__ = ["ConfigurationVersions", "DatagramSender"]

_HEADER_BYTES = 260
_UPDATES_BYTES = PAYLOAD_BYTES - _HEADER_BYTES
_PIGGYBACK_BYTES = 400
_SAMPLE_COUNT = 4
_SAMPLE_BURST_S = 2.0


class ConfigurationVersions:
    """Configuration versions: the highest one reported and the one held.

    :param held: returns the version that this node holds.
    """

    def __init__(self, *, held: Callable[[], int]) -> None:
        self._held = held
        self._highest = 0
        self._lock = threading.Lock()

    def held(self) -> int:
        """Return the configuration version that this node holds."""
        return self._held()

    def highest(self) -> int:
        """Return the highest version that was reported or is held."""
        return max(self._highest, self._held())

    def record(self, version: int) -> bool:
        """Record a reported version; return whether it is higher than all before."""
        with self._lock:
            if version <= max(self._highest, self._held()):
                return False
            self._highest = version
            return True


class DatagramSender:
    """Sends datagrams; each carries updates, the table's digest and the versions."""

    def __init__(
        self,
        *,
        table: MemberTable,
        link: DatagramLink,
        updates: UpdateQueue,
        versions: ConfigurationVersions,
        cfg: MembershipSettings,
    ) -> None:
        self._table = table
        self._link = link
        self._updates = updates
        self._versions = versions
        self._sample_budget = TokenBucket(
            rate=cfg.sample_bytes_per_s, burst=cfg.sample_bytes_per_s * _SAMPLE_BURST_S
        )
        self._retransmissions = cfg.retransmissions

    def queue_update(self, record: MemberRecord) -> None:
        """Queue an update for piggybacking, more often in a larger fleet."""
        size = len(self._table.view().members)
        transmissions = self._retransmissions * max(2, (size + 1).bit_length())
        self._updates.put(record, transmissions=transmissions)

    def clear_updates(self) -> None:
        """Drop the queued updates, since the other members have them all."""
        self._updates.clear()

    def send_to(
        self,
        kind: DatagramKind,
        host: Host,
        *,
        target: str = "",
        answers: int = 0,
        differs: bool | None = None,
    ) -> int:
        """Send a datagram to a member.

        :param target: name of the member that the datagram is about, or a page
            cursor.
        :param answers: sequence of the datagram that this one answers.
        :param differs: whether the member's digest differs from the own one;
            ``None`` if unknown. If true, samples of the table are added; if false,
            no updates are sent because the member has them all.
        :returns: the sequence of the datagram, to which an answer refers.
        """
        records = self._death_record(host)
        if differs is not False:
            records.extend(self._updates.take(_PIGGYBACK_BYTES))
        if differs:
            records.extend(self._samples())
        return self._send(
            kind, host.peer, tuple(records), target=target, answers=answers
        )

    def send_gossip(self, host: Host) -> None:
        """Send as many queued updates as fit into one datagram."""
        records = self._death_record(host)
        records.extend(self._updates.take(_UPDATES_BYTES - _PIGGYBACK_BYTES))
        self._send(DatagramKind.GOSSIP, host.peer, tuple(records))

    def introduce(
        self, kind: DatagramKind, address: str, *, about: Member | None = None
    ) -> None:
        """Send this node's own record to a process that may not know it.

        :param about: this node's entry for the receiver, sent along if given.
        """
        records = [record_of(self._table.me)]
        if about is not None:
            records.append(record_of(about))
        self._send(kind, address, tuple(records))

    def send_page(self, host: Host, *, after: str, answers: int) -> None:
        """Send the members that sort after a name, as many as fit."""
        records = self._table.page(after)
        page = fit_records(records, _UPDATES_BYTES)
        cursor = page[-1].name if len(page) < len(records) else ""
        self._send(DatagramKind.PAGE, host.peer, page, target=cursor, answers=answers)

    def _death_record(self, host: Host) -> list[MemberRecord]:
        """Return the receiver's own record if it is dead or left, so it can refute."""
        member = self._table.find(host.name)
        if member is None or not _is_departed(member):
            return []
        return [record_of(member, brief=True)]

    def _samples(self) -> list[MemberRecord]:
        records = self._table.samples(_SAMPLE_COUNT)
        size = sum(record_size(record) for record in records)
        if not self._sample_budget.take(size, now=time.monotonic()):
            return []
        return records

    def _send(
        self,
        kind: DatagramKind,
        address: str,
        records: tuple[MemberRecord, ...],
        *,
        target: str = "",
        answers: int = 0,
    ) -> int:
        sequence = self._link.next_sequence()
        me = self._table.me.host
        self._link.send(
            Datagram(
                kind=kind,
                sender=me.name,
                incarnation=me.incarnation,
                sequence=sequence,
                configuration=self._versions.highest(),
                holds=self._versions.held(),
                target=target,
                answers=answers,
                digest=self._table.digest,
                updates=fit_records(list(records), _UPDATES_BYTES),
            ),
            address,
        )
        return sequence


def _is_departed(member: Member) -> bool:
    return member.state in (MemberState.DEAD, MemberState.LEFT)
