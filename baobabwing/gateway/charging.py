"""Charges of requests to their organisations' limits, from admission to the end."""

from __future__ import annotations

import asyncio
import time

from baobabwing.gateway.call import Call
from baobabwing.gateway.decisions.charges import Charge
from baobabwing.gateway.request_recorder import RequestRecorder
from baobabwing.gateway.state import GatewayState

__all__ = ["Charging", "charge_request"]


async def charge_request(
    state: GatewayState, name: str, units: float, *, rank: int, slot_free: bool
) -> Charge:
    """Charge a request to its organisation.

    Where the window may be used up, this waits until the aggregators have acknowledged
    this node's usage, and decides then.

    :param name: of the organisation.
    :param rank: urgency within the organisation's limit.
    :param slot_free: whether the pool has a free slot and no request waits for it.
    :returns: the charge; it says whether the request is admitted.
    """
    quotas = state.quotas
    charge = quotas.admit(name, units, time.monotonic(), rank=rank, slot_free=slot_free)
    if not charge.unacknowledged:
        return charge
    try:
        acknowledged = await state.confirm_limits()
    except asyncio.CancelledError:
        quotas.refund_units(name, charge)
        raise
    return quotas.admit_acknowledged(
        name, charge, time.monotonic(), acknowledged=acknowledged
    )


class Charging:
    """Charges each send of a request to an upstream that may run it.

    A request that is retried after an upstream's failure, or whose stream is resumed at
    another upstream, costs as much work as two requests, and operators count it as two.

    :param state: holds the limits.
    :param recorder: counts units by the outcome of their requests.
    """

    def __init__(self, *, state: GatewayState, recorder: RequestRecorder) -> None:
        self._state = state
        self._recorder = recorder

    def sending(self, call: Call) -> None:
        """Charge a send to an upstream, which may run the request from now on."""
        call.runs += 1
        if call.runs > len(call.charges) and call.organisation is not None:
            now = time.monotonic()
            charge = self._state.quotas.charge_retry(
                call.organisation.name, call.charges[0], now
            )
            call.charges.append(charge)
        self._recorder.sent(call)

    def not_run(self, call: Call) -> None:
        """Refund the last send, as the upstream has refused the request."""
        call.runs -= 1
        self._recorder.not_run(call)
        if call.organisation is not None and len(call.charges) > max(call.runs, 1):
            self._state.quotas.refund_units(call.organisation.name, call.charges.pop())

    def over(self, call: Call) -> None:
        """Refund the units of a request that has ended and that no upstream has run."""
        if call.organisation is None or call.runs or not call.charges:
            return
        self._state.quotas.refund(
            call.organisation.name, call.charges.pop(), time.monotonic()
        )
