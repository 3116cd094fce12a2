"""Plain and streamed answers of a stand-in engine, with the faults in force."""

from __future__ import annotations

import time
from http import HTTPStatus

from baobabwing.standins.engine.completions import EventWriter, completion_document
from baobabwing.standins.engine.loop import EngineLoop
from baobabwing.standins.engine.parameters import MS_PER_S
from baobabwing.standins.engine.sequence import Reader, Sequence
from baobabwing.standins.faults import FaultBoard, deliver
from baobabwing.standins.server import (
    SOCKET_TIMEOUT_S,
    Answer,
    Exchange,
    json_answer,
)

__all__ = ["send_completion", "send_stream"]


def send_completion(faults: FaultBoard, exchange: Exchange, seq: Sequence) -> None:
    """Wait for the end of a sequence and send its whole output as one answer."""
    seq.ended.wait()
    if faults.consume("fail"):
        exchange.send(_failure_answer(seq))
        return
    answer = json_answer(completion_document(seq), X_Request_Id=seq.attempt)
    deliver(faults, exchange, answer)


def _failure_answer(seq: Sequence) -> Answer:
    return json_answer(
        {"error": {"message": "failed by a fault", "code": "failed"}},
        status=HTTPStatus.INTERNAL_SERVER_ERROR,
        X_Request_Id=seq.attempt,
    )


def send_stream(
    faults: FaultBoard,
    loop: EngineLoop,
    exchange: Exchange,
    seq: Sequence,
    position: int = 0,
) -> None:
    """Stream the tokens of a sequence as they are produced.

    :param position: index of the first token to send.
    """
    cut_order = faults.consume("cut_stream_after")
    if faults.consume("drop_after_effect"):
        seq.ended.wait()
        exchange.abort()
    seq.started.wait()
    faults.die_at("answered")
    if faults.consume("fail"):
        exchange.send(_failure_answer(seq))
        return
    delay_order = faults.consume("answer_late")
    if delay_order:
        time.sleep(delay_order.number(0.0) / MS_PER_S)
    sock = exchange.start_stream(_stream_headers(seq))
    writer = EventWriter(seq=seq)
    reader = Reader(
        sock=sock,
        frame=writer.chunk,
        position=position,
        cut_at=int(cut_order.number(0)) if cut_order else None,
    )
    _stream_to_end(loop, seq, reader)
    if reader.cut or reader.broken or seq.execution.state == "cancelled":
        exchange.abort()
    sock.sendall(writer.final_chunk())
    if faults.consume("answer_twice"):
        _repeat_stream(exchange, seq, writer, position)


def _stream_to_end(loop: EngineLoop, seq: Sequence, reader: Reader) -> None:
    reader.start()
    loop.follow(seq, reader)
    reader.ended.wait()
    reader.finish(SOCKET_TIMEOUT_S)


def _repeat_stream(
    exchange: Exchange, seq: Sequence, writer: EventWriter, position: int
) -> None:
    sock = exchange.sock
    sock.sendall(b"0\r\n\r\n")
    exchange.restart_stream(_stream_headers(seq))
    if position < seq.produced:
        sock.sendall(writer.chunk(position, seq.produced))
    sock.sendall(writer.final_chunk())


def _stream_headers(seq: Sequence) -> dict[str, str]:
    return {
        "Content-Type": "text/event-stream",
        "Cache-Control": "no-cache",
        "X-Request-Id": seq.attempt,
        "X-Prompt-Tokens": str(seq.execution.prompt_tokens),
        "X-Cached-Tokens": str(seq.execution.cached_tokens),
    }
