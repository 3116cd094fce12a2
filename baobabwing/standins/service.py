"""Stand-in of a plain service, some of whose calls are not idempotent."""

from __future__ import annotations

import threading
import time
import uuid
from collections import Counter
from dataclasses import asdict, dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Any

from baobabwing.standins.application import StandinApplication, not_admitted
from baobabwing.standins.faults import deliver
from baobabwing.standins.load import LoadHistory, LoadSample
from baobabwing.standins.record import Execution
from baobabwing.standins.server import Exchange, Routes, json_answer

__all__ = ["ServiceApplication", "ServiceParameters"]

_MS = 1000.0
_ROUTES = Routes()


@dataclass(frozen=True, kw_only=True)
class ServiceParameters:
    """Speeds and sizes of a stand-in service.

    :param service_ms: duration of one call.
    :param concurrency: calls that run concurrently; further calls are queued.
    :param max_waiting: calls that may be queued; further calls are not admitted.
    :param report_lag_ms: age of the load report.
    """

    service_ms: float = 10.0
    concurrency: int = 8
    max_waiting: int = 128
    report_lag_ms: float = 500.0


class ServiceApplication(StandinApplication):
    """Stand-in service that runs every admitted call, including retries."""

    kind = "service"
    routes = _ROUTES

    def __init__(
        self,
        *,
        name: str,
        service: ServiceParameters,
        record_path: Path | None = None,
    ) -> None:
        super().__init__(name=name, record_path=record_path)
        self.service = service
        self.load = LoadHistory()
        self._lock = threading.Lock()
        self._slots = threading.Semaphore(service.concurrency)
        self._running = 0
        self._waiting = 0
        self._executions: Counter[str] = Counter()

    def parameters(self) -> dict[str, Any]:
        """Return speeds and sizes, from which capacity is computed."""
        return asdict(self.service)

    def admit(self) -> bool:
        """Admit a call; return false if the queue is full."""
        with self._lock:
            if self._waiting >= self.service.max_waiting:
                return False
            self._waiting += 1
            self._record_load()
        return True

    def execute(self, execution: Execution) -> int:
        """Run an admitted call, blocking.

        :returns: number of executions of its idempotency key, including this one.
        """
        execution.started_at = time.time()
        self.record.add(execution)
        self.faults.die_at("admitted")
        with self._slots:
            execution_count = self._start(execution)
            factor = self.faults.number("slow", 1.0)
            time.sleep(self.service.service_ms / _MS * factor)
            self._finish(execution)
        return execution_count

    def _start(self, execution: Execution) -> int:
        with self._lock:
            self._waiting -= 1
            self._running += 1
            self._executions[execution.key] += 1
            execution.state = "running"
            self._record_load()
            return self._executions[execution.key]

    def _finish(self, execution: Execution) -> None:
        with self._lock:
            self._running -= 1
            execution.state = "finished"
            execution.finished_at = time.time()
            self._record_load()
        self.record.write(execution)

    def _record_load(self) -> None:
        self.load.add(
            LoadSample(
                at=time.time(),
                running=self._running,
                waiting=self._waiting,
                waiting_prefill_tokens=0,
            )
        )


@_ROUTES.add("GET", "/load")
def _get_load(app: ServiceApplication, exchange: Exchange) -> None:
    lag_ms = app.faults.number("lag", app.service.report_lag_ms)
    exchange.send(app.load.report(lag_ms))


@_ROUTES.add("*", "{path*}")
def _call(app: ServiceApplication, exchange: Exchange) -> None:
    body = exchange.body.decode("utf-8", "replace")
    if app.faults.consume("refuse"):
        exchange.send(not_admitted("refused by a fault", code="refused"))
        return
    if not app.admit():
        exchange.send(not_admitted("too many calls wait", code="queue_full"))
        return
    execution = Execution(
        attempt=exchange.header("X-Request-Id") or uuid.uuid4().hex,
        key=exchange.header("Idempotency-Key"),
    )
    execution_count = app.execute(execution)
    document = {
        "service": app.name,
        "key": execution.key,
        "execution": execution_count,
        "echo": body,
    }
    status = HTTPStatus.OK
    if app.faults.consume("fail"):
        status = HTTPStatus.INTERNAL_SERVER_ERROR
    answer = json_answer(document, status=status, X_Request_Id=execution.attempt)
    deliver(app.faults, exchange, answer)
