"""SWIM membership over UDP: probes, suspicion and gossip.

Each node probes one member per interval. A member that answers neither direct nor
indirect probes becomes suspect and is declared dead unless it refutes in time.
Updates are piggybacked on all datagrams, and a change is also gossiped at once to
a few random members. The send rate of a node does not depend on the fleet's size.

.. [1] A. Das, I. Gupta and A. Motivala, "SWIM: Scalable Weakly-consistent
   Infection-style Process Group Membership Protocol", Proc. International
   Conference on Dependable Systems and Networks, 2002.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from baobabwing.fleet.change_publisher import ChangePublisher
from baobabwing.fleet.counters import LinkCounters
from baobabwing.fleet.datagram_sender import ConfigurationVersions, DatagramSender
from baobabwing.fleet.host import Host
from baobabwing.fleet.indirect_probes import IndirectProbes
from baobabwing.fleet.joining import Joining, SeedReader
from baobabwing.fleet.link import DatagramLink, open_udp_socket
from baobabwing.fleet.prober import Prober
from baobabwing.fleet.receiver import Receiver
from baobabwing.fleet.replay import ReplayGuard
from baobabwing.fleet.settings import MembershipSettings
from baobabwing.fleet.table import MemberTable
from baobabwing.fleet.targets import live_others
from baobabwing.fleet.updates import UpdateQueue
from baobabwing.fleet.view import FleetView

__all__ = ["Membership"]

_STOP_TIMEOUT_S = 2.0


class Membership:
    """Membership of one node: joins the fleet, detects failures, publishes views.

    One thread receives, one probes, and one reads the list of hosts. Callbacks
    run on the first two and must not block.

    :param me: this node's host; port 0 in ``peer`` binds any free port.
    :param seeds: returns candidate hosts. It may return wrong hosts, block or
        raise: candidates are only contacted, they do not change the membership.
    :param secrets: the first one authenticates sent datagrams; a received
        datagram may be authenticated with any of them.
    :param configuration_version: returns the configuration version that this
        node holds.
    :param on_configuration: called with a configuration version and the host that
        reported it.
    :param on_view: called with each new view of the fleet.
    :param socket_factory: returns a bound UDP socket for an ``ip:port``.
    :raises PeerError: if the address cannot be bound.
    """

    def __init__(
        self,
        *,
        me: Host,
        seeds: Callable[[], Iterable[Host]],
        cfg: MembershipSettings,
        secrets: tuple[bytes, ...],
        configuration_version: Callable[[], int],
        on_configuration: Callable[[int, Host], None],
        on_view: Callable[[FleetView], None],
        socket_factory: Callable[[str], Any] | None = None,
    ) -> None:
        rng = random.Random()
        self._cfg = cfg
        self._rng = rng
        self._link = DatagramLink(
            address=me.peer,
            secrets=secrets,
            socket_factory=socket_factory or open_udp_socket,
            codec=cfg.codec,
        )
        self._table = MemberTable(me=replace(me, peer=self._link.address))
        versions = ConfigurationVersions(held=configuration_version)
        self._datagram_sender = DatagramSender(
            table=self._table,
            link=self._link,
            updates=UpdateQueue(),
            versions=versions,
            cfg=cfg,
        )
        self._publisher = ChangePublisher(
            table=self._table, datagram_sender=self._datagram_sender, on_view=on_view
        )
        self._seeds = SeedReader(seeds=seeds, cfg=cfg)
        joining = Joining(
            table=self._table,
            datagram_sender=self._datagram_sender,
            seeds=self._seeds,
            cfg=cfg,
            rng=rng,
        )
        indirect_probes = IndirectProbes(datagram_sender=self._datagram_sender, cfg=cfg)
        self._prober = Prober(
            table=self._table,
            datagram_sender=self._datagram_sender,
            publisher=self._publisher,
            joining=joining,
            indirect_probes=indirect_probes,
            cfg=cfg,
            rng=rng,
        )
        self._publisher.set_gossip_callback(self._prober.wake)
        self._joining = joining
        self._seeds.on_first_list = self._join_now
        self._receiver = Receiver(
            table=self._table,
            link=self._link,
            replay=ReplayGuard(clock_window_ms=cfg.clock_window_ms),
            datagram_sender=self._datagram_sender,
            publisher=self._publisher,
            prober=self._prober,
            indirect_probes=indirect_probes,
            joining=joining,
            versions=versions,
            on_configuration=on_configuration,
        )
        self._threads = tuple(
            threading.Thread(target=run, name=f"membership-{name}", daemon=True)
            for name, run in (
                ("receive", self._receiver.run),
                ("probe", self._prober.run),
                ("seeds", self._seeds.run),
            )
        )
        self._leaving = False
        self._stopped = False

    @property
    def me(self) -> Host:
        """Host of this node, with the port that was bound."""
        return self._table.me.host

    @property
    def counters(self) -> LinkCounters:
        """Counters of sent, received and dropped datagrams."""
        return self._link.counters

    @property
    def superseded(self) -> bool:
        """Whether another process with this host's name has started later."""
        return self._publisher.superseded

    def start(self) -> None:
        """Start the threads that receive, probe and read the list of hosts."""
        self._publisher.publish_view()
        for thread in self._threads:
            thread.start()

    def view(self) -> FleetView:
        """Return the current view."""
        return self._table.view()

    def wait_for(
        self, predicate: Callable[[FleetView], bool], timeout_s: float
    ) -> bool:
        """Wait until the view meets a condition; return whether it did in time."""
        return self._publisher.wait_for(predicate, timeout_s)

    def refresh_seeds(self) -> None:
        """Read the list of hosts now instead of after the interval."""
        self._seeds.wake()

    def announce(self) -> None:
        """Gossip the changed configuration version to a few members at once."""
        self._publisher.request_gossip()

    def leave(self) -> None:
        """Announce that this host is leaving; it stays a member until it stops."""
        self._leaving = True
        self._datagram_sender.queue_update(self._table.mark_leaving())
        self._publisher.request_gossip()
        self._publisher.publish_view()

    def stop(self) -> None:
        """Stop the threads and close the socket.

        After :meth:`leave`, the host first announces that it has left. Without it,
        the other members declare this host dead.
        """
        if self._stopped:
            return
        self._stopped = True
        if self._leaving:
            self._announce_left()
        self._receiver.stop()
        self._prober.stop()
        self._seeds.stop()
        self._link.wake()
        for thread in self._threads:
            if thread.is_alive() and thread is not threading.current_thread():
                thread.join(_STOP_TIMEOUT_S)
        self._link.close()

    def _join_now(self) -> None:
        self._joining.join_now()
        self._prober.wake()

    def _announce_left(self) -> None:
        self._datagram_sender.queue_update(self._table.mark_left())
        hosts = live_others(self._table.view(), self.me.name)
        count = min(2 * self._cfg.fan_out, len(hosts))
        for host in self._rng.sample(hosts, count):
            self._datagram_sender.send_gossip(host)
