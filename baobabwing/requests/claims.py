"""Claims on caller-chosen idempotency keys, stored in the table service.

Two attempts with one key may reach two nodes at once. A conditional insert into
the table service, which both nodes can reach, decides which of them dispatches.
Inserts that are pending at the same time are sent as one write, since the service
accepts only a few hundred writes a second.
"""

from __future__ import annotations

import hashlib
import queue
import threading
import time
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass
from typing import Any

from baobabwing.exceptions import (
    PlatformError,
    PlatformUnavailableError,
    PlatformUncertainError,
)
from baobabwing.store.tables import Insert, Tables

__all__ = ["Claim", "ClaimService"]

TABLE = "claims"
MAX_BATCH = 64
BATCH_WAIT_S = 0.002
READ_BACK_ATTEMPTS = 3
READ_BACK_PAUSE_S = 0.05
_STEP = "claim"


@dataclass(frozen=True, kw_only=True)
class Claim:
    """The node that owns a key; its registry ensures a single dispatch.

    :param claimed_at_s: claim time in seconds of the owner's wall clock. The owner
        keeps a request for a limited time only, so it dispatches nothing for a
        claim of its own that is older.
    """

    node: str
    incarnation: int
    claimed_at_s: int


@dataclass(frozen=True, kw_only=True)
class _PendingClaim:
    """A claim that waits for its insert into the table service."""

    table_key: str
    claim: Claim
    future: Future[Claim]


class ClaimService:
    """Inserts claims into the table service in batches.

    :param tables: client of the table service.
    :param budget_s: longest wait for a claim, in seconds; after it the request is
        not dispatched.
    """

    def __init__(self, *, tables: Tables, budget_s: float) -> None:
        self._tables = tables
        self._budget_s = budget_s
        self._queue: queue.SimpleQueue[_PendingClaim | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="claims", daemon=True)

    def start(self) -> None:
        """Start the thread that writes claims."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread that writes claims."""
        self._queue.put(None)

    def claim(self, organisation: str, key: str, claim: Claim) -> Claim:
        """Claim a key unless another node has claimed it before.

        :returns: the claim in force, of this node or of another.
        :raises PlatformUnavailableError: if the claim could not be determined
            within the budget; the request must not be dispatched.
        """
        pending = _PendingClaim(
            table_key=_table_key(organisation, key), claim=claim, future=Future()
        )
        self._queue.put(pending)
        try:
            return pending.future.result(timeout=self._budget_s)
        except FutureTimeoutError as exc:
            # The insert may still take effect later. That is harmless: the claim
            # names this node, no other node dispatches on it, and this node's
            # registry shows that the key was not dispatched yet.
            raise PlatformUnavailableError("claim timed out", step=_STEP) from exc

    def _run(self) -> None:
        while True:
            first = self._queue.get()
            if first is None:
                return
            batch = self._collect_batch(first)
            try:
                self._insert(batch)
            except PlatformError as exc:
                for pending in batch:
                    if not pending.future.done():
                        pending.future.set_exception(exc)

    def _collect_batch(self, first: _PendingClaim) -> list[_PendingClaim]:
        batch = [first]
        batch_until = time.monotonic() + BATCH_WAIT_S
        while len(batch) < MAX_BATCH:
            try:
                pending = self._queue.get(
                    timeout=max(0.0, batch_until - time.monotonic())
                )
            except queue.Empty:
                break
            if pending is None:
                self._queue.put(None)
                break
            batch.append(pending)
        return batch

    def _insert(self, batch: list[_PendingClaim]) -> None:
        values = {}
        for pending in batch:
            values.setdefault(pending.table_key, _to_value(pending.claim))
        try:
            results = self._tables.insert_many(
                TABLE,
                [
                    Insert(key=table_key, value=value)
                    for table_key, value in values.items()
                ],
            )
        except PlatformUncertainError:
            # The write may have taken effect although its response was lost, so
            # the stored claim is read back to find its owner.
            held = {table_key: self._read_back(table_key) for table_key in values}
        else:
            held = {result.key: _to_claim(result.value) for result in results}
        for pending in batch:
            pending.future.set_result(held[pending.table_key])

    def _read_back(self, table_key: str) -> Claim:
        for _ in range(READ_BACK_ATTEMPTS):
            try:
                entry = self._tables.read(TABLE, table_key)
            except PlatformError:
                time.sleep(READ_BACK_PAUSE_S)
                continue
            if entry is None:
                break
            return _to_claim(entry.value)
        raise PlatformUnavailableError("the claim could not be read back", step=_STEP)


def _table_key(organisation: str, key: str) -> str:
    """Return the table key: a digest, so that keys may hold any characters."""
    text = f"{organisation}\0{key}".encode()
    return hashlib.blake2b(text, digest_size=20).hexdigest()


def _to_value(claim: Claim) -> dict[str, Any]:
    return {
        "node": claim.node,
        "incarnation": claim.incarnation,
        "claimed_at_s": claim.claimed_at_s,
    }


def _to_claim(value: dict[str, Any]) -> Claim:
    return Claim(
        node=value["node"],
        incarnation=value["incarnation"],
        claimed_at_s=value["claimed_at_s"],
    )
