"""Notices between nodes that a plain service has refused a request.

They are sent only while the service's pool has a limit on refusals: then all nodes
leave the service for a moment, as if it had refused each of them.
"""

from __future__ import annotations

import time

from baobabwing.gateway.members import Members
from baobabwing.gateway.placement.codec import name_crc
from baobabwing.gateway.placement.gateway_link import GatewayLink
from baobabwing.gateway.placement.messages import UpstreamRefused
from baobabwing.gateway.pool import PoolRuntime
from baobabwing.gateway.state import GatewayState

__all__ = ["RefusalNotices"]

# A node sends no second notice on an upstream within this time; all others hold back.
_MIN_INTERVAL_S = 0.05


class RefusalNotices:
    """Sends this node's notices, and applies those of other nodes.

    :param state: holds the pools.
    :param members: list the other nodes.
    :param link: carries the messages.
    """

    def __init__(
        self, *, state: GatewayState, members: Members, link: GatewayLink
    ) -> None:
        self._state = state
        self._members = members
        self._link = link
        self._sent_at: dict[int, float] = {}
        link.handle(UpstreamRefused, self._handle)

    def send(self, pool: PoolRuntime, upstream: int) -> None:
        """Tell all other nodes that an upstream has refused a request.

        :param upstream: crc of its incarnation.
        """
        per_s = pool.scheduler.refusal_limit.per_s
        now = time.monotonic()
        recent = {
            crc: sent_at
            for crc, sent_at in self._sent_at.items()
            if now - sent_at < _MIN_INTERVAL_S
        }
        if per_s is None or upstream in recent:
            return
        self._sent_at = {**recent, upstream: now}
        notice = UpstreamRefused(
            pool=name_crc(pool.cells.name), upstream=upstream, per_s=per_s
        )
        for host in self._members.others():
            self._link.send(host.work, notice)

    def _handle(self, notice: UpstreamRefused, address: str) -> None:
        for name, pool in self._state.pools.items():
            if name_crc(name) == notice.pool:
                pool.note_refusal(notice.upstream, notice.per_s)
