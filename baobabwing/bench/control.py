"""Control calls to stand-ins and probes of nodes."""

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
    """Tell whether a GET is answered with 200."""
    try:
        return _call(address, "GET", path, timeout_s=PROBE_TIMEOUT_S)[0] == OK_STATUS
    except ProcessError:
        return False


def get_json(address: str, path: str) -> Any:
    """Return the JSON that a GET answers.

    :raises ProcessError: if there is no answer, or another status than 200.
    """
    status, body = _call(address, "GET", path)
    if status != OK_STATUS:
        raise ProcessError(f"GET {path} gave {status}", step="control", peer=address)
    return json.loads(body)


def set_fault(address: str, fault: str, *, value: object = None) -> None:
    """Put a fault of a stand-in into force, until it is cleared.

    :raises ProcessError: if the stand-in does not take it.
    """
    document = json.dumps({"fault": fault, "value": value}).encode()
    status, _ = _call(address, "POST", "/control/faults", body=document)
    if status != NO_CONTENT_STATUS:
        raise ProcessError(f"fault {fault} gave {status}", step="control", peer=address)


def clear_faults(address: str) -> None:
    """Take all faults of a stand-in out of force.

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
