"""State of the open probes, from the first ping to the decision."""

from __future__ import annotations

from dataclasses import dataclass, field

from baobabwing.fleet.host import Host

__all__ = ["IndirectProbe", "Probe"]


@dataclass(kw_only=True, slots=True)
class Probe:
    """Probe of a member that has not answered yet; times are monotonic seconds.

    :param started_at: time of the first ping, or of the last restart.
    :param next_at: time of the next ping.
    :param rounds: pings sent so far.
    :param suspected_at: time at which the member became suspect, if it is one.
    :param hold_count: how often the declaration of its death has been held back.
    :param confirmed: availability zones, by name, of members that received no
        answer from the target either.
    :param sequences: sequences of the datagrams sent for this probe.
    """

    target: Host
    started_at: float
    next_at: float
    rounds: int = 0
    suspected_at: float | None = None
    hold_count: int = 0
    confirmed: dict[str, str] = field(default_factory=dict)
    sequences: set[int] = field(default_factory=set)

    def reset_evidence(self, now: float) -> None:
        """Discard the evidence collected so far; the member remains suspect."""
        self.started_at = now
        self.confirmed.clear()

    def restart(self, now: float) -> None:
        """Reset the probe as if nothing had been sent."""
        self.started_at = now
        self.next_at = now
        self.rounds = 0
        self.suspected_at = None
        self.hold_count = 0
        self.confirmed.clear()


@dataclass(kw_only=True, slots=True)
class IndirectProbe:
    """Probe on behalf of another member; times are monotonic seconds.

    :param answers: sequence of the ping request, which the report refers to.
    :param retry_at: time of the second ping; ``None`` once it was sent.
    :param ends_at: time at which the target is reported as unresponsive.
    :param sequences: sequences of the pings sent.
    """

    requester: Host
    target: Host
    answers: int
    retry_at: float | None
    ends_at: float
    sequences: set[int] = field(default_factory=set)
