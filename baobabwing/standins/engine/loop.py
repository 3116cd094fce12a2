"""The loop of a stand-in engine: admission, prefill and decoding in steps."""

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
    """Runs sequences first come, first served, in one thread.

    :param faults: ``slow`` and ``freeze`` act on the steps.
    :param record: gets every execution that was admitted.
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
        self._streams: dict[str, Sequence] = {}
        self._finished: deque[Sequence] = deque()
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
        self._note_load()

    def start(self) -> None:
        """Start the thread of the loop."""
        threading.Thread(target=self._run, name="engine-loop", daemon=True).start()

    def admit(self, seq: Sequence) -> bool:
        """Take a sequence in.

        :returns: false if too many wait already; then nothing was run.
        """
        with self._changed:
            # Counted together: a batch with room takes in a request only at the
            # next step, and until then the request must not count as one too many.
            held = len(self._running) + len(self._waiting)
            if held >= self._parameters.max_batch + self._parameters.max_waiting:
                return False
            seq.execution.started_at = time.time()
            self._record.add(seq.execution)
            self._waiting.append(seq)
            self._streams[seq.attempt] = seq
            self._note_load()
            self._changed.notify()
        return True

    def find(self, attempt: str) -> Sequence | None:
        """Return the latest sequence of an attempt, if its output is still kept."""
        with self._changed:
            self._forget()
            return self._streams.get(attempt)

    def follow(self, seq: Sequence, reader: Reader) -> None:
        """Have a connection follow a sequence; returns at once."""
        with self._changed:
            reader.push(seq.produced)
            if seq.ended.is_set():
                reader.ended.set()
            elif not reader.ended.is_set():
                seq.readers.append(reader)

    def cancel(self, attempt: str) -> None:
        """End a sequence where it is; an unknown one is left alone."""
        with self._changed:
            seq = self._streams.get(attempt)
            if seq is None or seq.ended.is_set():
                return
            if seq in self._running:
                self._running.remove(seq)
            else:
                self._waiting.remove(seq)
            self._end(seq, "cancelled")
            self._note_load()

    def _run(self) -> None:
        due = time.monotonic()
        while True:
            with self._changed:
                self._forget()
                while not self._waiting and not self._running:
                    self._changed.wait(self._parameters.keep_s)
                    self._forget()
                    due = time.monotonic()
                self._fill_batch()
                prefill = self._plan_prefill()
                duration = self._step_s(sum(prefill.values()))
            due = self._sleep_until(max(due, time.monotonic() - duration) + duration)
            with self._changed:
                self._finish_step(prefill)

    def _sleep_until(self, due: float) -> float:
        left = due - time.monotonic()
        if left > 0:
            time.sleep(left)
        return due + self._faults.wait_while_frozen()

    def _fill_batch(self) -> None:
        before = len(self._running)
        while self._waiting and len(self._running) < self._parameters.max_batch:
            seq = self._waiting.popleft()
            self._reuse_prefix(seq)
            seq.execution.state = "running"
            self._running.append(seq)
        if len(self._running) > before:
            self._note_load()

    def _reuse_prefix(self, seq: Sequence) -> None:
        prompt_tokens = seq.execution.prompt_tokens
        cached = self.cache.match(seq.blocks) * BLOCK_TOKENS
        # The last token is always computed, as its result starts the answer.
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
            self._prefilled(seq, tokens)
        ended = False
        for seq in self._running:
            if not seq.prefill_left:
                ended |= self._make_token(seq)
        if ended:
            self._running = [seq for seq in self._running if not seq.ended.is_set()]
        self._note_load()

    def _prefilled(self, seq: Sequence, tokens: int) -> None:
        seq.prefill_left -= tokens
        seq.execution.prefilled_tokens += tokens
        if not seq.prefill_left:
            self.cache.store(seq.blocks)
        if not seq.prefill_left or seq.ended.is_set():
            # A death later on must not hide the prompt work that it wasted, nor
            # a cancel the work of the step that it came too late for.
            self._record.note(seq.execution)

    def _make_token(self, seq: Sequence) -> bool:
        seq.produced += 1
        seq.execution.output_tokens = seq.produced
        if seq.produced == 1:
            seq.started.set()
        if seq.readers:
            self._push(seq)
        if seq.produced < seq.limit:
            return False
        self._end(seq, "finished")
        return True

    def _push(self, seq: Sequence) -> None:
        gone = False
        for reader in seq.readers:
            reader.push(seq.produced)
            gone |= reader.ended.is_set()
        if gone:
            seq.readers = [each for each in seq.readers if not each.ended.is_set()]

    def _end(self, seq: Sequence, state: str) -> None:
        seq.execution.state = state
        seq.execution.finished_at = time.time()
        self._record.note(seq.execution)
        self._finished.append(seq)
        seq.ended.set()
        seq.started.set()
        for reader in seq.readers:
            reader.ended.set()
        seq.readers = []

    def _forget(self) -> None:
        horizon = time.time() - self._parameters.keep_s
        while self._finished and self._finished[0].execution.finished_at < horizon:
            seq = self._finished.popleft()
            if self._streams.get(seq.attempt) is seq:
                del self._streams[seq.attempt]

    def _note_load(self) -> None:
        tokens = sum(seq.prefill_left for seq in self._waiting)
        tokens += sum(seq.prefill_left for seq in self._running)
        sample = LoadSample(
            at=time.time(),
            running=len(self._running),
            waiting=len(self._waiting),
            waiting_prefill_tokens=tokens,
        )
        self.load.add(sample)
