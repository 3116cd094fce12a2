"""Adaptive timeouts that distinguish an overloaded home from a dead one."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["HomeTimeouts"]

# Shortest time without an answer after which a request is sent again, in case its
# datagram was lost. A home answers within some 5 ms between availability zones, and
# within 20 ms while its host is busy.
_MIN_RETRY_INTERVAL_S = 0.04
# The interval grows for an overloaded home, so that requests which it has not read yet
# are not sent twice, up to this bound: objectives are 0.8 s.
_MAX_RETRY_INTERVAL_S = 1.0
# A home that sends nothing for this many retry intervals counts as dead: after 80 ms if
# it answered fast, and after 0.5 s at the latest, since an overloaded home still sends
# some messages.
_RETRIES_BEFORE_TIMEOUT = 2
_MAX_TIMEOUT_S = 0.5
# Weights of a new sample in the mean answer time and in its mean deviation, and the
# number of deviations above the mean after which a request is sent again, all as in
# TCP's retransmission timer [1]_.
_MEAN_ALPHA = 1 / 8
_DEVIATION_ALPHA = 1 / 4
_DEVIATIONS = 4
# First and longest exclusion of a dead home; each one in a row lasts twice as long.
_FIRST_EXCLUSION_S = 0.5
_MAX_EXCLUSION_S = 4.0


@dataclass(kw_only=True, slots=True)
class _HomeState:
    """Answer times and exclusion of one home.

    :param received_at: when its last message was received; 0 before the first.
    :param unanswered_since: when the first request was sent since its last message.
    :param unanswered_since_at_exclusion: that time when it was excluded, in case its
        answer is only late.
    :param mean_answer_s: mean answer time; ``None`` before the first answer.
    :param deviation_s: mean deviation of the answer time.
    :param excluded_until: when it may be used again, if it was excluded.
    :param exclusion_s: duration of its last exclusion; 0 after a message from it.
    """

    received_at: float = 0.0
    unanswered_since: float | None = None
    unanswered_since_at_exclusion: float | None = None
    mean_answer_s: float | None = None
    deviation_s: float = 0.0
    excluded_until: float = 0.0
    exclusion_s: float = 0.0


class HomeTimeouts:
    """Timeouts of the homes that a node uses; callers pass the current time.

    With a fixed timeout an overloaded home counts as dead. All nodes then send their
    requests and reservation reports to the next home, which is more work than the burst
    that overloaded the first one, so that the next home is overloaded in turn. This
    timeout follows the answer times. Answers that arrive after it count too, so that a
    node excludes an overloaded home once at the most, and returns to it.

    References
    ----------
    .. [1] V. Paxson, M. Allman, J. Chu and M. Sargent, "Computing TCP's
       Retransmission Timer", RFC 6298, 2011.

    """

    def __init__(self) -> None:
        self._homes: dict[str, _HomeState] = {}

    def record_request(self, address: str, now: float) -> None:
        """Record that a request was sent to a home."""
        home = self._homes.setdefault(address, _HomeState())
        if home.unanswered_since is None:
            home.unanswered_since = now

    def record_message(
        self, address: str, now: float, answer_s: float | None = None
    ) -> None:
        """Record a message from a home, and end its exclusion.

        :param answer_s: time since the request that it answers; ``None`` if it answers
            none that is still pending.
        """
        home = self._homes.setdefault(address, _HomeState())
        if answer_s is None and home.unanswered_since_at_exclusion is not None:
            late_s = now - home.unanswered_since_at_exclusion
            # After a longer time the home was dead, and this is not a late answer.
            answer_s = late_s if late_s < _MAX_TIMEOUT_S else None
        if answer_s is not None:
            self._add_sample(home, answer_s)
        home.received_at = now
        home.unanswered_since = home.unanswered_since_at_exclusion = None
        home.excluded_until = home.exclusion_s = 0.0

    def reset_after_stall(self, now: float) -> None:
        """Restart the timeouts of all homes after a stall of this process."""
        for home in self._homes.values():
            home.received_at = now
            if home.unanswered_since is not None:
                home.unanswered_since = now

    def unresponsive_s(self, address: str, now: float) -> float:
        """Return how long a home has sent nothing while a request was unanswered."""
        home = self._homes.get(address)
        if home is None or home.unanswered_since is None:
            return 0.0
        return now - max(home.received_at, home.unanswered_since)

    def since_message_s(self, address: str, now: float) -> float:
        """Return the time since a home's last message; 0 if there was none."""
        home = self._homes.get(address)
        return now - home.received_at if home is not None and home.received_at else 0.0

    def mean_answer_s(self, address: str) -> float:
        """Return the mean answer time of a home; 0 before its first answer."""
        home = self._homes.get(address)
        return (home.mean_answer_s or 0.0) if home is not None else 0.0

    def retry_interval_s(self, address: str) -> float:
        """Return the time without an answer after which a request is sent again."""
        home = self._homes.get(address)
        if home is None or home.mean_answer_s is None:
            return _MIN_RETRY_INTERVAL_S
        late_s = home.mean_answer_s + _DEVIATIONS * home.deviation_s
        return min(max(late_s, _MIN_RETRY_INTERVAL_S), _MAX_RETRY_INTERVAL_S)

    def timeout_s(self, address: str) -> float:
        """Return the time without a message after which a home counts as dead."""
        return min(
            _RETRIES_BEFORE_TIMEOUT * self.retry_interval_s(address), _MAX_TIMEOUT_S
        )

    def exclude(self, address: str, now: float) -> float:
        """Exclude a home that counts as dead.

        :returns: duration of the exclusion, in seconds.
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
        """Whether a home is excluded now."""
        home = self._homes.get(address)
        return home is not None and now < home.excluded_until

    @property
    def slowest_answer_s(self) -> float:
        """Mean answer time of the slowest home; 0 before any answer."""
        means = (
            home.mean_answer_s for home in self._homes.values() if home.mean_answer_s
        )
        return max(means, default=0.0)

    def _add_sample(self, home: _HomeState, answer_s: float) -> None:
        if home.mean_answer_s is None:
            home.mean_answer_s, home.deviation_s = answer_s, answer_s / 2
            return
        # Clamped, so that one long outage does not raise the timeout for long.
        error_s = min(answer_s, _MAX_RETRY_INTERVAL_S) - home.mean_answer_s
        home.deviation_s += _DEVIATION_ALPHA * (abs(error_s) - home.deviation_s)
        home.mean_answer_s += _MEAN_ALPHA * error_s
