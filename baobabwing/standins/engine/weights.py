"""Loading of weights into a stand-in engine from the platform's weight store."""

from __future__ import annotations

import time
from http import HTTPStatus
from urllib.parse import quote

import urllib3

from baobabwing.reports.events import log
from baobabwing.standins.events import WEIGHTS_FAILED

__all__ = ["WeightLoader"]

RETRY_DELAY_S = 0.5
REQUEST_TIMEOUT_S = 60.0
_MS = 1000.0


class WeightLoader:
    """Loader that requests a model from the weight store until this succeeds.

    :param platform: URL of the platform; empty to only sleep for ``load_ms``.
    :param load_ms: duration of a load without a platform, in milliseconds.
    """

    def __init__(self, *, platform: str, load_ms: float) -> None:
        self._platform = platform.rstrip("/")
        self._load_ms = load_ms
        self._http = urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT_S)

    def __call__(self, model: str) -> None:
        """Load one model, blocking, and retry without limit."""
        if not self._platform:
            time.sleep(self._load_ms / _MS)
            return
        url = f"{self._platform}/weights/{quote(model, safe='')}"
        while (retry_delay_s := self._request(url)) > 0:
            time.sleep(retry_delay_s)

    def _request(self, url: str) -> float:
        try:
            response = self._http.request("POST", url)
        except urllib3.exceptions.HTTPError as exc:
            log(WEIGHTS_FAILED, error=type(exc).__name__)
            return RETRY_DELAY_S
        if response.status == HTTPStatus.OK:
            return 0.0
        log(WEIGHTS_FAILED, status=response.status)
        return float(response.headers.get("Retry-After", RETRY_DELAY_S))
