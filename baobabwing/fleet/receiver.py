"""The receiving thread: takes datagrams in and answers them."""

from __future__ import annotations

from collections.abc import Callable

from baobabwing.fleet.counters import DropReason
from baobabwing.fleet.errands import Errands
from baobabwing.fleet.events import CALLBACK_FAILED
from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.joining import Joining
from baobabwing.fleet.link import Arrival, DatagramLink, now_us
from baobabwing.fleet.news import News
from baobabwing.fleet.prober import Prober
from baobabwing.fleet.replay import ReplayGuard
from baobabwing.fleet.speaker import ConfigurationVersions, Speaker
from baobabwing.fleet.table import MemberTable
from baobabwing.reports.events import log
from baobabwing.wire.datagram import Datagram, DatagramKind

__all__ = ["Receiver"]

_Handler = Callable[["Receiver", Datagram, Host, bool], None]
_HANDLERS: dict[DatagramKind, _Handler] = {}
_FROM_STRANGERS = (DatagramKind.JOIN, DatagramKind.INTRODUCE)


def _handles(kind: DatagramKind) -> Callable[[_Handler], _Handler]:
    def register(handler: _Handler) -> _Handler:
        _HANDLERS[kind] = handler
        return handler

    return register


class Receiver:
    """Checks each datagram, applies its updates, then answers by its kind.

    :param on_configuration: called with a version higher than all before, and
        with each host that holds a version this node does not hold yet.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        link: DatagramLink,
        replay: ReplayGuard,
        speaker: Speaker,
        news: News,
        prober: Prober,
        errands: Errands,
        joining: Joining,
        versions: ConfigurationVersions,
        on_configuration: Callable[[int, Host], None],
    ) -> None:
        self._table = table
        self._link = link
        self._replay = replay
        self.speaker = speaker
        self._news = news
        self.prober = prober
        self.errands = errands
        self.joining = joining
        self._versions = versions
        self._on_configuration = on_configuration
        self._stopping = False

    def run(self) -> None:
        """Receive until stopped."""
        while not self._stopping:
            arrival = self._link.receive()
            if arrival is None:
                continue
            try:
                self._take_in(arrival)
            except Exception as exc:
                # A fault in one datagram's handling must not end the thread: the
                # node would fall silent and be declared dead.
                log(CALLBACK_FAILED, callback="receive", error=repr(exc))
                self._link.drop(DropReason.FAILED, arrival.address)

    def stop(self) -> None:
        """Have the thread end."""
        self._stopping = True

    def find(self, name: str) -> Member | None:
        """Return a member by its name."""
        return self._table.find(name)

    def _take_in(self, arrival: Arrival) -> None:
        datagram = arrival.datagram
        reason = self._refusal(datagram)
        if reason is not None:
            self._link.drop(reason, arrival.address, detail=datagram.sender)
            if reason is DropReason.STALE:
                self._ask_who(arrival, self._table.find(datagram.sender))
            return
        self._news.take_in(datagram.updates)
        member = self._table.find(datagram.sender)
        if member is None or member.host.incarnation != datagram.incarnation:
            self._ask_who(arrival, member)
            return
        host = member.host
        self._hear_versions(datagram, host)
        live = member.state not in (MemberState.DEAD, MemberState.LEFT)
        differs = live and datagram.digest != self._table.digest
        if live:
            self.joining.met(host)
            self.joining.compare(host, differs=differs)
        _HANDLERS[datagram.kind](self, datagram, host, differs)

    def _refusal(self, datagram: Datagram) -> DropReason | None:
        me = self._table.me.host
        if datagram.sender == me.name and datagram.incarnation == me.incarnation:
            return DropReason.OWN
        return self._replay.check(
            datagram.sender, datagram.incarnation, datagram.sequence, now_us=now_us()
        )

    def _ask_who(self, arrival: Arrival, known: Member | None) -> None:
        """Ask a stranger for its record, or tell it that it was replaced."""
        if known is None and arrival.datagram.kind in _FROM_STRANGERS:
            return
        self.speaker.introduce(DatagramKind.INTRODUCE, arrival.address, about=known)

    def _hear_versions(self, datagram: Datagram, host: Host) -> None:
        news = self._versions.hear(datagram.configuration)
        if news:
            self._news.refresh()
        if not news and datagram.holds <= self._versions.held():
            return
        version = max(datagram.configuration, datagram.holds)
        try:
            self._on_configuration(version, host)
        except Exception as exc:
            # As with the view: the node's fault must not end this thread.
            log(CALLBACK_FAILED, callback="on_configuration", error=repr(exc))


@_handles(DatagramKind.PING)
def _on_ping(receiver: Receiver, datagram: Datagram, host: Host, differs: bool) -> None:
    receiver.speaker.say(
        DatagramKind.ACK, host, answers=datagram.sequence, differs=differs
    )


@_handles(DatagramKind.ACK)
def _on_ack(receiver: Receiver, datagram: Datagram, host: Host, differs: bool) -> None:
    receiver.prober.answered(datagram.answers, host.name)
    receiver.errands.answered(datagram.answers, host.name)


@_handles(DatagramKind.PING_REQUEST)
def _on_ping_request(
    receiver: Receiver, datagram: Datagram, host: Host, differs: bool
) -> None:
    target = receiver.find(datagram.target)
    if target is not None:
        receiver.errands.take(asker=host, target=target.host, answers=datagram.sequence)


@_handles(DatagramKind.INDIRECT_ACK)
def _on_indirect_ack(
    receiver: Receiver, datagram: Datagram, host: Host, differs: bool
) -> None:
    receiver.prober.answered(datagram.answers, datagram.target)


@_handles(DatagramKind.INDIRECT_NACK)
def _on_indirect_nack(
    receiver: Receiver, datagram: Datagram, host: Host, differs: bool
) -> None:
    receiver.prober.found_silent(datagram.answers, host, datagram.target)


@_handles(DatagramKind.GOSSIP)
def _on_gossip(
    receiver: Receiver, datagram: Datagram, host: Host, differs: bool
) -> None:
    """Do nothing more: the updates were applied already."""


@_handles(DatagramKind.JOIN)
def _on_join(receiver: Receiver, datagram: Datagram, host: Host, differs: bool) -> None:
    about = receiver.find(host.name)
    receiver.speaker.introduce(DatagramKind.INTRODUCE, host.peer, about=about)


@_handles(DatagramKind.INTRODUCE)
def _on_introduce(
    receiver: Receiver, datagram: Datagram, host: Host, differs: bool
) -> None:
    receiver.speaker.introduce(DatagramKind.GOSSIP, host.peer)


@_handles(DatagramKind.PAGE_REQUEST)
def _on_page_request(
    receiver: Receiver, datagram: Datagram, host: Host, differs: bool
) -> None:
    receiver.speaker.send_page(host, after=datagram.target, answers=datagram.sequence)


@_handles(DatagramKind.PAGE)
def _on_page(receiver: Receiver, datagram: Datagram, host: Host, differs: bool) -> None:
    receiver.joining.on_page(host.name, datagram.answers, datagram.target)
