"""Keeping lower tiers out while a higher one is refused for load."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["LoadRefusal", "LOAD_REFUSAL_RETENTION_S"]

LOAD_REFUSAL_RETENTION_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadRefusal:
    """The last request that was refused because too much waited before it.

    While one like it would be refused again, no lower tier may be queued:
    its caller would see a lower-tier request admitted right after a higher
    one was refused.

    :param rank: tier of the refused request.
    :param budget_s: time it had until its deadline when it arrived.
    :param service_s: time it would have run.
    :param until: bound on the mark, so that one odd request, due almost at
        once, cannot shut out lower tiers for as long as the cell is busy.
    """

    rank: int
    budget_s: float
    service_s: float
    expires_at: float
