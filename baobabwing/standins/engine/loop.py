"""Step loop of a stand-in engine: admission, chunked prefill and decoding."""

from __future__ import annotations

import threading
import time
from collections import deque

from baobabwing.standins.blocks import BLOCK_TOKENS
from baobabwing.standins.engine.cache import CacheEventLog, PrefixCache
from baobabwing.standins.engine.parameters import MS_PER_S, EngineParameters
from baobabwing.standins.engine.sequence import Reader, Sequence
from baobabwing.standins.faults import FaultBoard
from baobabwing.standins.load import LoadHistory, LoadSample
from baobabwing.standins.record import Record

__all__ = ["EngineLoop"]


class EngineLoop:
    """Scheduler that batches sequences in order of arrival, in one thread.

    :param faults: faults in force; ``slow`` and ``freeze`` delay the steps.
    :param record: record to which every admitted execution is added.
    :ivar lock: guards the sequences, the cache and the cache events.
    """

    def __init__(
        self, *, parameters: EngineParameters, faults: FaultBoard, record: Record
    ) -> None:
        self._parameters = parameters
        self._faults = faults
        self._record = record
        self._changed = threading.Condition()
        self._waiting: deque[Sequence] = deque()
        self._running: list[Sequence] = []
        self._by_attempt: dict[str, Sequence] = {}
        self._ended: deque[Sequence] = deque()
        self.events = CacheEventLog(
            lag_s=parameters.cache_event_lag_ms / MS_PER_S,
            gap=parameters.cache_event_gap,
            seed=parameters.seed,
        )
        self.cache = PrefixCache(
            capacity_tokens=parameters.cache_tokens, events=self.events
        )
        self.load = LoadHistory()
        self.lock = self._changed
        self._record_load()

    def start(self) -> None:
        """Start the loop in a daemon thread."""
        threading.Thread(target=self._run, name="engine-loop", daemon=True).start()

    def admit(self, seq: Sequence) -> bool:
        """Queue a sequence for execution.

        :returns: false if the batch and the queue are full; the sequence is then
            neither recorded nor run.
        """
        with self._changed:
            # Compares running plus waiting with both limits together: a batch with
            # free slots takes a sequence from the queue only at the next step, so
            # the queue alone may exceed ``max_waiting`` until then.
            admitted = len(self._running) + len(self._waiting)
            if admitted >= self._parameters.max_batch + self._parameters.max_waiting:
                return False
            seq.execution.started_at = time.time()
            self._record.add(seq.execution)
            self._waiting.append(seq)
            self._by_attempt[seq.attempt] = seq
            self._record_load()
            self._changed.notify()
        return True

    def find(self, attempt: str) -> Sequence | None:
        """Return the latest sequence of an attempt, or none if it has expired."""
        with self._changed:
            self._drop_expired()
            return self._by_attempt.get(attempt)

    def follow(self, seq: Sequence, reader: Reader) -> None:
        """Attach a reader to a sequence without blocking.

        The reader first gets the tokens produced so far.
        """
        with self._changed:
            reader.push(seq.produced)
            if seq.ended.is_set():
                reader.ended.set()
            elif not reader.ended.is_set():
                seq.readers.append(reader)

    def cancel(self, attempt: str) -> None:
        """Cancel a waiting or running sequence; unknown and ended ones are ignored."""
        with self._changed:
            seq = self._by_attempt.get(attempt)
            if seq is None or seq.ended.is_set():
                return
            if seq in self._running:
                self._running.remove(seq)
            else:
                self._waiting.remove(seq)
            self._end_sequence(seq, "cancelled")
            self._record_load()

    def _run(self) -> None:
        step_end = time.monotonic()
        while True:
            with self._changed:
                self._drop_expired()
                while not self._waiting and not self._running:
                    self._changed.wait(self._parameters.keep_s)
                    self._drop_expired()
                    step_end = time.monotonic()
                self._fill_batch()
                prefill = self._plan_prefill()
                duration_s = self._step_s(sum(prefill.values()))
            # A late loop catches up by at most one step.
            step_end = self._sleep_until(
                max(step_end, time.monotonic() - duration_s) + duration_s
            )
            with self._changed:
                self._finish_step(prefill)

    def _sleep_until(self, step_end: float) -> float:
        """Sleep until a step's end and return that time, delayed by any freeze."""
        remaining_s = step_end - time.monotonic()
        if remaining_s > 0:
            time.sleep(remaining_s)
        return step_end + self._faults.wait_while_frozen()

    def _fill_batch(self) -> None:
        before = len(self._running)
        while self._waiting and len(self._running) < self._parameters.max_batch:
            seq = self._waiting.popleft()
            self._match_prefix(seq)
            seq.execution.state = "running"
            self._running.append(seq)
        if len(self._running) > before:
            self._record_load()

    def _match_prefix(self, seq: Sequence) -> None:
        prompt_tokens = seq.execution.prompt_tokens
        cached = self.cache.match(seq.blocks) * BLOCK_TOKENS
        # The last prompt token is always computed: its result is the first output
        # token.
        cached = min(cached, max(prompt_tokens - 1, 0))
        seq.execution.cached_tokens = cached
        seq.prefill_left = prompt_tokens - cached

    def _plan_prefill(self) -> dict[Sequence, int]:
        chunk = self._parameters.prefill_chunk
        plan: dict[Sequence, int] = {}
        budget = chunk
        for seq in self._running:
            if seq.produced or not seq.prefill_left:
                continue
            if not chunk:
                return {seq: seq.prefill_left}
            plan[seq] = min(budget, seq.prefill_left)
            budget -= plan[seq]
            if not budget:
                break
        return plan

    def _step_s(self, prefill_tokens: int) -> float:
        step_s = self._parameters.step_s(
            running=len(self._running), prefill_tokens=prefill_tokens
        )
        return step_s * self._faults.number("slow", 1.0)

    def _finish_step(self, prefill: dict[Sequence, int]) -> None:
        for seq, tokens in prefill.items():
            self._apply_prefill(seq, tokens)
        ended = False
        for seq in self._running:
            if not seq.prefill_left:
                ended |= self._produce_token(seq)
        if ended:
            self._running = [seq for seq in self._running if not seq.ended.is_set()]
        self._record_load()

    def _apply_prefill(self, seq: Sequence, tokens: int) -> None:
        seq.prefill_left -= tokens
        seq.execution.prefilled_tokens += tokens
        if not seq.prefill_left:
            self.cache.store(seq.blocks)
        if not seq.prefill_left or seq.ended.is_set():
            # Written now so that the record counts this prefill work even if the
            # process dies later. A sequence cancelled during the step is written
            # again, with the tokens of that step.
            self._record.write(seq.execution)

    def _produce_token(self, seq: Sequence) -> bool:
        seq.produced += 1
        seq.execution.output_tokens = seq.produced
        if seq.produced == 1:
            seq.started.set()
        if seq.readers:
            self._push_to_readers(seq)
        if seq.produced < seq.limit:
            return False
        self._end_sequence(seq, "finished")
        return True

    def _push_to_readers(self, seq: Sequence) -> None:
        any_ended = False
        for reader in seq.readers:
            reader.push(seq.produced)
            any_ended |= reader.ended.is_set()
        if any_ended:
            seq.readers = [
                reader for reader in seq.readers if not reader.ended.is_set()
            ]

    def _end_sequence(self, seq: Sequence, state: str) -> None:
        seq.execution.state = state
        seq.execution.finished_at = time.time()
        self._record.write(seq.execution)
        self._ended.append(seq)
        seq.ended.set()
        seq.started.set()
        for reader in seq.readers:
            reader.ended.set()
        seq.readers = []

    def _drop_expired(self) -> None:
        oldest_kept = time.time() - self._parameters.keep_s
        while self._ended and self._ended[0].execution.finished_at < oldest_kept:
            seq = self._ended.popleft()
            if self._by_attempt.get(seq.attempt) is seq:
                del self._by_attempt[seq.attempt]

    def _record_load(self) -> None:
        tokens = sum(seq.prefill_left for seq in self._waiting)
        tokens += sum(seq.prefill_left for seq in self._running)
        sample = LoadSample(
            at=time.time(),
            running=len(self._running),
            waiting=len(self._waiting),
            waiting_prefill_tokens=tokens,
        )
        self.load.add(sample)
