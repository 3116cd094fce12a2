"""The records of one upstream and of one permit in use."""

from __future__ import annotations

from collections import deque
from enum import StrEnum

from baobabwing.pools.catalogue import PoolKind, Upstream, UpstreamState
from baobabwing.pools.headroom import reserved_slots
from baobabwing.pools.speeds import LearnedSpeed

__all__ = ["Permit", "Standing", "TrackedUpstream"]

_MAX_SLOWNESS_SAMPLES = 5


class Standing(StrEnum):
    """How much new work an upstream is given.

    ``NORMAL``: up to its capacity. ``EJECTED``: single probes only.
    ``RAMPING``: a share of its capacity that grows in steps.
    """

    NORMAL = "normal"
    EJECTED = "relieved"  # the name in status reports
    RAMPING = "ramping"


class Permit:
    """A permit in use, with the estimates that were made when it was granted.

    ``batch`` is how many requests the upstream runs including this one, and
    ``wait_s`` the expected wait for the prefills before it. Of an orphaned
    permit, whose entry is dead, ``orphaned_until`` is when it is released.
    """

    __slots__ = (
        "attempt",
        "batch",
        "entry",
        "expected_s",
        "granted_at",
        "granted_prefill_tokens_after",
        "key",
        "lower_tier_prefill_s",
        "organisation",
        "orphaned_until",
        "prefill_s",
        "prefix",
        "probe",
        "request_id",
        "tier_rank",
        "uncached_tokens",
        "upstream",
        "wait_s",
    )

    def __init__(
        self,
        *,
        request_id: str,
        entry: str,
        upstream: TrackedUpstream,
        attempt: int,
        granted_at: float,
        key: str = "",
        organisation: str = "",
        tier_rank: int = 0,
        prefix: tuple[int, ...] = (),
    ) -> None:
        self.request_id = request_id
        self.entry = entry
        self.upstream = upstream
        self.attempt = attempt
        self.granted_at = granted_at
        self.key = key
        self.organisation = organisation
        self.tier_rank = tier_rank
        self.prefix = prefix
        self.expected_s = 0.0
        self.uncached_tokens = 0
        self.wait_s = 0.0
        self.prefill_s = 0.0
        self.granted_prefill_tokens_after = 0
        self.lower_tier_prefill_s = 0.0
        self.batch = 1
        self.probe = False
        self.orphaned_until = 0.0


class TrackedUpstream:
    """The state of one upstream.

    :param upstream: its configuration.
    :param kind: kind of its pool.
    :param speed: its learned speed.
    :param generation_speed: the learned speed of its hardware generation.

    ``limit`` is how many requests it may run now, at most its ``capacity``.
    ``free_slots`` is how many more requests it may be given; ``CellState`` keeps
    it up to date. Lower tiers leave ``reserved`` slots free. ``foreign_load`` is
    the number of its requests that this cell did not send, by its last report.
    ``prefill_free_at`` is when its queued prefills are expected to end.
    ``granted_prefill_tokens`` counts the uncached prompt tokens of all requests
    that it was granted; a permit's ``granted_prefill_tokens_after`` is that count
    including its own. ``failures`` counts failures in a row, and
    ``slowness_samples`` holds the time and slowness of its latest answers.
    """

    __slots__ = (
        "address",
        "capacity",
        "ejected_at",
        "failures",
        "foreign_load",
        "foreign_load_until",
        "free_slots",
        "generation",
        "generation_speed",
        "granted_prefill_tokens",
        "is_active",
        "kind",
        "last_done_at",
        "last_event_at",
        "limit",
        "lower_tier_prefill_free_at",
        "name",
        "permits",
        "prefill_free_at",
        "probe_at",
        "probe_delay_s",
        "ramp_at",
        "reported_at",
        "reported_load",
        "reserved",
        "slowness_samples",
        "speed",
        "standing",
    )

    def __init__(
        self,
        *,
        upstream: Upstream,
        kind: PoolKind,
        speed: LearnedSpeed,
        generation_speed: LearnedSpeed,
    ) -> None:
        self.name = upstream.name
        self.speed = speed
        self.generation_speed = generation_speed
        self.permits: dict[str, Permit] = {}
        self.standing = Standing.NORMAL
        self.limit = upstream.capacity
        self.free_slots = 0
        self.prefill_free_at = 0.0
        self.granted_prefill_tokens = 0
        self.lower_tier_prefill_free_at = 0.0
        self.last_done_at = 0.0
        self.last_event_at = 0.0
        self.failures = 0
        self.foreign_load = 0
        self.foreign_load_until = 0.0
        self.reported_load = 0
        self.reported_at = 0.0
        self.ejected_at = 0.0
        self.probe_at = 0.0
        self.probe_delay_s = 0.0
        self.ramp_at = 0.0
        self.slowness_samples: deque[tuple[float, float]] = deque(
            maxlen=_MAX_SLOWNESS_SAMPLES
        )
        self.reconfigure(upstream, kind)

    def reconfigure(self, upstream: Upstream, kind: PoolKind) -> None:
        """Apply a changed configuration and keep the learned speeds."""
        if self.standing is Standing.NORMAL:
            self.limit = upstream.capacity
        self.limit = min(self.limit, upstream.capacity)
        self.address = upstream.address
        self.capacity = upstream.capacity
        self.reserved = reserved_slots(upstream.capacity)
        self.generation = upstream.generation
        self.kind = kind
        self.is_active = upstream.state is UpstreamState.ACTIVE

    def request_s(self, uncached_tokens: int, output_tokens: int, batch: int) -> float:
        """Return the expected run time of a request that starts at once."""
        if self.kind is PoolKind.SERVICE:
            return self.speed.service_s
        return self.speed.request_s(uncached_tokens, output_tokens, batch)
