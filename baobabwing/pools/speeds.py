"""Speeds of upstreams, learned from the cell's own finished requests.

Estimates are exponentially weighted averages of clipped samples: a sample
counts for at most twice and at least half of the expected value. One stalled
stream thus hardly changes an estimate, while a lasting change is learned within
a few samples.
"""

from __future__ import annotations

from baobabwing.pools.catalogue import Upstream

__all__ = ["GenerationSpeeds", "LearnedSpeed"]

_UPSTREAM_WEIGHT = 0.15
_GENERATION_WEIGHT = 0.02
_CLIP_FACTOR = 2.0
_MIN_PREFILL_TOKENS = 256
_MIN_STEP_TOKENS = 4
_MIN_STEP_FRACTION = 0.25
_INITIAL_SERVICE_S = 0.02
_MIN_DURATION_S = 1e-6


class LearnedSpeed:
    """Prefill rate, step time by batch size, and service time of one upstream.

    ``overhead_s`` is the time to the first token without the prefill, and
    ``slope_s`` the growth of the step time for each further running request.

    :param prefill_tokens_per_s: initial estimate of the prefill rate.
    :param step_s: initial estimate of the time of one decoding step.
    :param weight: weight of a sample once many have been learned.
    """

    __slots__ = (
        "_batch_cov",
        "_batch_mean",
        "_batch_var",
        "_step_mean",
        "_weight",
        "overhead_s",
        "prefill_tokens_per_s",
        "samples",
        "service_s",
        "slope_s",
    )

    def __init__(
        self, *, prefill_tokens_per_s: float, step_s: float, weight: float
    ) -> None:
        self._weight = weight
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.overhead_s = 0.0
        self.service_s = _INITIAL_SERVICE_S
        self.slope_s = 0.0
        self.samples = 0
        self._step_mean = step_s
        self._batch_mean = 1.0
        self._batch_var = 0.0
        self._batch_cov = 0.0

    def copy(self, *, weight: float) -> LearnedSpeed:
        """Return a copy without samples that learns with another weight."""
        other = LearnedSpeed(
            prefill_tokens_per_s=self.prefill_tokens_per_s,
            step_s=self._step_mean,
            weight=weight,
        )
        other.overhead_s = self.overhead_s
        other.service_s = self.service_s
        other.slope_s = self.slope_s
        other._batch_mean = self._batch_mean
        return other

    def step_s(self, batch: float) -> float:
        """Return the expected time of one step with ``batch`` requests running."""
        expected = self._step_mean + self.slope_s * (batch - self._batch_mean)
        return max(expected, self._step_mean * _MIN_STEP_FRACTION)

    def request_s(
        self, uncached_tokens: int, output_tokens: int, batch: float
    ) -> float:
        """Return the expected run time of a request that starts at once.

        :param uncached_tokens: prompt tokens to prefill.
        :param output_tokens: tokens to generate.
        :param batch: number of running requests, including this one.
        """
        prefill = uncached_tokens / self.prefill_tokens_per_s
        return self.overhead_s + prefill + output_tokens * self.step_s(batch)

    def observe_prefill(self, uncached_tokens: int, seconds: float) -> None:
        """Learn from a time to first token of ``seconds`` without queueing."""
        seconds = max(seconds, _MIN_DURATION_S)
        if uncached_tokens < _MIN_PREFILL_TOKENS:
            extra = seconds - uncached_tokens / self.prefill_tokens_per_s
            self.overhead_s += self._sample_weight() * (
                max(extra, 0.0) - self.overhead_s
            )
            return
        seconds = max(seconds - self.overhead_s, seconds * 0.1)
        expected_s = uncached_tokens / self.prefill_tokens_per_s
        expected_s += self._sample_weight() * (_clip(seconds, expected_s) - expected_s)
        self.prefill_tokens_per_s = uncached_tokens / expected_s

    def observe_steps(self, tokens: int, seconds: float, batch: float) -> None:
        """Learn from ``tokens`` decoding steps with ``batch`` requests running.

        The slope is an exponentially weighted linear regression of the step
        time on the batch.
        """
        if tokens < _MIN_STEP_TOKENS:
            return
        step = _clip(seconds / tokens, self.step_s(batch))
        weight = self._sample_weight()
        batch_deviation = batch - self._batch_mean
        step_deviation = step - self._step_mean
        self._batch_mean += weight * batch_deviation
        self._step_mean += weight * step_deviation
        decay = 1.0 - weight
        self._batch_var = decay * (
            self._batch_var + weight * batch_deviation * batch_deviation
        )
        self._batch_cov = decay * (
            self._batch_cov + weight * batch_deviation * step_deviation
        )
        if self._batch_var > 1.0:
            max_slope_s = self._step_mean / max(self._batch_mean, 1.0)
            slope = self._batch_cov / self._batch_var
            self.slope_s = min(max(slope, 0.0), max_slope_s)

    def observe_service(self, seconds: float) -> None:
        """Learn from the duration of one call of a plain service."""
        seconds = max(seconds, _MIN_DURATION_S)
        seconds = _clip(seconds, self.service_s)
        self.service_s += self._sample_weight() * (seconds - self.service_s)

    def drift_to(self, other: LearnedSpeed, share: float) -> None:
        """Move the estimates by ``share`` of the way to those of ``other``.

        For an upstream that has produced no recent samples.
        """
        if not other.samples:
            return
        rate = self.prefill_tokens_per_s
        self.prefill_tokens_per_s += share * (other.prefill_tokens_per_s - rate)
        step_deviation = other.step_s(self._batch_mean) - self._step_mean
        self._step_mean += share * step_deviation
        self.overhead_s += share * (other.overhead_s - self.overhead_s)
        self.service_s += share * (other.service_s - self.service_s)

    def count_sample(self) -> None:
        """Count one learned request; the weight of samples falls with the count."""
        self.samples += 1

    def _sample_weight(self) -> float:
        return max(self._weight, 1.0 / (self.samples + 2))


class GenerationSpeeds:
    """Learned speed of each hardware generation, the start for new upstreams."""

    def __init__(self) -> None:
        self._generations: dict[str, LearnedSpeed] = {}

    def generation_speed(self, upstream: Upstream) -> LearnedSpeed:
        """Return the speed learned from all upstreams of the same generation."""
        speed = self._generations.get(upstream.generation)
        if speed is None:
            speed = LearnedSpeed(
                prefill_tokens_per_s=upstream.prefill_tokens_per_s,
                step_s=upstream.step_ms / 1000.0,
                weight=_GENERATION_WEIGHT,
            )
            self._generations[upstream.generation] = speed
        return speed

    def initial_speed(self, upstream: Upstream) -> LearnedSpeed:
        """Return the initial speed of an upstream that the cell has not tracked.

        A copy of its generation's learned speed, or the configured speed while
        the generation has no samples.
        """
        learned = self.generation_speed(upstream)
        if learned.samples:
            return learned.copy(weight=_UPSTREAM_WEIGHT)
        return LearnedSpeed(
            prefill_tokens_per_s=upstream.prefill_tokens_per_s,
            step_s=upstream.step_ms / 1000.0,
            weight=_UPSTREAM_WEIGHT,
        )


def _clip(sample: float, expected: float) -> float:
    return min(max(sample, expected / _CLIP_FACTOR), expected * _CLIP_FACTOR)
