"""HTTP routes of a stand-in engine."""

from __future__ import annotations

import uuid
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from baobabwing.exceptions import ConflictError, RequestError
from baobabwing.standins.application import not_admitted
from baobabwing.standins.blocks import prefix_blocks
from baobabwing.standins.engine.answers import send_completion, send_stream
from baobabwing.standins.engine.completions import CompletionRequest, new_sequence
from baobabwing.standins.engine.orders import Order
from baobabwing.standins.engine.parameters import MS_PER_S
from baobabwing.standins.faults import deliver
from baobabwing.standins.server import Answer, Exchange, Routes, json_answer

if TYPE_CHECKING:
    from baobabwing.standins.engine.application import EngineApplication

__all__ = ["ROUTES"]

ROUTES = Routes()


@ROUTES.add("POST", "/v1/completions")
def _complete(app: EngineApplication, exchange: Exchange) -> None:
    _run_completion(app, exchange, chat=False)


@ROUTES.add("POST", "/v1/chat/completions")
def _complete_chat(app: EngineApplication, exchange: Exchange) -> None:
    _run_completion(app, exchange, chat=True)


@ROUTES.add("GET", "/v1/models")
def _get_models(app: EngineApplication, exchange: Exchange) -> None:
    models = [{"id": model, "object": "model"} for model in app.orders.models()]
    exchange.send(json_answer({"object": "list", "data": models}))


@ROUTES.add("GET", "/v1/streams/{attempt}")
def _resume(app: EngineApplication, exchange: Exchange) -> None:
    seq = app.loop.find(exchange.parameters["attempt"])
    if seq is None:
        raise RequestError(
            "no such stream", status=HTTPStatus.NOT_FOUND, code="unknown_stream"
        )
    send_stream(
        app.faults, app.loop, exchange, seq, position=_resume_position(exchange)
    )


@ROUTES.add("DELETE", "/v1/streams/{attempt}")
def _cancel(app: EngineApplication, exchange: Exchange) -> None:
    app.loop.cancel(exchange.parameters["attempt"])
    exchange.send(Answer(status=HTTPStatus.NO_CONTENT))


@ROUTES.add("GET", "/load")
def _get_load(app: EngineApplication, exchange: Exchange) -> None:
    lag_ms = app.faults.number("lag", app.engine.report_lag_ms)
    exchange.send(app.loop.load.report(lag_ms))


@ROUTES.add("GET", "/cache-events")
def _get_cache_events(app: EngineApplication, exchange: Exchange) -> None:
    after = exchange.query_number("after")
    lag_ms = app.faults.number("lag", app.engine.cache_event_lag_ms)
    with app.loop.lock:
        app.loop.events.lag_s = lag_ms / MS_PER_S
        document = app.loop.events.after(after)
    exchange.send(json_answer(document))


@ROUTES.add("GET", "/orders")
def _get_orders(app: EngineApplication, exchange: Exchange) -> None:
    exchange.send(json_answer(app.orders.state()))


@ROUTES.add("POST", "/orders")
def _post_orders(app: EngineApplication, exchange: Exchange) -> None:
    try:
        app.orders.accept(Order.parse(exchange.json()))
    except ConflictError as exc:
        error = {"message": exc.message, "code": "old_fence"}
        document = {"error": error, **app.orders.state()}
        exchange.send(json_answer(document, status=HTTPStatus.CONFLICT))
        return
    deliver(app.faults, exchange, json_answer(app.orders.state()))


@ROUTES.add("POST", "/kv/export")
def _export(app: EngineApplication, exchange: Exchange) -> None:
    blocks = _parse_blocks(exchange.json())
    with app.loop.lock:
        present = app.loop.cache.present(blocks)
    exchange.send(json_answer({"blocks": present}))


@ROUTES.add("POST", "/kv/import")
def _import(app: EngineApplication, exchange: Exchange) -> None:
    blocks = _parse_blocks(exchange.json())
    with app.loop.lock:
        app.loop.cache.store(blocks)
        present = app.loop.cache.present(blocks)
    exchange.send(json_answer({"blocks": present}))


def _run_completion(app: EngineApplication, exchange: Exchange, *, chat: bool) -> None:
    req = CompletionRequest.parse(exchange.json(), chat=chat)
    refusal = app.refusal(req)
    if refusal is not None:
        exchange.send(refusal)
        return
    seq = new_sequence(
        req,
        attempt=exchange.header("X-Request-Id") or uuid.uuid4().hex,
        key=exchange.header("Idempotency-Key"),
        limits=app.engine,
    )
    if not app.loop.admit(seq):
        exchange.send(not_admitted("too many requests wait", code="queue_full"))
        return
    app.faults.die_at("admitted")
    if req.stream:
        send_stream(app.faults, app.loop, exchange, seq)
    else:
        send_completion(app.faults, exchange, seq)


def _resume_position(exchange: Exchange) -> int:
    last = exchange.header("Last-Event-ID")
    if not last:
        return 0
    if not last.isdigit():
        raise RequestError(
            "Last-Event-ID is not a number",
            status=HTTPStatus.BAD_REQUEST,
            code="bad_field",
            field="Last-Event-ID",
        )
    return int(last) + 1


def _parse_blocks(document: dict[str, Any]) -> tuple[int, ...]:
    if "prompt" in document:
        return prefix_blocks(str(document["prompt"]))
    return tuple(int(block) for block in document.get("blocks", ()))
