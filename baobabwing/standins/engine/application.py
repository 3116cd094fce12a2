"""The HTTP face of a stand-in engine."""

from __future__ import annotations

import time
import uuid
from dataclasses import asdict
from http import HTTPStatus
from pathlib import Path
from typing import Any

from baobabwing.exceptions import ConflictError, RequestError
from baobabwing.standins.application import StandinApplication, not_admitted
from baobabwing.standins.blocks import prefix_blocks
from baobabwing.standins.engine.completions import (
    CompletionRequest,
    EventWriter,
    new_sequence,
    whole_answer,
)
from baobabwing.standins.engine.loop import EngineLoop
from baobabwing.standins.engine.orders import Order, OrderKeeper
from baobabwing.standins.engine.parameters import EngineParameters
from baobabwing.standins.engine.sequence import Reader, Sequence
from baobabwing.standins.engine.weights import WeightLoader
from baobabwing.standins.faults import deliver
from baobabwing.standins.server import (
    SOCKET_TIMEOUT_S,
    Answer,
    Exchange,
    Routes,
    json_answer,
)

__all__ = ["EngineApplication"]

_MS = 1000.0
_ROUTES = Routes()


class EngineApplication(StandinApplication):
    """A stand-in engine.

    :param models: models that are loaded from the start.
    :param platform: URL of the platform whose weight store is asked, if any.
    """

    kind = "engine"
    routes = _ROUTES

    def __init__(
        self,
        *,
        name: str,
        models: tuple[str, ...],
        engine: EngineParameters,
        platform: str = "",
        record_path: Path | None = None,
    ) -> None:
        super().__init__(name=name, record_path=record_path)
        self.engine = engine
        self.loop = EngineLoop(
            parameters=engine, faults=self.faults, record=self.record
        )
        self.orders = OrderKeeper(
            models=models,
            fencing=engine.fencing,
            load=WeightLoader(platform=platform, load_ms=engine.load_ms),
        )
        self.loop.start()

    def parameters(self) -> dict[str, Any]:
        """Return speeds and sizes, for computing capacity."""
        return {**asdict(self.engine), "models": self.orders.models()}

    def record_document(self, after: int) -> dict[str, Any]:
        """Return what was executed and which orders were received."""
        with self.loop.lock:
            document = super().record_document(after)
        return {**document, "orders": self.orders.received()}

    def refusal(self, req: CompletionRequest) -> Answer | None:
        """Return why a request is not admitted, if it is not."""
        if self.faults.take("refuse"):
            return not_admitted("refused by a fault", code="refused")
        if self.orders.leaving:
            return not_admitted("the engine is leaving", code="leaving")
        if not self.orders.serves(req.model):
            return not_admitted("the model is not loaded", code="model_not_loaded")
        return None


@_ROUTES.add("POST", "/v1/completions")
def _complete(app: EngineApplication, exchange: Exchange) -> None:
    _run(app, exchange, chat=False)


@_ROUTES.add("POST", "/v1/chat/completions")
def _complete_chat(app: EngineApplication, exchange: Exchange) -> None:
    _run(app, exchange, chat=True)


@_ROUTES.add("GET", "/v1/models")
def _get_models(app: EngineApplication, exchange: Exchange) -> None:
    models = [{"id": model, "object": "model"} for model in app.orders.models()]
    exchange.send(json_answer({"object": "list", "data": models}))


@_ROUTES.add("GET", "/v1/streams/{attempt}")
def _resume(app: EngineApplication, exchange: Exchange) -> None:
    seq = app.loop.find(exchange.parameters["attempt"])
    if seq is None:
        raise RequestError(
            "no such stream", status=HTTPStatus.NOT_FOUND, code="unknown_stream"
        )
    _stream(app, exchange, seq, position=_position(exchange))


@_ROUTES.add("DELETE", "/v1/streams/{attempt}")
def _cancel(app: EngineApplication, exchange: Exchange) -> None:
    app.loop.cancel(exchange.parameters["attempt"])
    exchange.send(Answer(status=HTTPStatus.NO_CONTENT))


@_ROUTES.add("GET", "/load")
def _get_load(app: EngineApplication, exchange: Exchange) -> None:
    lag_ms = app.faults.number("lag", app.engine.report_lag_ms)
    exchange.send(app.loop.load.report(lag_ms))


@_ROUTES.add("GET", "/cache-events")
def _get_cache_events(app: EngineApplication, exchange: Exchange) -> None:
    after = exchange.query_number("after")
    lag_ms = app.faults.number("lag", app.engine.cache_event_lag_ms)
    with app.loop.lock:
        app.loop.events.lag_s = lag_ms / _MS
        document = app.loop.events.after(after)
    exchange.send(json_answer(document))


@_ROUTES.add("GET", "/orders")
def _get_orders(app: EngineApplication, exchange: Exchange) -> None:
    exchange.send(json_answer(app.orders.state()))


@_ROUTES.add("POST", "/orders")
def _post_orders(app: EngineApplication, exchange: Exchange) -> None:
    try:
        app.orders.accept(Order.parse(exchange.json()))
    except ConflictError as exc:
        error = {"message": exc.message, "code": "old_fence"}
        document = {"error": error, **app.orders.state()}
        exchange.send(json_answer(document, status=HTTPStatus.CONFLICT))
        return
    deliver(app.faults, exchange, json_answer(app.orders.state()))


@_ROUTES.add("POST", "/kv/export")
def _export(app: EngineApplication, exchange: Exchange) -> None:
    blocks = _blocks(exchange.json())
    with app.loop.lock:
        present = app.loop.cache.present(blocks)
    exchange.send(json_answer({"blocks": present}))


@_ROUTES.add("POST", "/kv/import")
def _import(app: EngineApplication, exchange: Exchange) -> None:
    blocks = _blocks(exchange.json())
    with app.loop.lock:
        app.loop.cache.store(blocks)
        present = app.loop.cache.present(blocks)
    exchange.send(json_answer({"blocks": present}))


def _run(app: EngineApplication, exchange: Exchange, *, chat: bool) -> None:
    req = CompletionRequest.parse(exchange.json(), chat=chat)
    refused = app.refusal(req)
    if refused is not None:
        exchange.send(refused)
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
        _stream(app, exchange, seq)
    else:
        seq.ended.wait()
        _answer_whole(app, exchange, seq)


def _answer_whole(app: EngineApplication, exchange: Exchange, seq: Sequence) -> None:
    if app.faults.take("fail"):
        exchange.send(_failure(seq))
        return
    answer = json_answer(whole_answer(seq), X_Request_Id=seq.attempt)
    deliver(app.faults, exchange, answer)


def _failure(seq: Sequence) -> Answer:
    return json_answer(
        {"error": {"message": "failed by a fault", "code": "failed"}},
        status=HTTPStatus.INTERNAL_SERVER_ERROR,
        X_Request_Id=seq.attempt,
    )


def _stream(
    app: EngineApplication, exchange: Exchange, seq: Sequence, position: int = 0
) -> None:
    cut = app.faults.take("cut_stream_after")
    dropped = app.faults.take("drop_after_effect")
    if dropped:
        seq.ended.wait()
        exchange.cut()
    seq.started.wait()
    app.faults.die_at("answered")
    if app.faults.take("fail"):
        exchange.send(_failure(seq))
        return
    late = app.faults.take("answer_late")
    if late:
        time.sleep(late.number(0.0) / _MS)
    sock = exchange.start_stream(_stream_headers(seq))
    writer = EventWriter(seq=seq)
    sock.setblocking(False)
    reader = Reader(
        sock=sock,
        frame=writer.frame,
        position=position,
        cut_at=int(cut.number(0)) if cut else None,
    )
    app.loop.follow(seq, reader)
    reader.ended.wait()
    reader.finish(SOCKET_TIMEOUT_S)
    if reader.cut or reader.broken or seq.execution.state == "cancelled":
        exchange.cut()
    sock.sendall(writer.last())
    if app.faults.take("answer_twice"):
        _repeat_stream(exchange, seq, writer, position)


def _repeat_stream(
    exchange: Exchange, seq: Sequence, writer: EventWriter, position: int
) -> None:
    sock = exchange.sock
    sock.sendall(b"0\r\n\r\n")
    exchange.restart(_stream_headers(seq))
    if position < seq.produced:
        sock.sendall(writer.frame(position, seq.produced))
    sock.sendall(writer.last())


def _stream_headers(seq: Sequence) -> dict[str, str]:
    return {
        "Content-Type": "text/event-stream",
        "Cache-Control": "no-cache",
        "X-Request-Id": seq.attempt,
        "X-Prompt-Tokens": str(seq.execution.prompt_tokens),
        "X-Cached-Tokens": str(seq.execution.cached_tokens),
    }


def _position(exchange: Exchange) -> int:
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


def _blocks(document: dict[str, Any]) -> tuple[int, ...]:
    if "prompt" in document:
        return prefix_blocks(str(document["prompt"]))
    return tuple(int(block) for block in document.get("blocks", ()))
