"""How long a home may be quiet: telling one that is busy from one that is gone."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["HomeTimeouts"]

# A question is asked again after this, in case its datagram was lost: a home answers
# within some 5 ms between zones, and 20 ms while its host is busy.
_MIN_RETRY_INTERVAL_S = 0.04
# A home that is behind is asked again later, so that nobody asks twice what only waits
# to be read, but no later than this: objectives are 0.8 s.
_MAX_RETRY_INTERVAL_S = 1.0
# Quiet for so many repeats, a home is gone: 80 ms where answers come fast, and at the
# most this, since a home that is behind still says something to somebody.
_RETRIES_BEFORE_TIMEOUT = 2
_MAX_TIMEOUT_S = 0.5
# Weights of a new answer in the mean time to an answer and in its mean deviation, and
# how many deviations an answer may be late: those of TCP's retransmission timer.
_MEAN_ALPHA = 1 / 8
_DEVIATION_ALPHA = 1 / 4
_DEVIATIONS = 4
# A home that was left is asked again after this, longer each time.
_FIRST_EXCLUSION_S = 0.5
_MAX_EXCLUSION_S = 4.0


@dataclass(kw_only=True, slots=True)
class _HomeState:
    """What is known of one home.

    :param heard_at: when its last word came.
    :param unanswered_since: when it was asked first of all that nothing came upon.
    :param left_since: the same when it was left, in case that its answer is only late.
    :param mean_s: mean time to an answer; ``None`` before the first.
    :param left_until: when it may be asked again, if it was left.
    """

    received_at: float = 0.0
    unanswered_since: float | None = None
    unanswered_since_at_exclusion: float | None = None
    mean_s: float | None = None
    deviation_s: float = 0.0
    excluded_until: float = 0.0
    exclusion_s: float = 0.0


class HomeTimeouts:
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
        self._homes: dict[str, _HomeState] = {}

    def record_request(self, address: str, now: float) -> None:
        """Note a question to a home."""
        home = self._homes.setdefault(address, _HomeState())
        if home.unanswered_since is None:
            home.unanswered_since = now

    def record_message(
        self, address: str, now: float, answer_s: float | None = None
    ) -> None:
        """Note a word of a home; one that was left is there again.

        :param answer_s: time since the question that it answers; ``None`` for a word
            that answers none which this node still has.
        """
        home = self._homes.setdefault(address, _HomeState())
        if answer_s is None and home.unanswered_since_at_exclusion is not None:
            late_s = now - home.unanswered_since_at_exclusion
            # Later still it was gone, and what it says now is no late answer.
            answer_s = late_s if late_s < _MAX_TIMEOUT_S else None
        if answer_s is not None:
            self._add_sample(home, answer_s)
        home.received_at = now
        home.unanswered_since = home.unanswered_since_at_exclusion = None
        home.excluded_until = home.exclusion_s = 0.0

    def reset_after_stall(self, now: float) -> None:
        """Count all homes as heard, because this process did not run."""
        for home in self._homes.values():
            home.received_at = now
            if home.unanswered_since is not None:
                home.unanswered_since = now

    def unresponsive_s(self, address: str, now: float) -> float:
        """Return how long a home has been quiet since it should have said something."""
        home = self._homes.get(address)
        if home is None or home.unanswered_since is None:
            return 0.0
        return now - max(home.received_at, home.unanswered_since)

    def since_message_s(self, address: str, now: float) -> float:
        """Return the time since a home's last word; 0 if it never said one."""
        home = self._homes.get(address)
        return now - home.received_at if home is not None and home.received_at else 0.0

    def answer_s(self, address: str) -> float:
        """Return the mean time to a home's answers; 0 if there were none."""
        home = self._homes.get(address)
        return (home.mean_s or 0.0) if home is not None else 0.0

    def retry_interval_s(self, address: str) -> float:
        """Return after how long without an answer a question is asked again."""
        home = self._homes.get(address)
        if home is None or home.mean_s is None:
            return _MIN_RETRY_INTERVAL_S
        late_s = home.mean_s + _DEVIATIONS * home.deviation_s
        return min(max(late_s, _MIN_RETRY_INTERVAL_S), _MAX_RETRY_INTERVAL_S)

    def timeout_s(self, address: str) -> float:
        """Return how long a home may be quiet before it counts as gone."""
        return min(
            _RETRIES_BEFORE_TIMEOUT * self.retry_interval_s(address), _MAX_TIMEOUT_S
        )

    def exclude(self, address: str, now: float) -> float:
        """Note that a home is gone.

        :returns: how long it is to be left alone.
        """
        home = self._homes.setdefault(address, _HomeState())
        home.unanswered_since_at_exclusion, home.unanswered_since = (
            home.unanswered_since,
            None,
        )
        home.exclusion_s = (
            min(2 * home.exclusion_s, _MAX_EXCLUSION_S) or _FIRST_EXCLUSION_S
        )
        home.excluded_until = now + home.exclusion_s
        return home.exclusion_s

    def is_excluded(self, address: str, now: float) -> bool:
        """Whether a home is gone and not to be asked yet."""
        home = self._homes.get(address)
        return home is not None and now < home.excluded_until

    @property
    def slowest_answer_s(self) -> float:
        """Mean time to the answers of the slowest home."""
        means = (home.mean_s for home in self._homes.values() if home.mean_s)
        return max(means, default=0.0)

    def _add_sample(self, home: _HomeState, answer_s: float) -> None:
        if home.mean_s is None:
            home.mean_s, home.deviation_s = answer_s, answer_s / 2
            return
        # Cut, so that one that was dead for long does not set the limit for long.
        error_s = min(answer_s, _MAX_RETRY_INTERVAL_S) - home.mean_s
        home.deviation_s += _DEVIATION_ALPHA * (abs(error_s) - home.deviation_s)
        home.mean_s += _MEAN_ALPHA * error_s
