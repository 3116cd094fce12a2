"""The load that a stand-in engine reports, as it was a while ago."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass

__all__ = ["LoadHistory", "LoadSample"]

SAMPLES_KEPT = 8192


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadSample:
    """The load at one moment.

    :param at: seconds since 1970.
    :param waiting_prefill_tokens: prompt tokens that are still to be prefilled.
    """

    at: float
    running: int
    waiting: int
    waiting_prefill_tokens: int


class LoadHistory:
    """Samples of the load, the latest last."""

    def __init__(self) -> None:
        self._samples: deque[LoadSample] = deque(maxlen=SAMPLES_KEPT)

    def add(self, sample: LoadSample) -> None:
        """Note a sample."""
        self._samples.append(sample)

    def as_of(self, lag_s: float) -> LoadSample:
        """Return the sample that was current some seconds ago.

        Before the first sample, the load was none. Costs time in the number of
        samples that are younger than the lag.
        """
        horizon = time.time() - lag_s
        # A copy, as the loop appends while this runs in another thread.
        for sample in reversed(self._samples.copy()):
            if sample.at <= horizon:
                return sample
        return LoadSample(at=horizon, running=0, waiting=0, waiting_prefill_tokens=0)
