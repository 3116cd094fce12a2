"""Stand-in engine: its loop, orders and parameters."""

from __future__ import annotations

from dataclasses import asdict
from pathlib import Path
from typing import Any

from baobabwing.standins.application import StandinApplication, not_admitted
from baobabwing.standins.engine.completions import CompletionRequest
from baobabwing.standins.engine.loop import EngineLoop
from baobabwing.standins.engine.orders import OrderKeeper
from baobabwing.standins.engine.parameters import EngineParameters
from baobabwing.standins.engine.routes import ROUTES
from baobabwing.standins.engine.weights import WeightLoader
from baobabwing.standins.server import Answer

__all__ = ["EngineApplication"]


class EngineApplication(StandinApplication):
    """Stand-in engine.

    :param models: models that are loaded from the start.
    :param engine: speeds and sizes.
    :param platform: URL of the platform that provides the weights; empty for none.
    """

    kind = "engine"
    routes = ROUTES

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
        """Return speeds and sizes, from which capacity is computed."""
        return {**asdict(self.engine), "models": self.orders.models()}

    def record_document(self, after: int) -> dict[str, Any]:
        """Return the executions and all orders received."""
        with self.loop.lock:
            document = super().record_document(after)
        return {**document, "orders": self.orders.received()}

    def refusal(self, req: CompletionRequest) -> Answer | None:
        """Return the refusal of a request, or none if the request may be admitted."""
        if self.faults.consume("refuse"):
            return not_admitted("refused by a fault", code="refused")
        if self.orders.leaving:
            return not_admitted("the engine is leaving", code="leaving")
        if not self.orders.serves(req.model):
            return not_admitted("the model is not loaded", code="model_not_loaded")
        return None
