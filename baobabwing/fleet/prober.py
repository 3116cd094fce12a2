"""The probing thread: probes members, declares deaths and sends gossip."""

from __future__ import annotations

import random
import threading
import time

from baobabwing.fleet.change_publisher import ChangePublisher
from baobabwing.fleet.datagram_sender import DatagramSender
from baobabwing.fleet.death_decision import DeathDecision, decide_death
from baobabwing.fleet.events import (
    MEMBER_SUSPECTED,
    OWN_PAUSE,
    VERDICTS_HELD,
    VERDICTS_RESUMED,
)
from baobabwing.fleet.host import Host, MemberState
from baobabwing.fleet.indirect_probes import IndirectProbes
from baobabwing.fleet.joining import Joining
from baobabwing.fleet.probe import Probe
from baobabwing.fleet.settings import MembershipSettings
from baobabwing.fleet.table import MemberTable
from baobabwing.fleet.targets import (
    ProbeOrder,
    dead_members,
    live_others,
    pick_confirmers,
)
from baobabwing.fleet.token_bucket import TokenBucket
from baobabwing.reports.events import log
from baobabwing.wire.datagram import DatagramKind, MemberRecord

__all__ = ["Prober"]

_MS = 0.001
_PINGS_BEFORE_INDIRECT = 2
_ROUNDS_BEFORE_SUSPICION = 4
_MAX_WAIT_S = 0.5
_LOSS_SMOOTHING = 0.05
_LOSS_FACTOR = 5.0
_MAX_EXTRA_WINDOWS = 2.0
_HOLDS_BEFORE_ISOLATED = 3
_HELD_PING_SPACING_S = 0.5
_HELD_PING_MIN_S = 1.0
_RESUME_SPACING_S = 0.05
_FORGET_EVERY_S = 5.0


class Prober:
    """Starts one probe per interval and advances the open probes.

    The cost does not grow with the fleet: the probe rate is fixed and the gossip
    rate is bounded.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        datagram_sender: DatagramSender,
        publisher: ChangePublisher,
        joining: Joining,
        indirect_probes: IndirectProbes,
        cfg: MembershipSettings,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._datagram_sender = datagram_sender
        self._publisher = publisher
        self._joining = joining
        self._indirect_probes = indirect_probes
        self._cfg = cfg
        self._rng = rng
        self._order = ProbeOrder(me=table.me.host.name, rng=rng)
        self._probes: dict[str, Probe] = {}
        self._by_sequence: dict[int, Probe] = {}
        self._answered_at: dict[str, float] = {}
        self._loss = 0.0
        self._lock = threading.Lock()
        self._woken = threading.Event()
        self._stopping = False
        self._gossip_budget = TokenBucket(rate=cfg.gossip_per_s, burst=cfg.gossip_burst)
        self._probe_at = 0.0
        self._gossip_at = 0.0
        self._reconnect_at = 0.0
        self._forget_at = 0.0
        self._gossip_requested = False

    def run(self) -> None:
        """Probe until stopped."""
        self._probe_at = time.monotonic() + self._rng.random() * self._interval_s
        planned = time.monotonic()
        while not self._stopping:
            now = time.monotonic()
            self._detect_own_pause(now, planned)
            self._start_probe(now)
            self._advance_probes(now)
            self._indirect_probes.advance(now)
            self._joining.advance(now)
            self._send_gossip(now)
            self._reconnect(now)
            self._forget_departed(now)
            planned = self._next_due(now)
            self._woken.wait(max(0.0, planned - time.monotonic()))
            self._woken.clear()
            planned = min(planned, time.monotonic())

    def wake(self) -> None:
        """Wake the thread so that it checks which work is due."""
        self._woken.set()

    def stop(self) -> None:
        """Tell the thread to end."""
        self._stopping = True
        self.wake()

    def handle_ack(self, sequence: int, name: str) -> None:
        """Close the probe of a member that answered, directly or indirectly.

        :param sequence: sequence of this node's datagram that was answered.
        :param name: name of the probed member.
        """
        with self._lock:
            probe = self._by_sequence.get(sequence)
            if probe is None or probe.target.name != name:
                return
            self._answered_at[name] = time.monotonic()
            retried = float(probe.rounds > 1)
            self._loss += _LOSS_SMOOTHING * (retried - self._loss)
            self._close(probe)
            if probe.hold_count:
                self._restart_held()
        changed = self._table.clear_suspicion(name)
        if self._update_isolation() or changed:
            self._publisher.publish_view()

    def handle_nack(self, sequence: int, by: Host, name: str) -> None:
        """Record that another member received no answer from the target either.

        :param sequence: sequence of this node's ping request.
        :param by: member that probed the target.
        :param name: name of the target.
        """
        with self._lock:
            probe = self._by_sequence.get(sequence)
            if probe is not None and probe.target.name == name:
                probe.confirmed[by.name] = by.zone

    @property
    def _interval_s(self) -> float:
        return self._cfg.probe_interval_ms * _MS

    @property
    def _timeout_s(self) -> float:
        return self._cfg.probe_timeout_ms * _MS

    def _detect_own_pause(self, now: float, planned: float) -> None:
        # After a pause of this process all open probes look unanswered although the
        # answers are queued in the socket, and the peers would be declared dead.
        # Restarting the probes lets the receiving thread read the answers first.
        if now - planned <= self._timeout_s:
            return
        log(OWN_PAUSE, seconds=round(now - planned, 3))
        with self._lock:
            for probe in self._probes.values():
                probe.restart(now + self._timeout_s)
        self._probe_at = now + self._timeout_s

    def _start_probe(self, now: float) -> None:
        if now < self._probe_at:
            return
        self._probe_at = max(self._probe_at + self._interval_s, now)
        with self._lock:
            # A node that stays partitioned would otherwise probe all members at once.
            if len(self._probes) >= self._cfg.suspects_limit:
                return
            target = self._order.next(self._table.view(), self._probes)
            if target is not None:
                self._probes[target.name] = Probe(
                    target=target, started_at=now, next_at=now
                )

    def _advance_probes(self, now: float) -> None:
        with self._lock:
            due = [probe for probe in self._probes.values() if probe.next_at <= now]
        for probe in due:
            if not self._is_obsolete(probe):
                self._continue_probe(probe, now)
                continue
            with self._lock:
                self._close(probe)
            if self._update_isolation():
                self._publisher.publish_view()

    def _is_obsolete(self, probe: Probe) -> bool:
        member = self._table.find(probe.target.name)
        if member is None or member.host.incarnation != probe.target.incarnation:
            return True
        return member.state in (MemberState.DEAD, MemberState.LEFT)

    def _continue_probe(self, probe: Probe, now: float) -> None:
        if probe.suspected_at is None and probe.rounds >= _ROUNDS_BEFORE_SUSPICION:
            self._suspect(probe, now)
        if self._suspicion_expired(probe, now) and self._decide(probe, now):
            return
        self._ping(probe)
        if probe.rounds > _PINGS_BEFORE_INDIRECT:
            self._send_ping_requests(probe)
        probe.next_at = now + self._next_ping_delay_s(probe, now)

    def _next_ping_delay_s(self, probe: Probe, now: float) -> float:
        if probe.hold_count > _HOLDS_BEFORE_ISOLATED:
            return max(_HELD_PING_MIN_S, _HELD_PING_SPACING_S * len(self._probes))
        if probe.suspected_at is None:
            return self._timeout_s / 2
        left_s = probe.suspected_at + self._suspicion_window_s() - now
        return min(left_s, self._timeout_s) if left_s > 0 else self._timeout_s

    def _ping(self, probe: Probe) -> None:
        sequence = self._datagram_sender.send_to(DatagramKind.PING, probe.target)
        self._register_sequence(sequence, probe)
        probe.rounds += 1

    def _send_ping_requests(self, probe: Probe) -> None:
        hosts = pick_confirmers(
            self._table.view(),
            me=self._table.me.host,
            target=probe.target.name,
            skip=self._probes,
            count=self._cfg.fan_out,
            rng=self._rng,
        )
        for host in hosts:
            sequence = self._datagram_sender.send_to(
                DatagramKind.PING_REQUEST, host, target=probe.target.name
            )
            self._register_sequence(sequence, probe)

    def _register_sequence(self, sequence: int, probe: Probe) -> None:
        with self._lock:
            if self._probes.get(probe.target.name) is probe:
                probe.sequences.add(sequence)
                self._by_sequence[sequence] = probe

    def _suspect(self, probe: Probe, now: float) -> None:
        probe.suspected_at = now
        self._table.suspect(probe.target.name)
        log(MEMBER_SUSPECTED, host=probe.target.name, zone=probe.target.zone)
        self._publisher.publish_view()

    def _suspicion_expired(self, probe: Probe, now: float) -> bool:
        if probe.suspected_at is None:
            return False
        return now - probe.suspected_at >= self._suspicion_window_s()

    def _suspicion_window_s(self) -> float:
        """Return the time in seconds that a suspect has to refute."""
        # On a lossy network the suspect's answers are lost too. The share of probes
        # that needed more than one ping estimates the loss and extends the window.
        extra = min(_MAX_EXTRA_WINDOWS, _LOSS_FACTOR * self._loss)
        return self._cfg.suspicion_ms * _MS * (1.0 + extra)

    def _decide(self, probe: Probe, now: float) -> bool:
        """Declare the target dead or hold; return whether it was declared dead."""
        me = self._table.me.host
        others = [
            host
            for host in live_others(self._table.view(), me.name)
            if host.name != probe.target.name
        ]
        with self._lock:
            decision = decide_death(
                me=me,
                target=probe.target,
                others=others,
                confirmed=dict(probe.confirmed),
                unresponsive=sum(p.rounds > 1 for p in self._probes.values()),
                answered=sum(
                    answered_at >= probe.started_at
                    for answered_at in self._answered_at.values()
                ),
            )
        if decision is DeathDecision.HOLD:
            self._hold(probe, now)
            return False
        self._declare_dead(probe)
        return True

    def _hold(self, probe: Probe, now: float) -> None:
        probe.hold_count += 1
        if probe.hold_count <= _HOLDS_BEFORE_ISOLATED:
            return
        # From here on pings are far apart, so evidence is stale by the next decision.
        # Once the link is back, an old confirmation together with new answers from
        # all others would declare dead whichever member answers last.
        with self._lock:
            probe.reset_evidence(now)
            self._forget_sequences(probe)
        if self._update_isolation():
            self._publisher.publish_view()

    def _restart_held(self) -> None:
        """Restart the probes of all held suspects after one of them answered."""
        now = time.monotonic()
        held = [probe for probe in self._probes.values() if probe.hold_count]
        for index, probe in enumerate(held):
            probe.restart(now + index * _RESUME_SPACING_S)

    def _update_isolation(self) -> bool:
        """Set whether this node may be isolated; return whether that changed."""
        with self._lock:
            held = [
                p
                for p in self._probes.values()
                if p.hold_count > _HOLDS_BEFORE_ISOLATED
            ]
        if not self._table.set_isolated(bool(held)):
            return False
        if held:
            log(VERDICTS_HELD, host=held[0].target.name, suspects=len(self._probes))
        else:
            log(VERDICTS_RESUMED)
            self._joining.request_full_pull()
        return True

    def _declare_dead(self, probe: Probe) -> None:
        member = self._table.find(probe.target.name)
        with self._lock:
            self._close(probe)
        if member is None:
            return
        self._publisher.apply_records(
            [
                MemberRecord(
                    name=probe.target.name,
                    incarnation=probe.target.incarnation,
                    state=MemberState.DEAD,
                    refutation=member.refutation,
                )
            ]
        )

    def _close(self, probe: Probe) -> None:
        if self._probes.get(probe.target.name) is probe:
            del self._probes[probe.target.name]
        self._forget_sequences(probe)

    def _forget_sequences(self, probe: Probe) -> None:
        for sequence in probe.sequences:
            self._by_sequence.pop(sequence, None)
        probe.sequences.clear()

    def _send_gossip(self, now: float) -> None:
        self._gossip_requested = (
            self._publisher.take_gossip_request() or self._gossip_requested
        )
        if not self._gossip_requested or now < self._gossip_at:
            return
        hosts = live_others(self._table.view(), self._table.me.host.name)
        for host in self._rng.sample(hosts, min(self._cfg.fan_out, len(hosts))):
            if self._gossip_budget.take(1.0, now=now):
                self._datagram_sender.send_gossip(host)
        self._gossip_requested = False
        self._gossip_at = now + self._cfg.gossip_spacing_ms * _MS

    def _reconnect(self, now: float) -> None:
        # After a partition each side has declared the other dead, and dead members
        # are not probed. Without these pings the two sides would never merge.
        if now < self._reconnect_at:
            return
        interval_s = self._cfg.reconnect_interval_ms * _MS
        self._reconnect_at = now + interval_s * (0.5 + self._rng.random())
        dead = dead_members(self._table.view())
        if dead:
            self._datagram_sender.send_to(
                DatagramKind.PING, self._rng.choice(dead).host
            )

    def _forget_departed(self, now: float) -> None:
        if now < self._forget_at:
            return
        self._forget_at = now + _FORGET_EVERY_S
        forgotten = self._table.forget(
            now=now,
            dead_kept_s=self._cfg.dead_kept_ms * _MS,
            left_kept_s=self._cfg.left_kept_ms * _MS,
        )
        for name in forgotten:
            self._answered_at.pop(name, None)
        if forgotten:
            self._publisher.publish_view()

    def _next_due(self, now: float) -> float:
        with self._lock:
            probes = [probe.next_at for probe in self._probes.values()]
        times = [
            self._probe_at,
            self._indirect_probes.next_due(),
            self._joining.next_due(),
            now + _MAX_WAIT_S,
            *probes,
        ]
        if self._gossip_requested:
            times.append(self._gossip_at)
        return min(times)
