"""Loading weights into a stand-in engine from the platform's weight store."""

from __future__ import annotations

import time
from http import HTTPStatus
from urllib.parse import quote

import urllib3

from baobabwing.reports.events import log
from baobabwing.standins.events import WEIGHTS_FAILED

__all__ = ["WeightLoader"]

RETRY_S = 0.5
TIMEOUT_S = 60.0
_MS = 1000.0


class WeightLoader:
    """Asks the weight store for a model until it gets it.

    :param platform: URL of the platform; empty for a load that only takes time.
    :param load_ms: how long a load takes without a platform.
    """

    def __init__(self, *, platform: str, load_ms: float) -> None:
        self._platform = platform.rstrip("/")
        self._load_ms = load_ms
        self._http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)

    def __call__(self, model: str) -> None:
        """Load one model, however often it takes."""
        if not self._platform:
            time.sleep(self._load_ms / _MS)
            return
        url = f"{self._platform}/weights/{quote(model, safe='')}"
        while (pause_s := self._ask(url)) > 0:
            time.sleep(pause_s)

    def _ask(self, url: str) -> float:
        try:
            answer = self._http.request("POST", url)
        except urllib3.exceptions.HTTPError as exc:
            log(WEIGHTS_FAILED, error=type(exc).__name__)
            return RETRY_S
        if answer.status == HTTPStatus.OK:
            return 0.0
        log(WEIGHTS_FAILED, status=answer.status)
        return float(answer.headers.get("Retry-After", RETRY_S))
