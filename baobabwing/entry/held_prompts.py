"""Blocks of prompts that crash the engines that begin to answer them."""

from __future__ import annotations

import threading
import time
import zlib

from baobabwing.gateway.decisions.prompt_parts import (
    MIN_SURVIVAL_S,
    CrashedRequest,
    PartQuarantine,
)

__all__ = ["HeldPrompts"]


class HeldPrompts:
    """Prompts that this node refuses, by the chained digests of their blocks.

    A digest stands for all blocks up to its own, so that prompts which differ before a
    bad block have nothing in common here; one that is sent again has. Each node knows
    its own requests only.
    """

    def __init__(self) -> None:
        self._book = PartQuarantine()
        self._lock = threading.Lock()

    def refused_s(self, prefix: tuple[int, ...]) -> float:
        """Return when a prompt may be worth sending again; 0 if it may be sent now.

        :param prefix: chained digests of its blocks.
        """
        now = time.monotonic()
        with self._lock:
            held = self._book.held_in(prefix)
            if not held or all(self._book.grant_trial(part, now) for part in held):
                return 0.0
            return self._book.retry_after_s(held, now)

    def answered(self, prefix: tuple[int, ...], began_at: float) -> None:
        """Record that an engine has answered a prompt.

        :param began_at: when the answer began, by the monotonic clock.
        """
        with self._lock:
            for part in self._book.survived(prefix, began_at):
                self._book.release(part, time.monotonic())

    def lost(
        self,
        request_id: str,
        prefix: tuple[int, ...],
        *,
        sent_at: float,
        lost_at: float,
        began_at: float | None,
    ) -> None:
        """Record that the engine was lost that answered a prompt.

        :param sent_at: when the request was sent, by the monotonic clock.
        :param lost_at: when its connection was lost.
        :param began_at: when its first event came; ``None`` if none did.
        """
        if not prefix or (began_at is not None and lost_at - began_at > MIN_SURVIVAL_S):
            return
        digest = zlib.crc32(request_id.encode())
        crashed = CrashedRequest(
            digest=digest,
            # Engines keep their names: each loss is one of another incarnation.
            upstream=digest,
            parts=prefix,
            sent_at=sent_at,
            crashed_at=lost_at,
            certain=True,
        )
        now = time.monotonic()
        with self._lock:
            self._book.crashed(crashed)
            for part in (*self._book.failed_trials(now), *self._book.suspects(now)):
                self._book.hold(part, now)
