"""HTTP client for the control API of stand-ins and for probes of nodes."""

from __future__ import annotations

import http.client
import json
from typing import Any

from baobabwing.bench.processes import ProcessError

__all__ = ["answers_ok", "clear_faults", "get_json", "set_fault"]

TIMEOUT_S = 5.0
PROBE_TIMEOUT_S = 1.0
OK_STATUS = 200
NO_CONTENT_STATUS = 204


def answers_ok(address: str, path: str) -> bool:
    """Return whether a GET request is answered with status 200."""
    try:
        return _call(address, "GET", path, timeout_s=PROBE_TIMEOUT_S)[0] == OK_STATUS
    except ProcessError:
        return False


def get_json(address: str, path: str) -> Any:
    """Return the JSON document of the answer to a GET request.

    :raises ProcessError: if there is no answer or its status is not 200.
    """
    status, body = _call(address, "GET", path)
    if status != OK_STATUS:
        raise ProcessError(
            f"GET {path} returned status {status}", step="control", peer=address
        )
    return json.loads(body)


def set_fault(address: str, fault: str, *, value: object = None) -> None:
    """Activate a fault of a stand-in until it is cleared.

    :raises ProcessError: if the stand-in rejects it or does not answer.
    """
    document = json.dumps({"fault": fault, "value": value}).encode()
    status, _ = _call(address, "POST", "/control/faults", body=document)
    if status != NO_CONTENT_STATUS:
        raise ProcessError(
            f"setting fault {fault} returned status {status}",
            step="control",
            peer=address,
        )


def clear_faults(address: str) -> None:
    """Clear all faults of a stand-in.

    :raises ProcessError: if the stand-in does not answer.
    """
    _call(address, "DELETE", "/control/faults")


def _call(
    address: str,
    method: str,
    path: str,
    *,
    body: bytes | None = None,
    timeout_s: float = TIMEOUT_S,
) -> tuple[int, bytes]:
    conn = http.client.HTTPConnection(address, timeout=timeout_s)
    headers = {"Content-Type": "application/json"} if body else {}
    try:
        conn.request(method, path, body=body, headers=headers)
        resp = conn.getresponse()
        return resp.status, resp.read()
    except (OSError, http.client.HTTPException) as exc:
        raise ProcessError(
            f"{method} {path}: {exc!r}", step="control", peer=address
        ) from exc
    finally:
        conn.close()
