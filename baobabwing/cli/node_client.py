"""The commands' client of a node's status."""

from __future__ import annotations

import json
from typing import Any

import urllib3

from baobabwing.brands.operators import AccessError
from baobabwing.exceptions import PeerError, SettingsError
from baobabwing.settings.checker import is_address

__all__ = ["fetch_status"]

STATUS_PATH = "/v1/status"
TIMEOUT_S = 2.0
_OK = 200
_DENIED = (401, 403)


def fetch_status(address: str, token: str) -> dict[str, Any]:
    """Ask a node for its status.

    :param address: where the node meets callers, an IP number and a port.
    :raises SettingsError: if the address is none.
    :raises AccessError: if the node does not take the token.
    :raises PeerError: if the node does not answer as a node does.
    """
    if not is_address(address):
        raise SettingsError(f"{address!r} is no IP number and port", step="status")
    try:
        with urllib3.PoolManager(retries=False) as pool:
            answer = pool.request(
                "GET",
                f"http://{address}{STATUS_PATH}",
                headers={"Authorization": f"Bearer {token}"},
                timeout=TIMEOUT_S,
                redirect=False,
            )
    except urllib3.exceptions.HTTPError as exc:
        raise PeerError(
            f"no answer: {type(exc).__name__}", step="status", peer=address
        ) from None
    if answer.status in _DENIED:
        raise AccessError("the token is not taken", step="status", peer=address)
    if answer.status != _OK:
        raise PeerError(f"answered {answer.status}", step="status", peer=address)
    try:
        return json.loads(answer.data)
    except ValueError:
        raise PeerError("answered no JSON", step="status", peer=address) from None
