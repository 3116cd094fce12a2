"""Speeds and sizes of a stand-in engine."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["MS_PER_S", "EngineParameters"]

MS_PER_S = 1000.0


@dataclass(frozen=True, kw_only=True)
class EngineParameters:
    """Step times, batch limits and cache sizes of one engine.

    A step takes ``step_ms + step_ms_per_sequence * running`` plus the time of
    the prompt tokens that are prefilled in it.

    :param max_batch: sequences that run concurrently.
    :param max_waiting: requests that may be queued; further ones are not admitted.
    :param prefill_chunk: maximum number of prompt tokens per step; 0 to prefill a
        whole prompt in one step.
    :param cache_tokens: capacity of the prefix cache in tokens.
    :param report_lag_ms: age of the load report.
    :param cache_event_lag_ms: lag of the reported cache events.
    :param cache_event_gap: share of cache events that are never reported, 0 to 1.
    :param load_ms: duration of a weight load when no platform is given.
    :param keep_s: seconds for which the output of an ended sequence is kept.
    :param fencing: whether orders with an old fencing number are refused.
    :param seed: seed of the random choice of unreported cache events.
    """

    step_ms: float = 6.0
    step_ms_per_sequence: float = 0.2
    prefill_tokens_per_s: float = 8000.0
    prefill_chunk: int = 512
    max_batch: int = 16
    max_waiting: int = 128
    max_prompt_tokens: int = 131_072
    max_output_tokens: int = 32_768
    cache_tokens: int = 65_536
    report_lag_ms: float = 500.0
    cache_event_lag_ms: float = 500.0
    cache_event_gap: float = 0.05
    load_ms: float = 200.0
    keep_s: float = 60.0
    fencing: bool = True
    seed: int = 1

    def step_s(self, *, running: int, prefill_tokens: int) -> float:
        """Return how long one step takes, in seconds.

        :param running: sequences in the batch, whether decoding or prefilling.
        :param prefill_tokens: prompt tokens that are prefilled in the step.
        """
        decode_s = (self.step_ms + self.step_ms_per_sequence * running) / MS_PER_S
        return decode_s + prefill_tokens / self.prefill_tokens_per_s
