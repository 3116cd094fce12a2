"""Settings of one node: fields with their types, ranges and units."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from baobabwing.settings.checker import FieldError, is_address, rule

__all__ = ["MembershipSettings", "NodeLimits", "NodeSettings", "check_node"]

_NAME = re.compile(r"[a-z0-9][a-z0-9-]*")
_URL = re.compile(r"http://[^/\s]+/?")
_ADDRESS_DESCRIPTION = "an IP number and a port, such as 127.0.0.1:8001"
_MINUTE_MS = 60_000
_HOUR_MS = 60 * _MINUTE_MS
_MEGABYTE_BYTES = 1 << 20


def _is_name(text: str) -> bool:
    return _NAME.fullmatch(text) is not None


def _is_platform_url(text: str) -> bool:
    return _URL.fullmatch(text) is not None and is_address(
        text.removeprefix("http://").removesuffix("/")
    )


@dataclass(frozen=True, kw_only=True)
class NodeLimits:
    """Limits on requests of callers and on concurrency.

    :param body_bytes: maximum size of a request body.
    :param header_bytes: maximum size of a request line with its headers.
    :param connections: maximum number of open connections from callers.
    :param worker_threads: threads that serve callers, one per connection.
    :param output_tokens: maximum number of tokens that one request may ask for.
    :param request_ms: maximum time that a request may stay open.
    """

    body_bytes: int = rule(4 * _MEGABYTE_BYTES, least=1024, most=64 * _MEGABYTE_BYTES)
    header_bytes: int = rule(16_384, least=1024, most=_MEGABYTE_BYTES)
    connections: int = rule(2048, least=1, most=65_536)
    worker_threads: int = rule(640, least=1, most=4096)
    output_tokens: int = rule(32_768, least=1, most=1_000_000)
    request_ms: int = rule(600_000, least=100, most=24 * _HOUR_MS)


@dataclass(frozen=True, kw_only=True)
class MembershipSettings:
    """Timing and fan-out of the membership protocol.

    :param probe_interval_ms: time between two probes by one node.
    :param probe_timeout_ms: wait for an answer before other nodes are asked to
        probe indirectly.
    :param suspicion_ms: time that a suspected node has to refute the suspicion.
    :param fan_out: number of nodes asked for an indirect probe, and number of
        nodes that a change is sent to at once.
    :param seeds: addresses of peers to contact besides the platform's host list.
    """

    probe_interval_ms: int = rule(250, least=20, most=_MINUTE_MS)
    probe_timeout_ms: int = rule(200, least=10, most=_MINUTE_MS)
    suspicion_ms: int = rule(700, least=50, most=10 * _MINUTE_MS)
    fan_out: int = rule(3, least=1, most=16)
    seeds: tuple[str, ...] = rule((), check=is_address, words=_ADDRESS_DESCRIPTION)


@dataclass(frozen=True, kw_only=True)
class NodeSettings:
    """Settings that a node reads from its own file.

    :param name: name of the node, unique in the fleet.
    :param region: region of the node; an availability zone belongs to one region.
    :param zone: availability zone of the node.
    :param http: address where callers connect.
    :param peer: address where other nodes connect, over TCP and UDP.
    :param platform_url: base URL of the platform's HTTP interface.
    :param platform_timeout_ms: timeout of requests to the platform.
    :param peer_secrets: secrets shared by all nodes; messages are signed with the
        first and verified with any.
    :param log_level: minimum level of the events that are logged.
    :param open_metrics: whether metrics are served without an operator's token;
        they name all brands.
    :param address_keep_ms: how long callers cache the addresses of nodes.
    :param stop_deadline_ms: maximum duration of a graceful shutdown.
    :param limits: limits on requests of callers and on concurrency.
    :param membership: timing and fan-out of the membership protocol.
    """

    name: str = rule(least=1, most=63, check=_is_name, words="of a-z, 0-9 and -")
    region: str = rule(least=1, most=63, check=_is_name, words="of a-z, 0-9 and -")
    zone: str = rule(least=1, most=63, check=_is_name, words="of a-z, 0-9 and -")
    http: str = rule(check=is_address, words=_ADDRESS_DESCRIPTION)
    peer: str = rule(check=is_address, words=_ADDRESS_DESCRIPTION)
    platform_url: str = rule(
        check=_is_platform_url, words="http:// with an IP number and a port"
    )
    platform_timeout_ms: int = rule(300, least=10, most=_MINUTE_MS)
    peer_secrets: tuple[str, ...] = rule(
        least=16, most=1024, least_items=1, secret=True
    )
    log_level: str = rule("info", choices=("debug", "info", "warning", "error"))
    open_metrics: bool = True
    address_keep_ms: int = rule(5000, least=100, most=_HOUR_MS)
    stop_deadline_ms: int = rule(30_000, least=100, most=_HOUR_MS)
    limits: NodeLimits = field(default_factory=NodeLimits)
    membership: MembershipSettings = field(default_factory=MembershipSettings)


def check_node(cfg: NodeSettings) -> None:
    """Check the constraints between fields.

    :raises FieldError: if two fields contradict each other.
    """
    membership = cfg.membership
    if cfg.http == cfg.peer:
        raise FieldError(
            path="peer", found=cfg.peer, allowed="an address other than that of http"
        )
    if membership.probe_timeout_ms >= membership.probe_interval_ms:
        raise FieldError(
            path="membership.probe_timeout_ms",
            found=str(membership.probe_timeout_ms),
            allowed=f"less than probe_interval_ms, {membership.probe_interval_ms}",
        )
    if cfg.stop_deadline_ms <= cfg.address_keep_ms:
        raise FieldError(
            path="stop_deadline_ms",
            found=str(cfg.stop_deadline_ms),
            allowed=f"more than address_keep_ms, {cfg.address_keep_ms}",
        )
