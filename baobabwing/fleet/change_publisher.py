"""Applies updates, logs the changes and publishes them to peers and the node."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable

from baobabwing.fleet.datagram_sender import DatagramSender
from baobabwing.fleet.events import (
    CALLBACK_FAILED,
    MEMBER_BACK,
    MEMBER_DEAD,
    MEMBER_JOINED,
    MEMBER_LEAVING,
    MEMBER_LEFT,
    MEMBER_REPLACED,
    OWN_DEATH_REFUTED,
    SUPERSEDED,
)
from baobabwing.fleet.table import Change, ChangeKind, MemberTable
from baobabwing.fleet.view import FleetView
from baobabwing.reports.events import Event, log
from baobabwing.wire.datagram import MemberRecord

__all__ = ["ChangePublisher"]

_EVENTS: dict[ChangeKind, Event] = {
    ChangeKind.JOINED: MEMBER_JOINED,
    ChangeKind.REPLACED: MEMBER_REPLACED,
    ChangeKind.RETURNED: MEMBER_BACK,
    ChangeKind.LEAVING: MEMBER_LEAVING,
    ChangeKind.DEAD: MEMBER_DEAD,
    ChangeKind.LEFT: MEMBER_LEFT,
    ChangeKind.OWN_REFUTED: OWN_DEATH_REFUTED,
    ChangeKind.OWN_SUPERSEDED: SUPERSEDED,
}


class ChangePublisher:
    """Publishes changes of the member table to other nodes and to this node.

    :param on_view: called with each new view, never concurrently.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        datagram_sender: DatagramSender,
        on_view: Callable[[FleetView], None],
    ) -> None:
        self._table = table
        self._datagram_sender = datagram_sender
        self._on_view = on_view
        self._changed = threading.Condition()
        self._publish_lock = threading.RLock()
        self._published: FleetView | None = None
        self._gossip_requested = threading.Event()
        self._wake: Callable[[], None] = lambda: None
        self.superseded = False

    def set_gossip_callback(self, wake: Callable[[], None]) -> None:
        """Set the function that is called when gossip should be sent at once."""
        self._wake = wake

    def take_gossip_request(self) -> bool:
        """Return whether gossip was requested, and reset the request."""
        requested = self._gossip_requested.is_set()
        self._gossip_requested.clear()
        return requested

    def request_gossip(self) -> None:
        """Request that gossip be sent at once."""
        self._gossip_requested.set()
        self._wake()

    def apply_records(self, records: Iterable[MemberRecord]) -> None:
        """Apply records to the table and publish the changes they made."""
        now = time.monotonic()
        changes = [self._table.apply(record, now=now) for record in records]
        self.publish_changes([change for change in changes if change is not None])

    def publish_changes(self, changes: list[Change]) -> None:
        """Log changes, queue them for other nodes and publish the new view."""
        for change in changes:
            self._log(change)
            if change.kind is not ChangeKind.OWN_SUPERSEDED:
                self._datagram_sender.queue_update(change.record)
        if changes:
            self.request_gossip()
            self.publish_view()

    def publish_view(self) -> None:
        """Pass the current view to the node, unless it has it already."""
        with self._publish_lock:
            view = self._table.view()
            if view is self._published:
                return
            self._published = view
            with self._changed:
                self._changed.notify_all()
            try:
                self._on_view(view)
            except Exception as exc:
                # The node's callback runs on the protocol's threads. An exception
                # would end them, and the node would be declared dead.
                log(CALLBACK_FAILED, callback="on_view", error=repr(exc))

    def wait_for(
        self, predicate: Callable[[FleetView], bool], timeout_s: float
    ) -> bool:
        """Wait until the view meets a condition; return whether it did in time."""
        with self._changed:
            return self._changed.wait_for(
                lambda: predicate(self._table.view()), timeout_s
            )

    def _log(self, change: Change) -> None:
        event = _EVENTS.get(change.kind)
        if event is None:
            return
        if change.kind is ChangeKind.OWN_SUPERSEDED:
            if self.superseded:
                return
            self.superseded = True
        host = change.member.host
        log(event, host=host.name, zone=host.zone, incarnation=host.incarnation)
