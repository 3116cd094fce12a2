"""How long a home may be quiet: telling one that is busy from one that is gone."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["HomePatience"]

# A question is asked again after this, in case its datagram was lost: a home answers
# within some 5 ms between zones, and 20 ms while its host is busy.
_REPEAT_LEAST_S = 0.04
# A home that is behind is asked again later, so that nobody asks twice what only waits
# to be read, but no later than this: objectives are 0.8 s.
_REPEAT_MOST_S = 1.0
# Quiet for so many repeats, a home is gone: 80 ms where answers come fast, and at the
# most this, since a home that is behind still says something to somebody.
_REPEATS = 2
_QUIET_MOST_S = 0.5
# Weights of a new answer in the mean time to an answer and in its mean deviation, and
# how many deviations an answer may be late: those of TCP's retransmission timer.
_MEAN_ALPHA = 1 / 8
_DEVIATION_ALPHA = 1 / 4
_DEVIATIONS = 4
# A home that was left is asked again after this, longer each time.
_AVOID_S = 0.5
_AVOID_MOST_S = 4.0


@dataclass(kw_only=True, slots=True)
class _Home:
    """What is known of one home.

    :param heard_at: when its last word came.
    :param unanswered_since: when it was asked first of all that nothing came upon.
    :param left_since: the same when it was left, in case that its answer is only late.
    :param mean_s: mean time to an answer; ``None`` before the first.
    :param left_until: when it may be asked again, if it was left.
    """

    heard_at: float = 0.0
    unanswered_since: float | None = None
    left_since: float | None = None
    mean_s: float | None = None
    deviation_s: float = 0.0
    left_until: float = 0.0
    avoid_s: float = 0.0


class HomePatience:
    """Times of the homes that a node asks. Knows no network and no clock.

    A fixed limit takes a home that is behind for dead. All nodes then ask the next one
    and tell it what they hold, which is more work than the rush that put the first one
    behind, and the next one falls behind in turn. The limit follows the answers that
    come, and those that come too late count as well: a node errs once and goes back.

    References
    ----------
    .. [1] V. Paxson, M. Allman, J. Chu and M. Sargent, "Computing TCP's
       Retransmission Timer", RFC 6298, 2011.

    """

    def __init__(self) -> None:
        self._homes: dict[str, _Home] = {}

    def asked(self, address: str, now: float) -> None:
        """Note a question to a home."""
        home = self._homes.setdefault(address, _Home())
        if home.unanswered_since is None:
            home.unanswered_since = now

    def heard(self, address: str, now: float, answer_s: float | None = None) -> None:
        """Note a word of a home; one that was left is there again.

        :param answer_s: time since the question that it answers; ``None`` for a word
            that answers none which this node still has.
        """
        home = self._homes.setdefault(address, _Home())
        if answer_s is None and home.left_since is not None:
            late_s = now - home.left_since
            # Later still it was gone, and what it says now is no late answer.
            answer_s = late_s if late_s < _QUIET_MOST_S else None
        if answer_s is not None:
            self._sample(home, answer_s)
        home.heard_at = now
        home.unanswered_since = home.left_since = None
        home.left_until = home.avoid_s = 0.0

    def excuse(self, now: float) -> None:
        """Count all homes as heard, because this process did not run."""
        for home in self._homes.values():
            home.heard_at = now
            if home.unanswered_since is not None:
                home.unanswered_since = now

    def quiet_s(self, address: str, now: float) -> float:
        """Return how long a home has been quiet since it should have said something."""
        home = self._homes.get(address)
        if home is None or home.unanswered_since is None:
            return 0.0
        return now - max(home.heard_at, home.unanswered_since)

    def unheard_s(self, address: str, now: float) -> float:
        """Return the time since a home's last word; 0 if it never said one."""
        home = self._homes.get(address)
        return now - home.heard_at if home is not None and home.heard_at else 0.0

    def answer_s(self, address: str) -> float:
        """Return the mean time to a home's answers; 0 if there were none."""
        home = self._homes.get(address)
        return (home.mean_s or 0.0) if home is not None else 0.0

    def repeat_s(self, address: str) -> float:
        """Return after how long without an answer a question is asked again."""
        home = self._homes.get(address)
        if home is None or home.mean_s is None:
            return _REPEAT_LEAST_S
        late_s = home.mean_s + _DEVIATIONS * home.deviation_s
        return min(max(late_s, _REPEAT_LEAST_S), _REPEAT_MOST_S)

    def limit_s(self, address: str) -> float:
        """Return how long a home may be quiet before it counts as gone."""
        return min(_REPEATS * self.repeat_s(address), _QUIET_MOST_S)

    def leave(self, address: str, now: float) -> float:
        """Note that a home is gone.

        :returns: how long it is to be left alone.
        """
        home = self._homes.setdefault(address, _Home())
        home.left_since, home.unanswered_since = home.unanswered_since, None
        home.avoid_s = min(2 * home.avoid_s, _AVOID_MOST_S) or _AVOID_S
        home.left_until = now + home.avoid_s
        return home.avoid_s

    def left(self, address: str, now: float) -> bool:
        """Whether a home is gone and not to be asked yet."""
        home = self._homes.get(address)
        return home is not None and now < home.left_until

    @property
    def slowest_s(self) -> float:
        """Mean time to the answers of the slowest home."""
        means = (home.mean_s for home in self._homes.values() if home.mean_s)
        return max(means, default=0.0)

    def _sample(self, home: _Home, answer_s: float) -> None:
        if home.mean_s is None:
            home.mean_s, home.deviation_s = answer_s, answer_s / 2
            return
        # Cut, so that one that was dead for long does not set the limit for long.
        error_s = min(answer_s, _REPEAT_MOST_S) - home.mean_s
        home.deviation_s += _DEVIATION_ALPHA * (abs(error_s) - home.deviation_s)
        home.mean_s += _MEAN_ALPHA * error_s
