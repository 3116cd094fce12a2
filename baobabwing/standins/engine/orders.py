"""Orders to a stand-in engine: the models to load and the role to take."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass
from http import HTTPStatus
from typing import Any

from baobabwing.exceptions import ConflictError, RequestError

__all__ = ["LEAVING", "Order", "OrderKeeper"]

LEAVING = "leaving"
DEFAULT_ROLE = "both"


@dataclass(frozen=True, kw_only=True)
class Order:
    """The desired state of an engine.

    :param fence: fencing number of the lease under which the order was issued.
    :param order_id: identity of the order, the same for its retries.
    :param models: all models to keep loaded.
    :param role: ``both``, ``prefill``, ``decode`` or ``leaving``.
    """

    fence: int
    order_id: str
    models: tuple[str, ...]
    role: str = DEFAULT_ROLE

    @classmethod
    def parse(cls, document: Mapping[str, Any]) -> Order:
        """Parse the body of a request.

        :raises RequestError: if a field is missing or of another type.
        """
        try:
            return cls(
                fence=int(document["fence"]),
                order_id=str(document["order_id"]),
                models=tuple(str(model) for model in document["models"]),
                role=str(document.get("role", DEFAULT_ROLE)),
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise RequestError(
                "not an order", status=HTTPStatus.BAD_REQUEST, code="bad_order"
            ) from exc


@dataclass(frozen=True, kw_only=True)
class _Received:
    order: Order
    accepted: bool
    at: float


class OrderKeeper:
    """Holder of the order in force and of the set of loaded models.

    :param models: models that are loaded from the start.
    :param fencing: whether orders with an old fencing number are refused.
    :param load: function that loads one model, blocking, and raises nothing.
    """

    def __init__(
        self,
        *,
        models: tuple[str, ...],
        fencing: bool,
        load: Callable[[str], None],
    ) -> None:
        self._fencing = fencing
        self._load = load
        self._lock = threading.Lock()
        self._order = Order(fence=0, order_id="", models=models)
        self._loaded = set(models)
        self._loading: set[str] = set()
        self._received: list[_Received] = []

    @property
    def leaving(self) -> bool:
        """Whether the order in force tells the engine to admit no new requests."""
        return self._order.role == LEAVING

    def serves(self, model: str) -> bool:
        """Return whether a model is loaded and part of the order in force."""
        with self._lock:
            return model in self._loaded and model in self._order.models

    def models(self) -> list[str]:
        """Return the names of the models that are served, sorted."""
        with self._lock:
            return sorted(self._loaded.intersection(self._order.models))

    def state(self) -> dict[str, Any]:
        """Return the order in force with the models loaded and being loaded."""
        with self._lock:
            return {
                **asdict(self._order),
                "loaded": sorted(self._loaded),
                "loading": sorted(self._loading),
            }

    def received(self) -> list[dict[str, Any]]:
        """Return all orders received, including refused ones."""
        with self._lock:
            return [asdict(entry) for entry in self._received]

    def accept(self, order: Order) -> None:
        """Put an order into force and load missing models in background threads.

        :raises ConflictError: if fencing is on and the order's fencing number is
            lower than that of the order in force.
        """
        with self._lock:
            accepted = not self._fencing or order.fence >= self._order.fence
            self._received.append(
                _Received(order=order, accepted=accepted, at=time.time())
            )
            if not accepted:
                raise ConflictError("the fencing number is old", step="order")
            self._order = order
            self._loaded.intersection_update(order.models)
            missing = set(order.models) - self._loaded - self._loading
            self._loading.update(missing)
        for model in sorted(missing):
            self._start_load(model)

    def _start_load(self, model: str) -> None:
        thread = threading.Thread(
            target=self._load_one, args=(model,), name=f"load-{model}", daemon=True
        )
        thread.start()

    def _load_one(self, model: str) -> None:
        self._load(model)
        with self._lock:
            self._loading.discard(model)
            if model in self._order.models:
                self._loaded.add(model)
