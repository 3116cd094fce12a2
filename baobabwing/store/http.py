"""HTTP requests to the platform; errors tell whether a write had an effect."""

from __future__ import annotations

import json
import urllib.parse
from dataclasses import dataclass, field

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from baobabwing.exceptions import (
    PlatformError,
    PlatformUnavailableError,
    PlatformUncertainError,
)

__all__ = ["PlatformAnswer", "PlatformHttp", "quote"]

_MAX_CONNECTIONS = 8
_REFUSED_WITHOUT_EFFECT = (429, 503)
_FIRST_SERVER_ERROR = 500
_BLOCK_BYTES = 65_536
# Configurations are the longest objects; a page of rows is shorter.
_MAX_ANSWER_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, kw_only=True)
class PlatformAnswer:
    """An answer of the platform.

    :param retry_after_s: value of the ``Retry-After`` header; 0 without one.
    """

    status: int
    body: bytes = field(repr=False)
    retry_after_s: float = 0.0

    def json_object(self, *, step: str, peer: str) -> dict:
        """Return the body as a JSON object.

        :raises PlatformError: if the body is not a JSON object.
        """
        try:
            value = json.loads(self.body)
        except (ValueError, RecursionError) as exc:
            raise PlatformError("answer is not JSON", step=step, peer=peer) from exc
        if not isinstance(value, dict):
            raise PlatformError("answer is not a JSON object", step=step, peer=peer)
        return value


class PlatformHttp:
    """Sends requests to one address of the platform over persistent connections.

    :param url: base URL of the platform's HTTP interface.
    :param timeout_s: longest wait for the connection, and for the answer.
    :param returned_statuses: error statuses that :meth:`send` returns instead of
        raising an error.
    """

    def __init__(
        self, *, url: str, timeout_s: float, returned_statuses: tuple[int, ...] = ()
    ) -> None:
        self.url = url.rstrip("/")
        self._returned_statuses = returned_statuses
        self._pool = urllib3.PoolManager(
            maxsize=_MAX_CONNECTIONS,
            retries=False,
            timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s),
        )

    def send(
        self,
        method: str,
        path: str,
        *,
        step: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> PlatformAnswer:
        """Send one request and return the answer; nothing is retried.

        :param step: names the operation in errors.
        :raises PlatformUnavailableError: if the request had no effect.
        :raises PlatformUncertainError: if a write may have had effect.
        """
        is_read = method == "GET"
        try:
            response = self._pool.request(
                method,
                f"{self.url}{path}",
                body=body,
                headers=headers,
                redirect=False,
                preload_content=False,
            )
            data = _read_bounded(response)
        except (NewConnectionError, ConnectTimeoutError) as exc:
            raise self._unavailable("no connection", step) from exc
        except (HTTPError, OSError) as exc:
            if is_read:
                raise self._unavailable("no answer", step) from exc
            # The request was sent but no answer arrived: the write may have taken
            # effect or do so later. Only reading back can show it.
            raise self._uncertain("answer lost", step) from exc
        return self._classify(response, data, is_read=is_read, step=step)

    def _classify(
        self,
        response: urllib3.BaseHTTPResponse,
        data: bytes,
        *,
        is_read: bool,
        step: str,
    ) -> PlatformAnswer:
        status = response.status
        answer = PlatformAnswer(
            status=status,
            body=data,
            retry_after_s=_parse_seconds(response.headers.get("Retry-After", "")),
        )
        if status in self._returned_statuses:
            return answer
        if status in _REFUSED_WITHOUT_EFFECT:
            raise self._unavailable(f"status {status}", step)
        if status >= _FIRST_SERVER_ERROR:
            if is_read:
                raise self._unavailable(f"status {status}", step)
            raise self._uncertain(f"status {status}", step)
        return answer

    def unexpected_answer(self, message: str, *, step: str) -> PlatformError:
        """Return the error for an answer that the caller does not expect."""
        return PlatformError(message, step=step, peer=self.url)

    def _unavailable(self, message: str, step: str) -> PlatformUnavailableError:
        return PlatformUnavailableError(message, step=step, peer=self.url)

    def _uncertain(self, message: str, step: str) -> PlatformUncertainError:
        return PlatformUncertainError(message, step=step, peer=self.url)


def quote(part: str) -> str:
    """Percent-encode a key for use in a path; slashes are kept."""
    return urllib.parse.quote(part, safe="/")


def _read_bounded(response: urllib3.BaseHTTPResponse) -> bytes:
    """Read a whole body; its connection is closed unless that succeeds.

    :raises HTTPError: if the body is cut, or longer than ``_MAX_ANSWER_BYTES``.
    """
    try:
        data = bytearray()
        while len(data) <= _MAX_ANSWER_BYTES:
            block = response.read(_BLOCK_BYTES)
            if not block:
                response.release_conn()
                return bytes(data)
            data += block
        raise HTTPError(f"answer over {_MAX_ANSWER_BYTES} bytes")
    except BaseException:
        response.close()
        raise


def _parse_seconds(text: str) -> float:
    try:
        return max(float(text), 0.0)
    except ValueError:
        return 0.0
