"""The HTTP face of the stand-in platform."""

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

from baobabwing.exceptions import ConflictError, RequestError
from baobabwing.standins.application import StandinApplication
from baobabwing.standins.faults import deliver
from baobabwing.standins.platform.history import History
from baobabwing.standins.platform.parameters import PlatformParameters
from baobabwing.standins.platform.rates import RateLimit
from baobabwing.standins.platform.tables import Insert, TableService
from baobabwing.standins.server import Answer, Exchange, Routes, json_answer

__all__ = ["PlatformApplication"]

BURST_S = 0.25
MISSING = "missing"
_MS = 1000.0
_ROUTES = Routes()


class PlatformApplication(StandinApplication):
    """A stand-in platform; it keeps everything in memory."""

    kind = "platform"
    routes = _ROUTES

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
        self._writes = _limit(platform.writes_per_s)
        self._reads = _limit(platform.reads_per_s)
        self._loads = RateLimit(
            rate=platform.weight_loads_per_s, burst=platform.weight_burst
        )

    def parameters(self) -> dict[str, Any]:
        """Return speeds and limits."""
        return asdict(self.platform)

    def record_document(self, after: int) -> dict[str, Any]:
        """Return the writes and loads that took effect and counts of all calls."""
        return {
            **super().record_document(after),
            "writes": self.tables.writes(after),
            "weights": list(self.weights),
            "counts": dict(self._counts),
        }

    def read(self, exchange: Exchange, effect: Callable[[], Answer]) -> None:
        """Answer a call that changes nothing."""
        if self._enter(exchange, "reads", self._reads.take()):
            deliver(self.faults, exchange, effect())

    def write(self, exchange: Exchange, effect: Callable[[], Answer]) -> None:
        """Answer a call that changes something."""
        throttle = self.faults.look("throttle")
        rate = None if throttle is None else throttle.number(0.0)
        if self._enter(exchange, "writes", self._writes.take(rate)):
            self._conclude(exchange, effect())

    def load(self, exchange: Exchange, effect: Callable[[], Answer]) -> None:
        """Answer a call for weights."""
        if self._enter(exchange, "loads", self._loads.take()):
            self._conclude(exchange, effect())

    def age_s(self) -> float:
        """Return how old the rows are that a read sees, in seconds."""
        return self.faults.number("stale", 0.0) / _MS

    def _conclude(self, exchange: Exchange, answer: Answer) -> None:
        if self.faults.take("lose_answer"):
            exchange.cut()
        deliver(self.faults, exchange, answer)

    def _enter(self, exchange: Exchange, kind: str, wait_s: float) -> bool:
        # Take in the body first: a call that is refused must leave the
        # connection at the start of the next one.
        _ = exchange.body
        down = self.faults.look("down")
        if down is not None and _concerns(down.names, exchange):
            self._count(f"{kind}_down")
            exchange.send(_refusal(HTTPStatus.SERVICE_UNAVAILABLE, 1.0))
            return False
        if wait_s > 0:
            self._count(f"{kind}_limited")
            exchange.send(_refusal(HTTPStatus.TOO_MANY_REQUESTS, wait_s))
            return False
        if self.faults.take("drop_before_effect"):
            exchange.cut()
        self._count(kind)
        slow_ms = self.platform.latency_ms + self.faults.number("slow", 0.0)
        time.sleep(slow_ms / _MS)
        return True

    def _count(self, name: str) -> None:
        with self._count_lock:
            self._counts[name] += 1


@_ROUTES.add("GET", "/tables/{table}/{key*}")
def _get_row(app: PlatformApplication, exchange: Exchange) -> None:
    def effect() -> Answer:
        row = app.tables.read(**_table_key(exchange), age_s=app.age_s())
        if row is None:
            return json_answer({}, status=HTTPStatus.NOT_FOUND)
        return json_answer({"version": row.version, "value": row.value})

    app.read(exchange, effect)


@_ROUTES.add("GET", "/tables/{table}")
def _get_rows(app: PlatformApplication, exchange: Exchange) -> None:
    def effect() -> Answer:
        rows = app.tables.items(
            exchange.parameters["table"],
            exchange.query.get("prefix", ""),
            age_s=app.age_s(),
        )
        items = [
            {"key": key, "version": row.version, "value": row.value}
            for key, row in rows
        ]
        return json_answer({"items": items})

    app.read(exchange, effect)


@_ROUTES.add("PUT", "/tables/{table}/{key*}")
def _put_row(app: PlatformApplication, exchange: Exchange) -> None:
    value = exchange.json().get("value")
    absent = exchange.header("If-None-Match") == "*"
    base = None if absent else _base(exchange)

    def effect() -> Answer:
        try:
            row = app.tables.put(**_table_key(exchange), value=value, base=base)
        except ConflictError as exc:
            return _conflict(exc)
        return json_answer({"version": row.version})

    app.write(exchange, effect)


@_ROUTES.add("DELETE", "/tables/{table}/{key*}")
def _delete_row(app: PlatformApplication, exchange: Exchange) -> None:
    base = _base(exchange)

    def effect() -> Answer:
        try:
            app.tables.delete(**_table_key(exchange), base=base)
        except ConflictError as exc:
            return _conflict(exc)
        return Answer(status=HTTPStatus.NO_CONTENT)

    app.write(exchange, effect)


@_ROUTES.add("POST", "/tables/{table}")
def _insert_rows(app: PlatformApplication, exchange: Exchange) -> None:
    inserts = _inserts(exchange)

    def effect() -> Answer:
        results = app.tables.insert_many(exchange.parameters["table"], inserts)
        return json_answer({"results": [asdict(each) for each in results]})

    app.write(exchange, effect)


@_ROUTES.add("GET", "/hosts")
def _get_hosts(app: PlatformApplication, exchange: Exchange) -> None:
    def effect() -> Answer:
        age_s = app.faults.number("lag", app.platform.hosts_lag_ms) / _MS
        hosts = [
            {"name": name, **row.value} for name, row in app.hosts.items("", age_s)
        ]
        return json_answer({"hosts": _with_errors(app, hosts)})

    app.read(exchange, effect)


@_ROUTES.add("PUT", "/hosts/{name}")
def _put_host(app: PlatformApplication, exchange: Exchange) -> None:
    host = exchange.json()
    host.pop("name", None)

    def effect() -> Answer:
        app.hosts.write(exchange.parameters["name"], host)
        return Answer(status=HTTPStatus.NO_CONTENT)

    app.write(exchange, effect)


@_ROUTES.add("DELETE", "/hosts/{name}")
def _delete_host(app: PlatformApplication, exchange: Exchange) -> None:
    def effect() -> Answer:
        app.hosts.write(exchange.parameters["name"], None, deleted=True)
        return Answer(status=HTTPStatus.NO_CONTENT)

    app.write(exchange, effect)


@_ROUTES.add("GET", "/objects/{key*}")
def _get_object(app: PlatformApplication, exchange: Exchange) -> None:
    def effect() -> Answer:
        content = app.objects.get(exchange.parameters["key"])
        if content is None:
            return json_answer({}, status=HTTPStatus.NOT_FOUND)
        headers = {"Content-Type": "application/octet-stream"}
        return Answer(body=content, headers=headers)

    app.read(exchange, effect)


@_ROUTES.add("PUT", "/objects/{key*}")
def _put_object(app: PlatformApplication, exchange: Exchange) -> None:
    def effect() -> Answer:
        app.objects[exchange.parameters["key"]] = exchange.body
        return json_answer({"size": len(exchange.body)})

    app.write(exchange, effect)


@_ROUTES.add("POST", "/weights/{model*}")
def _load_weights(app: PlatformApplication, exchange: Exchange) -> None:
    def effect() -> Answer:
        model = exchange.parameters["model"]
        app.weights.append({"model": model, "at": time.time()})
        time.sleep(app.platform.weight_load_ms / _MS)
        return json_answer({"model": model})

    app.load(exchange, effect)


def _limit(rate: float) -> RateLimit:
    return RateLimit(rate=rate, burst=max(1.0, rate * BURST_S))


def _concerns(names: tuple[str, ...], exchange: Exchange) -> bool:
    part = exchange.path.split("/")[1]
    return not names or part in names


def _refusal(status: HTTPStatus, wait_s: float) -> Answer:
    return json_answer(
        {"error": {"message": status.phrase, "code": "no_effect"}},
        status=status,
        Retry_After=str(max(1, math.ceil(wait_s))),
    )


def _conflict(exc: ConflictError) -> Answer:
    error = {"message": exc.message, "code": "conflict"}
    return json_answer({"error": error}, status=HTTPStatus.PRECONDITION_FAILED)


def _table_key(exchange: Exchange) -> dict[str, str]:
    return {
        "table": exchange.parameters["table"],
        "key": exchange.parameters["key"],
    }


def _base(exchange: Exchange) -> int:
    version = exchange.header("If-Match").strip('"')
    if not version.isdigit():
        raise RequestError(
            "If-Match must hold a version",
            status=HTTPStatus.PRECONDITION_REQUIRED,
            code="no_version",
            field="If-Match",
        )
    return int(version)


def _inserts(exchange: Exchange) -> list[Insert]:
    try:
        return [
            Insert(key=str(each["key"]), value=each["value"])
            for each in exchange.json()["inserts"]
        ]
    except (KeyError, TypeError) as exc:
        raise RequestError(
            "not a batch of inserts", status=HTTPStatus.BAD_REQUEST, code="bad_batch"
        ) from exc


def _with_errors(
    app: PlatformApplication, hosts: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    order = app.faults.look("list_error")
    if order is None:
        return hosts
    if order.value in (None, MISSING):
        return [host for host in hosts if host["name"] not in order.names]
    return [
        {**host, "state": order.value} if host["name"] in order.names else host
        for host in hosts
    ]
