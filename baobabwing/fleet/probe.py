"""A probe of one member, from the first ping to the verdict."""

from __future__ import annotations

from dataclasses import dataclass, field

from baobabwing.fleet.host import Host

__all__ = ["IndirectProbe", "Probe"]


@dataclass(kw_only=True, slots=True)
class Probe:
    """What this node knows of a member that has not answered yet.

    :param started_at: seconds of a monotonic clock at the first ping.
    :param next_at: when the next ping goes out.
    :param rounds: pings sent so far.
    :param suspected_at: when the member became suspect, if it is.
    :param held: verdicts that were held back so far.
    :param confirmed: zones, by name, of members that found it silent too.
    """

    target: Host
    started_at: float
    next_at: float
    rounds: int = 0
    suspected_at: float | None = None
    held: int = 0
    confirmed: dict[str, str] = field(default_factory=dict)
    sequences: set[int] = field(default_factory=set)

    def reset_evidence(self, now: float) -> None:
        """Drop what was found out so far, but remain under suspicion."""
        self.started_at = now
        self.confirmed.clear()

    def restart(self, now: float) -> None:
        """Begin anew, as if nothing had been sent."""
        self.started_at = now
        self.next_at = now
        self.rounds = 0
        self.suspected_at = None
        self.held = 0
        self.confirmed.clear()


@dataclass(kw_only=True, slots=True)
class IndirectProbe:
    """A probe on behalf of another member.

    :param answers: sequence of the request, for the asker to know it by.
    :param retry_at: when the second ping goes out; ``None`` once it did.
    :param ends_at: when the target is reported as silent.
    """

    requester: Host
    target: Host
    answers: int
    retry_at: float | None
    ends_at: float
    sequences: set[int] = field(default_factory=set)
