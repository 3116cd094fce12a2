"""Base class of the stand-ins: faults, the record and the control calls."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import asdict
from http import HTTPStatus
from pathlib import Path
from typing import Any, ClassVar

from baobabwing.exceptions import RequestError
from baobabwing.standins.faults import FaultBoard, FaultOrder, fault_kinds
from baobabwing.standins.record import Record
from baobabwing.standins.server import Answer, Exchange, Routes, json_answer

__all__ = ["StandinApplication", "not_admitted"]

_CONTROL = Routes()


def not_admitted(message: str, *, code: str, retry_after_s: int = 1) -> Answer:
    """Return a refusal whose header states that the request was not run."""
    return json_answer(
        {"error": {"message": message, "code": code, "type": "not_admitted"}},
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        X_Not_Admitted="1",
        Retry_After=str(retry_after_s),
    )


class StandinApplication(ABC):
    """Stand-in that handles control calls and routes all others to its subclass.

    :param name: name of the stand-in.
    :param record_path: file to which the record is also written, if any.
    """

    kind: ClassVar[str]
    routes: ClassVar[Routes]

    def __init__(self, *, name: str, record_path: Path | None = None) -> None:
        self.name = name
        self.faults = FaultBoard(kind=self.kind)
        self.record = Record(path=record_path)

    @abstractmethod
    def parameters(self) -> dict[str, Any]:
        """Return speeds and sizes, from which capacity is computed."""

    def record_document(self, after: int) -> dict[str, Any]:
        """Return the record's executions from a position on."""
        return {"executions": self.record.executions(after)}

    def handle(self, exchange: Exchange) -> None:
        """Answer one request, a control call or one of the subclass's routes."""
        control = _CONTROL.find(exchange)
        if control is not None:
            control(self, exchange)
            return
        self._abort_if_peer_cut(exchange)
        self.faults.wait_while_frozen()
        self.faults.die_at("received")
        handler = self.routes.find(exchange)
        if handler is None:
            raise RequestError(
                f"no {exchange.method} {exchange.path}",
                status=HTTPStatus.NOT_FOUND,
                code="not_found",
            )
        handler(self, exchange)

    def _abort_if_peer_cut(self, exchange: Exchange) -> None:
        order = self.faults.peek("cut_peer")
        if order is not None and exchange.peer in order.names:
            exchange.abort()


@_CONTROL.add("GET", "/control/record")
def _get_record(app: StandinApplication, exchange: Exchange) -> None:
    after = exchange.query_number("after")
    exchange.send(json_answer(app.record_document(after)))


@_CONTROL.add("GET", "/control/parameters")
def _get_parameters(app: StandinApplication, exchange: Exchange) -> None:
    document = {"kind": app.kind, "name": app.name, **app.parameters()}
    exchange.send(json_answer(document))


@_CONTROL.add("GET", "/control/faults")
def _get_faults(app: StandinApplication, exchange: Exchange) -> None:
    known = {
        kind.name: kind.meaning for kind in fault_kinds() if kind.applies_to(app.kind)
    }
    active = [asdict(order) for order in app.faults.active()]
    exchange.send(json_answer({"active": active, "known": known}))


@_CONTROL.add("POST", "/control/faults")
def _post_faults(app: StandinApplication, exchange: Exchange) -> None:
    order = FaultOrder.parse(exchange.json())
    app.faults.set(order)
    exchange.send(Answer(status=HTTPStatus.NO_CONTENT))


@_CONTROL.add("DELETE", "/control/faults")
def _delete_faults(app: StandinApplication, exchange: Exchange) -> None:
    app.faults.clear()
    exchange.send(Answer(status=HTTPStatus.NO_CONTENT))
