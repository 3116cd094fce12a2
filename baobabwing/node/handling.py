"""Handles the messages that peers send to a node."""

from __future__ import annotations

import functools

from baobabwing.entry.dispatch import scoped_key
from baobabwing.exceptions import WireError
from baobabwing.homes.backups import PlacementBackups
from baobabwing.homes.cells import CellHomes
from baobabwing.homes.limits import SliceService
from baobabwing.node.spread import ConfigurationSpreader
from baobabwing.requests.registry import RequestRegistry
from baobabwing.wire.messages import (
    ConfigurationAnswer,
    ConfigurationQuery,
    FloorAnswer,
    FloorQuery,
    InflightAnswer,
    InflightItem,
    InflightQuery,
    Message,
    PermitDone,
    PermitRequest,
    PermitWithdraw,
    PlacementNotice,
    SliceAnswer,
    SliceQuery,
    WhereAnswer,
    WhereQuery,
)
from baobabwing.wire.peers import IncomingCall

__all__ = ["PeerHandler", "inflight_of"]


class PeerHandler:
    """Dispatches each message by its type to the component that handles it.

    :param homes: the cells whose home is this node.
    :param backups: placements that other nodes reported, to be found if they die.
    :param slices: the limits of organisations whose home is this node.
    :param registry: the requests of this node.
    :param spreader: answers queries for the configuration.
    """

    def __init__(
        self,
        *,
        homes: CellHomes,
        backups: PlacementBackups,
        slices: SliceService,
        registry: RequestRegistry,
        spreader: ConfigurationSpreader,
    ) -> None:
        self._homes = homes
        self._backups = backups
        self._slices = slices
        self._registry = registry
        self._spreader = spreader

    def handle(self, call: IncomingCall, message: Message) -> Message | None:
        """Handle a message and return its answer, if it has one.

        Called by :class:`baobabwing.wire.peers.PeerServer`.
        """
        return self._handle(message, call)

    @functools.singledispatchmethod
    def _handle(self, message: Message, call: IncomingCall) -> Message | None:
        raise WireError(
            f"unexpected {type(message).__name__}", step="handle", peer=call.identity
        )

    @_handle.register
    def _(self, message: PermitRequest, call: IncomingCall) -> None:
        self._homes.submit(call.identity, message, call.reply, call.frames)

    @_handle.register
    def _(self, message: PermitDone, call: IncomingCall) -> None:
        self._homes.release(message)

    @_handle.register
    def _(self, message: PermitWithdraw, call: IncomingCall) -> None:
        self._homes.withdraw(call.identity, message)

    @_handle.register
    def _(self, message: WhereQuery, call: IncomingCall) -> WhereAnswer:
        answer = self._homes.find_placement(message.key, message.pool)
        return answer if answer.known else self._backups.find(message.key) or answer

    @_handle.register
    def _(self, message: PlacementNotice, call: IncomingCall) -> None:
        self._backups.store(message)

    @_handle.register
    def _(self, message: SliceQuery, call: IncomingCall) -> SliceAnswer:
        return self._slices.lease(call.identity, message)

    @_handle.register
    def _(self, message: FloorQuery, call: IncomingCall) -> FloorAnswer:
        return self._homes.answer_floor_query(message)

    @_handle.register
    def _(self, message: InflightQuery, call: IncomingCall) -> InflightAnswer:
        return inflight_of(self._registry, message.cell)

    @_handle.register
    def _(self, message: ConfigurationQuery, call: IncomingCall) -> ConfigurationAnswer:
        return self._spreader.answer(message)


def inflight_of(registry: RequestRegistry, cell: str) -> InflightAnswer:
    """Return the requests that this node has dispatched to upstreams of a cell."""
    items = [
        InflightItem(
            request_id=request.facts.request_id,
            upstream=placement.upstream,
            key=scoped_key(request.facts.organisation, request.facts.key),
            prompt_tokens=request.facts.prompt_tokens,
            output_tokens=request.facts.output_tokens,
            organisation=request.facts.organisation,
            tier_rank=request.facts.tier_rank,
        )
        for request, placement in registry.permitted_in(cell)
    ]
    return InflightAnswer(items=tuple(items))
