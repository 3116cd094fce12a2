"""Whether the home of a cell grants the slots of a pool of plain services."""

from __future__ import annotations

from random import Random

from baobabwing.gateway.decisions.scheduling import PoolScheduler

__all__ = ["HomeBackoff", "needs_home"]

# First and longest time for which a node places requests itself after a home did not
# answer in time. The nodes that overloaded it come back one by one, as each time is
# spread by these factors.
_MIN_PAUSE_S = 0.5
_MAX_PAUSE_S = 8.0
_PAUSE_SPREAD = (0.5, 1.5)
# Requests of all nodes a second that try a home again. It handles some 300 messages a
# second in the worst case, and an attempt takes two or three.
_TRIALS_PER_S = 50.0
# Factor of the next pause after each answer in time: a single one is no sign that the
# home can take the requests of all nodes again.
_PAUSE_DECAY = 0.8


def needs_home(scheduler: PoolScheduler, nodes: int) -> bool:
    """Whether nodes that place by themselves would send services more than they take.

    With fewer nodes than slots each node has a share of at least one slot. A limit on
    refusals has rules of its own, by which each node sends its share.

    :param nodes: number of nodes that share the pool.
    """
    slots = sum(track.slots for track in scheduler.tracks.values())
    return (
        scheduler.engine is None
        and scheduler.shares_machines
        and not scheduler.refusal_limit.in_force
        and 0 < slots < nodes
    )


class HomeBackoff:
    """Times for which a node asks no home, as one did not answer in time.

    An answer of a plain service takes a tenth of a second, so a request can't wait for
    an overloaded home, and each request sent to it delays those of the other nodes.
    Reads no clock.

    :param rng: spreads the times.
    """

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self._next_pause_s = _MIN_PAUSE_S
        self._paused_until = 0.0

    def may_ask(self, now: float) -> bool:
        """Whether requests may be sent to a home."""
        return now >= self._paused_until

    def record_answer(self) -> None:
        """Record that a home has granted or refused a slot."""
        self._next_pause_s = max(self._next_pause_s * _PAUSE_DECAY, _MIN_PAUSE_S)

    def record_silence(self, now: float, nodes: int) -> None:
        """Record that no home has answered a request in time.

        :param nodes: number of nodes that share the pool.
        """
        if not self.may_ask(now):
            # Asked before the pause began.
            return
        pause_s = max(self._next_pause_s, nodes / _TRIALS_PER_S)
        self._paused_until = now + pause_s * self._rng.uniform(*_PAUSE_SPREAD)
        self._next_pause_s = min(2 * self._next_pause_s, _MAX_PAUSE_S)
