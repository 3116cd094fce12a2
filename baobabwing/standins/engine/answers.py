"""Answers of a stand-in engine, whole or streamed, with the faults in force."""

from __future__ import annotations

import time
from http import HTTPStatus

from baobabwing.standins.engine.completions import EventWriter, whole_answer
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

__all__ = ["answer_stream", "answer_whole"]


def answer_whole(faults: FaultBoard, exchange: Exchange, seq: Sequence) -> None:
    """Answer with the whole output, once it is there."""
    seq.ended.wait()
    if faults.take("fail"):
        exchange.send(_failure(seq))
        return
    answer = json_answer(whole_answer(seq), X_Request_Id=seq.attempt)
    deliver(faults, exchange, answer)


def _failure(seq: Sequence) -> Answer:
    return json_answer(
        {"error": {"message": "failed by a fault", "code": "failed"}},
        status=HTTPStatus.INTERNAL_SERVER_ERROR,
        X_Request_Id=seq.attempt,
    )


def answer_stream(
    faults: FaultBoard,
    loop: EngineLoop,
    exchange: Exchange,
    seq: Sequence,
    position: int = 0,
) -> None:
    """Answer with the tokens as they are made.

    :param position: first token to be sent.
    """
    cut = faults.take("cut_stream_after")
    if faults.take("drop_after_effect"):
        seq.ended.wait()
        exchange.cut()
    seq.started.wait()
    faults.die_at("answered")
    if faults.take("fail"):
        exchange.send(_failure(seq))
        return
    late = faults.take("answer_late")
    if late:
        time.sleep(late.number(0.0) / MS_PER_S)
    sock = exchange.start_stream(_stream_headers(seq))
    writer = EventWriter(seq=seq)
    reader = Reader(
        sock=sock,
        frame=writer.frame,
        position=position,
        cut_at=int(cut.number(0)) if cut else None,
    )
    _read_to_end(loop, seq, reader)
    if reader.cut or reader.broken or seq.execution.state == "cancelled":
        exchange.cut()
    sock.sendall(writer.last())
    if faults.take("answer_twice"):
        _repeat_stream(exchange, seq, writer, position)


def _read_to_end(loop: EngineLoop, seq: Sequence, reader: Reader) -> None:
    reader.start()
    loop.follow(seq, reader)
    reader.ended.wait()
    reader.finish(SOCKET_TIMEOUT_S)


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
