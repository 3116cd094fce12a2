"""Client of the platform's list of hosts, which lags behind the fleet."""

from __future__ import annotations

import dataclasses
import json
from dataclasses import dataclass
from enum import StrEnum

from baobabwing.store.http import PlatformHttp, quote

__all__ = ["HostState", "ListedHost", "list_hosts", "register_host"]

_OK = 200
_ACCEPTED = (200, 201, 204)
_JSON = {"Content-Type": "application/json"}


class HostState(StrEnum):
    """State of a host in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class ListedHost:
    """A host in the platform's list; the entry may be outdated.

    :param peer: address for other nodes.
    :param http: address for callers.
    """

    name: str
    zone: str
    region: str
    peer: str
    http: str
    state: HostState = HostState.LIVE


def list_hosts(*, url: str, timeout_s: float) -> tuple[ListedHost, ...]:
    """Read the list of hosts; malformed entries are skipped.

    :raises PlatformUnavailableError: if the platform did not answer.
    """
    http = PlatformHttp(url=url, timeout_s=timeout_s)
    answer = http.send("GET", "/hosts", step="host list")
    if answer.status != _OK:
        raise http.unexpected_answer(f"status {answer.status}", step="host list")
    items = answer.json_object(step="host list", peer=url).get("hosts", [])
    hosts = [_parse_host(item) for item in items]
    return tuple(host for host in hosts if host is not None)


def register_host(host: ListedHost, *, url: str, timeout_s: float) -> None:
    """Write a host's entry; repeating the call has no further effect.

    :raises PlatformUnavailableError: if the write had no effect.
    :raises PlatformUncertainError: if the write may have had effect.
    """
    http = PlatformHttp(url=url, timeout_s=timeout_s)
    answer = http.send(
        "PUT",
        f"/hosts/{quote(host.name)}",
        step="host registration",
        body=json.dumps(dataclasses.asdict(host)).encode(),
        headers=_JSON,
    )
    if answer.status not in _ACCEPTED:
        raise http.unexpected_answer(
            f"status {answer.status}", step="host registration"
        )


def _parse_host(item: object) -> ListedHost | None:
    if not isinstance(item, dict):
        return None
    field_names = [field.name for field in dataclasses.fields(ListedHost)]
    values = {
        name: item[name] for name in field_names if isinstance(item.get(name), str)
    }
    try:
        state = HostState(values.pop("state", HostState.LIVE))
        return ListedHost(state=state, **values)
    except (ValueError, TypeError):
        return None
