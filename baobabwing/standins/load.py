"""History of a stand-in's load, for load reports that lag."""

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

    :param at: time of the sample, in seconds since 1970.
    :param running: requests being executed.
    :param waiting: admitted requests not yet being executed.
    :param waiting_prefill_tokens: prompt tokens still to be prefilled.
    """

    at: float
    running: int
    waiting: int
    waiting_prefill_tokens: int


class LoadHistory:
    """Load samples in order of time."""

    def __init__(self) -> None:
        self._samples: deque[LoadSample] = deque(maxlen=SAMPLES_KEPT)

    def add(self, sample: LoadSample) -> None:
        """Append a sample."""
        self._samples.append(sample)

    def as_of(self, lag_s: float) -> LoadSample:
        """Return the sample that was current some seconds ago.

        Returns a load of zero if there is no sample that old. Takes time linear in
        the number of samples younger than the lag.
        """
        newest_at = time.time() - lag_s
        # Iterates over a copy because another thread may append meanwhile.
        for sample in reversed(self._samples.copy()):
            if sample.at <= newest_at:
                return sample
        return LoadSample(at=newest_at, running=0, waiting=0, waiting_prefill_tokens=0)

    def report(self, lag_ms: float) -> Answer:
        """Return the load report as it was some milliseconds ago."""
        document = asdict(self.as_of(lag_ms / _MS))
        document["measured_at"] = document.pop("at")
        document["lag_ms"] = lag_ms
        return json_answer(document)
