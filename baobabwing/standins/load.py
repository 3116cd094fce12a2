"""The load that a stand-in reports, as it was a while ago."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import asdict, dataclass

from baobabwing.standins.server import Answer, json_answer

__all__ = ["LoadHistory", "LoadSample"]

SAMPLES_KEPT = 8192
_MS = 1000.0


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
        newest_at = time.time() - lag_s
        # A copy, as the loop appends while this runs in another thread.
        for sample in reversed(self._samples.copy()):
            if sample.at <= newest_at:
                return sample
        return LoadSample(at=newest_at, running=0, waiting=0, waiting_prefill_tokens=0)

    def report(self, lag_ms: float) -> Answer:
        """Return the load report of a stand-in whose reports are some ms old."""
        document = asdict(self.as_of(lag_ms / _MS))
        document["measured_at"] = document.pop("at")
        document["lag_ms"] = lag_ms
        return json_answer(document)
