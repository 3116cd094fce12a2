"""HTTP routes of the stand-in platform."""

from __future__ import annotations

import time
from dataclasses import asdict
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from baobabwing.exceptions import ConflictError, RequestError
from baobabwing.standins.platform.tables import Insert
from baobabwing.standins.server import Answer, Exchange, Routes, json_answer

if TYPE_CHECKING:
    from baobabwing.standins.platform.application import PlatformApplication

__all__ = ["ROUTES"]

MISSING = "missing"
_MS = 1000.0

ROUTES = Routes()


@ROUTES.add("GET", "/tables/{table}/{key*}")
def _get_row(app: PlatformApplication, exchange: Exchange) -> None:
    def operation() -> Answer:
        row = app.tables.read(**_table_key(exchange), age_s=app.age_s())
        if row is None:
            return json_answer({}, status=HTTPStatus.NOT_FOUND)
        return json_answer({"version": row.version, "value": row.value})

    app.read(exchange, operation)


@ROUTES.add("GET", "/tables/{table}")
def _get_rows(app: PlatformApplication, exchange: Exchange) -> None:
    def operation() -> Answer:
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

    app.read(exchange, operation)


@ROUTES.add("PUT", "/tables/{table}/{key*}")
def _put_row(app: PlatformApplication, exchange: Exchange) -> None:
    value = exchange.json().get("value")
    absent = exchange.header("If-None-Match") == "*"
    base = None if absent else _base_version(exchange)

    def operation() -> Answer:
        try:
            row = app.tables.put(**_table_key(exchange), value=value, base=base)
        except ConflictError as exc:
            return _conflict_answer(exc)
        return json_answer({"version": row.version})

    app.write(exchange, operation)


@ROUTES.add("DELETE", "/tables/{table}/{key*}")
def _delete_row(app: PlatformApplication, exchange: Exchange) -> None:
    base = _base_version(exchange)

    def operation() -> Answer:
        try:
            app.tables.delete(**_table_key(exchange), base=base)
        except ConflictError as exc:
            return _conflict_answer(exc)
        return Answer(status=HTTPStatus.NO_CONTENT)

    app.write(exchange, operation)


@ROUTES.add("POST", "/tables/{table}")
def _insert_rows(app: PlatformApplication, exchange: Exchange) -> None:
    inserts = _parse_inserts(exchange)

    def operation() -> Answer:
        results = app.tables.insert_many(exchange.parameters["table"], inserts)
        return json_answer({"results": [asdict(result) for result in results]})

    app.write(exchange, operation)


@ROUTES.add("GET", "/hosts")
def _get_hosts(app: PlatformApplication, exchange: Exchange) -> None:
    def operation() -> Answer:
        age_s = app.faults.number("lag", app.platform.hosts_lag_ms) / _MS
        hosts = [
            {"name": name, **row.value} for name, row in app.hosts.items("", age_s)
        ]
        return json_answer({"hosts": _apply_list_error(app, hosts)})

    app.read(exchange, operation)


@ROUTES.add("PUT", "/hosts/{name}")
def _put_host(app: PlatformApplication, exchange: Exchange) -> None:
    host = exchange.json()
    host.pop("name", None)

    def operation() -> Answer:
        app.hosts.write(exchange.parameters["name"], host)
        return Answer(status=HTTPStatus.NO_CONTENT)

    app.write(exchange, operation)


@ROUTES.add("DELETE", "/hosts/{name}")
def _delete_host(app: PlatformApplication, exchange: Exchange) -> None:
    def operation() -> Answer:
        app.hosts.write(exchange.parameters["name"], None, deleted=True)
        return Answer(status=HTTPStatus.NO_CONTENT)

    app.write(exchange, operation)


@ROUTES.add("GET", "/objects/{key*}")
def _get_object(app: PlatformApplication, exchange: Exchange) -> None:
    def operation() -> Answer:
        content = app.objects.get(exchange.parameters["key"])
        if content is None:
            return json_answer({}, status=HTTPStatus.NOT_FOUND)
        headers = {"Content-Type": "application/octet-stream"}
        return Answer(body=content, headers=headers)

    app.read(exchange, operation)


@ROUTES.add("PUT", "/objects/{key*}")
def _put_object(app: PlatformApplication, exchange: Exchange) -> None:
    def operation() -> Answer:
        app.objects[exchange.parameters["key"]] = exchange.body
        return json_answer({"size": len(exchange.body)})

    app.write(exchange, operation)


@ROUTES.add("POST", "/weights/{model*}")
def _load_weights(app: PlatformApplication, exchange: Exchange) -> None:
    def operation() -> Answer:
        model = exchange.parameters["model"]
        app.weights.append({"model": model, "at": time.time()})
        time.sleep(app.platform.weight_load_ms / _MS)
        return json_answer({"model": model})

    app.load(exchange, operation)


def _conflict_answer(exc: ConflictError) -> Answer:
    error = {"message": exc.message, "code": "conflict"}
    return json_answer({"error": error}, status=HTTPStatus.PRECONDITION_FAILED)


def _table_key(exchange: Exchange) -> dict[str, str]:
    return {
        "table": exchange.parameters["table"],
        "key": exchange.parameters["key"],
    }


def _base_version(exchange: Exchange) -> int:
    version = exchange.header("If-Match").strip('"')
    if not version.isdigit():
        raise RequestError(
            "If-Match must hold a version",
            status=HTTPStatus.PRECONDITION_REQUIRED,
            code="no_version",
            field="If-Match",
        )
    return int(version)


def _parse_inserts(exchange: Exchange) -> list[Insert]:
    try:
        return [
            Insert(key=str(item["key"]), value=item["value"])
            for item in exchange.json()["inserts"]
        ]
    except (KeyError, TypeError) as exc:
        raise RequestError(
            "not a batch of inserts", status=HTTPStatus.BAD_REQUEST, code="bad_batch"
        ) from exc


def _apply_list_error(
    app: PlatformApplication, hosts: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    order = app.faults.peek("list_error")
    if order is None:
        return hosts
    if order.value in (None, MISSING):
        return [host for host in hosts if host["name"] not in order.names]
    return [
        {**host, "state": order.value} if host["name"] in order.names else host
        for host in hosts
    ]
