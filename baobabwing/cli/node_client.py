"""HTTP client for the status and configuration endpoints of a node."""

from __future__ import annotations

import json
from typing import Any

import urllib3

from baobabwing.brands.operators import AccessError
from baobabwing.exceptions import PeerError, SettingsError
from baobabwing.settings.checker import is_address
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.documents import dump_configuration

__all__ = ["fetch_status", "hand_over"]

STATUS_PATH = "/v1/status"
CONFIGURATION_PATH = "/v1/configuration"
TIMEOUT_S = 2.0
_OK_STATUS = 200
_DENIED_STATUSES = (401, 403)


def fetch_status(address: str, token: str) -> dict[str, Any]:
    """Return the status document of a node.

    :param address: the node's address for callers, an IP address and a port.
    :param token: the operator's token.
    :raises SettingsError: if the address is invalid.
    :raises AccessError: if the node rejects the token.
    :raises PeerError: if the node does not answer, or not with status 200 and JSON.
    """
    return _call("GET", address, STATUS_PATH, token, step="status")


def hand_over(address: str, token: str, cfg: Configuration) -> int:
    """Send an accepted configuration to a node.

    :param address: the node's address for callers, an IP address and a port.
    :param token: the operator's token.
    :returns: the version that the node holds afterwards.
    :raises SettingsError: if the address is invalid.
    :raises AccessError: if the node rejects the token, or the operator may not send
        configurations.
    :raises PeerError: if the node does not answer, or not with status 200 and JSON.
    """
    body = json.dumps(dump_configuration(cfg))
    answer = _call("POST", address, CONFIGURATION_PATH, token, body, step="hand over")
    return int(answer["held"])


def _call(
    method: str, address: str, path: str, token: str, body: str = "", *, step: str
) -> dict[str, Any]:
    if not is_address(address):
        raise SettingsError(f"{address!r} is not an IP address and port", step=step)
    try:
        with urllib3.PoolManager(retries=False) as pool:
            answer = pool.request(
                method,
                f"http://{address}{path}",
                body=body or None,
                headers={"Authorization": f"Bearer {token}"},
                timeout=TIMEOUT_S,
                redirect=False,
            )
    except urllib3.exceptions.HTTPError as exc:
        raise PeerError(
            f"no answer: {type(exc).__name__}", step=step, peer=address
        ) from None
    if answer.status in _DENIED_STATUSES:
        raise AccessError(
            "the node denied access with this token", step=step, peer=address
        )
    if answer.status != _OK_STATUS:
        raise PeerError(
            f"answered with status {answer.status}", step=step, peer=address
        )
    try:
        return json.loads(answer.data)
    except ValueError:
        raise PeerError(
            "the answer is not valid JSON", step=step, peer=address
        ) from None
