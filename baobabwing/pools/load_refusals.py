"""Records of refusals for load, which close the tiers below."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["LOAD_REFUSAL_RETENTION_S", "LoadRefusal"]

LOAD_REFUSAL_RETENTION_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadRefusal:
    """The last request of a tier that was refused because of too long a queue.

    While a request like it would be refused again, requests of lower tiers are
    refused too. Otherwise callers would see a lower-tier request admitted right
    after a higher one was refused.

    :param rank: tier of the refused request.
    :param budget_s: time from its arrival to its deadline.
    :param service_s: its expected run time.
    :param expires_at: end of the record's validity. Without it one unusual
        request with a very short deadline would close the lower tiers for as
        long as the cell is busy.
    """

    rank: int
    budget_s: float
    service_s: float
    expires_at: float
