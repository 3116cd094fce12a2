"""What a request takes of its organisation's limit, from admission to its end."""

from __future__ import annotations

import asyncio
import time

from baobabwing.gateway.accounts import Accounts
from baobabwing.gateway.call import Call
from baobabwing.gateway.decisions.charges import Charge
from baobabwing.gateway.state import GatewayState

__all__ = ["Charging", "charge_request"]


async def charge_request(
    state: GatewayState, name: str, units: float, *, rank: int, places_free: bool
) -> Charge:
    """Charge a request to its organisation, as soon as the window surely has room.

    :param rank: urgency within the organisation's limit.
    :param places_free: whether the request takes a place from nobody.
    """
    quotas = state.quotas
    charge = quotas.admit(
        name, units, time.monotonic(), rank=rank, places_free=places_free
    )
    if not charge.unconfirmed:
        return charge
    try:
        confirmed = await state.confirm_limits()
    except asyncio.CancelledError:
        quotas.give_back_again(name, charge)
        raise
    return quotas.admit_confirmed(name, charge, time.monotonic(), confirmed=confirmed)


class Charging:
    """Charges each send of a request that may run.

    An upstream that fails, and a stream that goes on elsewhere, cost as much work as
    two requests, and operators count them as two.

    :param state: holds the limits.
    :param accounts: counts units by what became of them.
    """

    def __init__(self, *, state: GatewayState, accounts: Accounts) -> None:
        self._state = state
        self._accounts = accounts

    def sending(self, call: Call) -> None:
        """Note that an upstream gets the request now, and may run it."""
        call.runs += 1
        if call.runs > len(call.charges) and call.organisation is not None:
            now = time.monotonic()
            again = self._state.quotas.charge_again(
                call.organisation.name, call.charges[0], now
            )
            call.charges.append(again)
        self._accounts.sent(call)

    def not_run(self, call: Call) -> None:
        """Note that the upstream has turned the request away."""
        call.runs -= 1
        self._accounts.not_run(call)
        if call.organisation is not None and len(call.charges) > max(call.runs, 1):
            self._state.quotas.give_back_again(
                call.organisation.name, call.charges.pop()
            )

    def over(self, call: Call) -> None:
        """Return the units of a request that no upstream has run."""
        if call.organisation is None or call.runs or not call.charges:
            return
        self._state.quotas.give_back(
            call.organisation.name, call.charges.pop(), time.monotonic()
        )
