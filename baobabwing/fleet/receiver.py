"""The receiving thread: validates datagrams, applies updates and replies."""

from __future__ import annotations

from collections.abc import Callable

from baobabwing.fleet.change_publisher import ChangePublisher
from baobabwing.fleet.counters import DropReason
from baobabwing.fleet.datagram_sender import ConfigurationVersions, DatagramSender
from baobabwing.fleet.events import CALLBACK_FAILED
from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.indirect_probes import IndirectProbes
from baobabwing.fleet.joining import Joining
from baobabwing.fleet.link import DatagramLink, ReceivedDatagram, now_us
from baobabwing.fleet.prober import Prober
from baobabwing.fleet.replay import ReplayGuard
from baobabwing.fleet.table import MemberTable
from baobabwing.reports.events import log
from baobabwing.wire.datagram import Datagram, DatagramKind

__all__ = ["Receiver"]

_Handler = Callable[["Receiver", Datagram, Host, bool], None]
_HANDLERS: dict[DatagramKind, _Handler] = {}
_INTRODUCTION_KINDS = (DatagramKind.JOIN, DatagramKind.INTRODUCE)


def _handles(kind: DatagramKind) -> Callable[[_Handler], _Handler]:
    def register(handler: _Handler) -> _Handler:
        _HANDLERS[kind] = handler
        return handler

    return register


class Receiver:
    """Validates each datagram, applies its updates and dispatches it by kind.

    :param on_configuration: called with a configuration version and the host that
        reported it, when the version is higher than all reported before or when
        the host holds a version that this node does not hold yet.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        link: DatagramLink,
        replay: ReplayGuard,
        datagram_sender: DatagramSender,
        publisher: ChangePublisher,
        prober: Prober,
        indirect_probes: IndirectProbes,
        joining: Joining,
        versions: ConfigurationVersions,
        on_configuration: Callable[[int, Host], None],
    ) -> None:
        self._table = table
        self._link = link
        self._replay = replay
        self.datagram_sender = datagram_sender
        self._publisher = publisher
        self.prober = prober
        self.indirect_probes = indirect_probes
        self.joining = joining
        self._versions = versions
        self._on_configuration = on_configuration
        self._stopping = False

    def run(self) -> None:
        """Receive and handle datagrams until stopped."""
        while not self._stopping:
            received = self._link.receive()
            if received is None:
                continue
            try:
                self._handle(received)
            except Exception as exc:
                # An error in handling one datagram must not end the thread: the
                # node would stop answering and be declared dead.
                log(CALLBACK_FAILED, callback="receive", error=repr(exc))
                self._link.drop(DropReason.FAILED, received.address)

    def stop(self) -> None:
        """Tell the thread to end."""
        self._stopping = True

    def find(self, name: str) -> Member | None:
        """Return the member with this name, or ``None``."""
        return self._table.find(name)

    def _handle(self, received: ReceivedDatagram) -> None:
        datagram = received.datagram
        reason = self._drop_reason(datagram)
        if reason is not None:
            self._link.drop(reason, received.address, detail=datagram.sender)
            if reason is DropReason.STALE:
                self._request_introduction(received, self._table.find(datagram.sender))
            return
        self._publisher.apply_records(datagram.updates)
        member = self._table.find(datagram.sender)
        if member is None or member.host.incarnation != datagram.incarnation:
            self._request_introduction(received, member)
            return
        host = member.host
        self._update_versions(datagram, host)
        live = member.state not in (MemberState.DEAD, MemberState.LEFT)
        differs = live and datagram.digest != self._table.digest
        if live:
            self.joining.handle_live_member(host)
            self.joining.compare_digest(host, differs=differs)
        _HANDLERS[datagram.kind](self, datagram, host, differs)

    def _drop_reason(self, datagram: Datagram) -> DropReason | None:
        me = self._table.me.host
        if datagram.sender == me.name and datagram.incarnation == me.incarnation:
            return DropReason.OWN
        return self._replay.check(
            datagram.sender, datagram.incarnation, datagram.sequence, now_us=now_us()
        )

    def _request_introduction(
        self, received: ReceivedDatagram, known: Member | None
    ) -> None:
        """Request the sender's record, or report to it that it was replaced."""
        if known is None and received.datagram.kind in _INTRODUCTION_KINDS:
            return
        self.datagram_sender.introduce(
            DatagramKind.INTRODUCE, received.address, about=known
        )

    def _update_versions(self, datagram: Datagram, host: Host) -> None:
        is_new = self._versions.record(datagram.configuration)
        if is_new:
            self._publisher.request_gossip()
        if not is_new and datagram.holds <= self._versions.held():
            return
        version = max(datagram.configuration, datagram.holds)
        try:
            self._on_configuration(version, host)
        except Exception as exc:
            # An error in the node's callback must not end this thread.
            log(CALLBACK_FAILED, callback="on_configuration", error=repr(exc))


@_handles(DatagramKind.PING)
def _on_ping(receiver: Receiver, datagram: Datagram, host: Host, differs: bool) -> None:
    receiver.datagram_sender.send_to(
        DatagramKind.ACK, host, answers=datagram.sequence, differs=differs
    )


@_handles(DatagramKind.ACK)
def _on_ack(receiver: Receiver, datagram: Datagram, host: Host, differs: bool) -> None:
    receiver.prober.handle_ack(datagram.answers, host.name)
    receiver.indirect_probes.handle_ack(datagram.answers, host.name)


@_handles(DatagramKind.PING_REQUEST)
def _on_ping_request(
    receiver: Receiver, datagram: Datagram, host: Host, differs: bool
) -> None:
    target = receiver.find(datagram.target)
    if target is not None:
        receiver.indirect_probes.start(
            requester=host, target=target.host, answers=datagram.sequence
        )


@_handles(DatagramKind.INDIRECT_ACK)
def _on_indirect_ack(
    receiver: Receiver, datagram: Datagram, host: Host, differs: bool
) -> None:
    receiver.prober.handle_ack(datagram.answers, datagram.target)


@_handles(DatagramKind.INDIRECT_NACK)
def _on_indirect_nack(
    receiver: Receiver, datagram: Datagram, host: Host, differs: bool
) -> None:
    receiver.prober.handle_nack(datagram.answers, host, datagram.target)


@_handles(DatagramKind.GOSSIP)
def _on_gossip(
    receiver: Receiver, datagram: Datagram, host: Host, differs: bool
) -> None:
    """Do nothing: the updates have already been applied."""


@_handles(DatagramKind.JOIN)
def _on_join(receiver: Receiver, datagram: Datagram, host: Host, differs: bool) -> None:
    about = receiver.find(host.name)
    receiver.datagram_sender.introduce(DatagramKind.INTRODUCE, host.peer, about=about)


@_handles(DatagramKind.INTRODUCE)
def _on_introduce(
    receiver: Receiver, datagram: Datagram, host: Host, differs: bool
) -> None:
    receiver.datagram_sender.introduce(DatagramKind.GOSSIP, host.peer)


@_handles(DatagramKind.PAGE_REQUEST)
def _on_page_request(
    receiver: Receiver, datagram: Datagram, host: Host, differs: bool
) -> None:
    receiver.datagram_sender.send_page(
        host, after=datagram.target, answers=datagram.sequence
    )


@_handles(DatagramKind.PAGE)
def _on_page(receiver: Receiver, datagram: Datagram, host: Host, differs: bool) -> None:
    receiver.joining.on_page(host.name, datagram.answers, datagram.target)
