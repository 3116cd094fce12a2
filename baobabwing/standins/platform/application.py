"""Stand-in platform: its components, rate limits and faults."""

from __future__ import annotations

import math
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict
from http import HTTPStatus
from pathlib import Path
from typing import Any

from baobabwing.standins.application import StandinApplication
from baobabwing.standins.faults import deliver
from baobabwing.standins.platform.history import History
from baobabwing.standins.platform.parameters import PlatformParameters
from baobabwing.standins.platform.rates import RateLimit
from baobabwing.standins.platform.routes import ROUTES
from baobabwing.standins.platform.tables import TableService
from baobabwing.standins.server import Answer, Exchange, json_answer

__all__ = ["PlatformApplication"]

BURST_S = 0.25
_MS = 1000.0


class PlatformApplication(StandinApplication):
    """Stand-in platform that keeps all its data in memory."""

    kind = "platform"
    routes = ROUTES

    def __init__(
        self,
        *,
        name: str,
        platform: PlatformParameters,
        record_path: Path | None = None,
    ) -> None:
        super().__init__(name=name, record_path=record_path)
        self.platform = platform
        self.tables = TableService()
        self.hosts = History()
        self.objects: dict[str, bytes] = {}
        self.weights: list[dict[str, Any]] = []
        self._counts: Counter[str] = Counter()
        self._count_lock = threading.Lock()
        self._writes = _rate_limit(platform.writes_per_s)
        self._reads = _rate_limit(platform.reads_per_s)
        self._loads = RateLimit(
            rate=platform.weight_loads_per_s, burst=platform.weight_burst
        )

    def parameters(self) -> dict[str, Any]:
        """Return speeds and limits."""
        return asdict(self.platform)

    def record_document(self, after: int) -> dict[str, Any]:
        """Return the writes and weight loads that took effect and the call counts."""
        return {
            **super().record_document(after),
            "writes": self.tables.writes(after),
            "weights": list(self.weights),
            "counts": dict(self._counts),
        }

    def read(self, exchange: Exchange, operation: Callable[[], Answer]) -> None:
        """Answer a read call, subject to rate limit and faults."""
        if self._admit(exchange, "reads", self._reads.take()):
            deliver(self.faults, exchange, operation())

    def write(self, exchange: Exchange, operation: Callable[[], Answer]) -> None:
        """Answer a write call, subject to rate limit and faults."""
        throttle = self.faults.peek("throttle")
        rate = None if throttle is None else throttle.number(0.0)
        if self._admit(exchange, "writes", self._writes.take(rate)):
            self._answer_write(exchange, operation())

    def load(self, exchange: Exchange, operation: Callable[[], Answer]) -> None:
        """Answer a weight load, subject to rate limit and faults."""
        if self._admit(exchange, "loads", self._loads.take()):
            self._answer_write(exchange, operation())

    def age_s(self) -> float:
        """Return the age in seconds of the table rows that reads return."""
        return self.faults.number("stale", 0.0) / _MS

    def _answer_write(self, exchange: Exchange, answer: Answer) -> None:
        if self.faults.consume("lose_answer"):
            exchange.abort()
        deliver(self.faults, exchange, answer)

    def _admit(self, exchange: Exchange, kind: str, wait_s: float) -> bool:
        # Reads the body first, so that after a refusal the connection is positioned
        # at the start of the next call.
        _ = exchange.body
        down = self.faults.peek("down")
        if down is not None and _applies_to(down.names, exchange):
            self._count(f"{kind}_down")
            exchange.send(_refusal(HTTPStatus.SERVICE_UNAVAILABLE, 1.0))
            return False
        if wait_s > 0:
            self._count(f"{kind}_limited")
            exchange.send(_refusal(HTTPStatus.TOO_MANY_REQUESTS, wait_s))
            return False
        if self.faults.consume("drop_before_effect"):
            exchange.abort()
        self._count(kind)
        slow_ms = self.platform.latency_ms + self.faults.number("slow", 0.0)
        time.sleep(slow_ms / _MS)
        return True

    def _count(self, name: str) -> None:
        with self._count_lock:
            self._counts[name] += 1


def _rate_limit(rate: float) -> RateLimit:
    return RateLimit(rate=rate, burst=max(1.0, rate * BURST_S))


def _applies_to(names: tuple[str, ...], exchange: Exchange) -> bool:
    component = exchange.path.split("/")[1]
    return not names or component in names


def _refusal(status: HTTPStatus, wait_s: float) -> Answer:
    return json_answer(
        {"error": {"message": status.phrase, "code": "no_effect"}},
        status=status,
        Retry_After=str(max(1, math.ceil(wait_s))),
    )
