"""The interface through which orders reach engines, and its HTTP client."""

from __future__ import annotations

import dataclasses
import json
from dataclasses import dataclass
from typing import Any, Protocol

import urllib3
from urllib3.exceptions import HTTPError

from baobabwing.orders.errors import OrderError, OrderRefusedError, StaleFenceError
from baobabwing.pools.catalogue import Upstream

__all__ = ["EngineOrder", "EngineState", "Engines", "HttpEngines"]

DEFAULT_ROLE = "both"
_OK = 200
_CONFLICT = 409
_CLIENT_ERRORS = range(400, 500)
_UNAVAILABLE = 503


@dataclass(frozen=True, kw_only=True)
class EngineOrder:
    """The state that an engine is to be in; repeating an order has no effect.

    :param fence: fencing number of the lease under which the order is given.
    :param order_id: identifies the step of the plan.
    :param models: models that the engine is to hold.
    """

    fence: int
    order_id: str
    models: tuple[str, ...]
    role: str = DEFAULT_ROLE


@dataclass(frozen=True, kw_only=True)
class EngineState:
    """The state that an engine reports.

    :param fence: fencing number of the last order that it accepted.
    :param order_id: identifies that order.
    :param models: models that it was ordered to hold.
    :param loaded: models that it can serve.
    """

    fence: int
    order_id: str
    models: frozenset[str]
    loaded: frozenset[str]
    role: str = DEFAULT_ROLE


class Engines(Protocol):
    """Reads the states of engines and sends orders to them."""

    def state(self, upstream: Upstream) -> EngineState:
        """Read the state of an engine.

        :raises OrderError: if it does not answer.
        """

    def order(self, upstream: Upstream, order: EngineOrder) -> None:
        """Send an order.

        :raises StaleFenceError: if the engine has accepted a higher fencing number.
        :raises OrderRefusedError: if the engine refused the order without effect.
        :raises OrderError: if the effect is unknown.
        """


class HttpEngines:
    """Client of the engines' HTTP interface.

    :param timeout_s: longest wait for a connection and for an answer.
    """

    def __init__(self, *, timeout_s: float) -> None:
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s),
        )

    def state(self, upstream: Upstream) -> EngineState:
        """Read the state of an engine."""
        status, body = self._send("GET", upstream, None)
        if status != _OK:
            raise _engine_error(OrderError, f"status {status}", upstream)
        try:
            return _parse_state(json.loads(body))
        except (ValueError, KeyError, TypeError) as exc:
            raise _engine_error(
                OrderError, "malformed state in the answer", upstream
            ) from exc

    def order(self, upstream: Upstream, order: EngineOrder) -> None:
        """Send an order."""
        body = json.dumps(dataclasses.asdict(order)).encode()
        status, _ = self._send("POST", upstream, body)
        if status == _OK:
            return
        if status == _CONFLICT:
            raise _engine_error(
                StaleFenceError, "engine has a higher fencing number", upstream
            )
        if status in _CLIENT_ERRORS or status == _UNAVAILABLE:
            raise _engine_error(OrderRefusedError, f"status {status}", upstream)
        raise _engine_error(OrderError, f"status {status}", upstream)

    def _send(
        self, method: str, upstream: Upstream, body: bytes | None
    ) -> tuple[int, bytes]:
        try:
            answer = self._pool.request(
                method,
                f"http://{upstream.address}/orders",
                body=body,
                headers={"Content-Type": "application/json"},
                redirect=False,
            )
        except (HTTPError, OSError) as exc:
            raise _engine_error(OrderError, "no answer", upstream) from exc
        return answer.status, answer.data


def _parse_state(document: dict[str, Any]) -> EngineState:
    models = frozenset(document["models"])
    return EngineState(
        fence=int(document["fence"]),
        order_id=str(document["order_id"]),
        models=models,
        loaded=frozenset(document.get("loaded", models)),
        role=str(document.get("role", DEFAULT_ROLE)),
    )


def _engine_error(error_type: type, message: str, upstream: Upstream) -> Exception:
    return error_type(message, step="order", peer=upstream.name)
