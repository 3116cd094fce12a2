"""Permits as an entry asks for them: at the home of the request's cell."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from baobabwing.exceptions import PeerError
from baobabwing.fleet.homes import home_of, ranking
from baobabwing.fleet.host import Host
from baobabwing.fleet.view import FleetView
from baobabwing.homes.backups import PlacementBackups
from baobabwing.homes.cells import NOT_HOME, CellHomes
from baobabwing.homes.events import PERMIT_RETRIED
from baobabwing.pools.partition import cell_resource
from baobabwing.reports.events import log
from baobabwing.wire.messages import (
    Message,
    PermitDecision,
    PermitDone,
    PermitRequest,
    PermitWithdraw,
    PlacementNotice,
    WhereAnswer,
    WhereQuery,
)
from baobabwing.wire.peers import PeerClients

__all__ = ["PermitClient"]

RETRY_DELAY_S = 0.05
POLL_INTERVAL_S = 0.5
WHERE_TIMEOUT_S = 1.0
# Past its deadline a request is refused by the home; this much later the entry
# stops waiting for that word, since the home may be frozen.
DECISION_GRACE_S = 0.5


class PermitClient:
    """Asks for permits, gives them back and withdraws.

    :param me: this node.
    :param homes: the cells of this node, asked without a connection.
    :param backups: what other nodes told this one in case they die.
    """

    def __init__(
        self,
        *,
        me: Host,
        view: Callable[[], FleetView],
        homes: CellHomes,
        peers: PeerClients,
        backups: PlacementBackups,
    ) -> None:
        self._me = me
        self._identity = f"{me.name}#{me.incarnation}"
        self._view = view
        self._homes = homes
        self._peers = peers
        self._backups = backups

    def ask(
        self, message: PermitRequest, *, wanted: Callable[[], bool] = lambda: True
    ) -> PermitDecision:
        """Wait for the decision on a request.

        A home that dies or is frozen is replaced as soon as the view says so;
        asking again is safe, since nothing was dispatched yet.

        :param wanted: asked now and then; once it says false, as when this node
            gives up what it has not dispatched, nothing is waited for any more.
        :raises PeerError: if no home decided before the deadline.
        """
        until = time.monotonic() + message.budget_ms / 1000 + DECISION_GRACE_S
        while True:
            left_s = until - time.monotonic()
            if left_s <= 0 or not wanted():
                raise PeerError("no home decided in time", step="permit")
            decision = self._request_once(message, left_s, wanted)
            if decision is not None and decision.code != NOT_HOME:
                return decision
            log(PERMIT_RETRIED, cell=message.cell, request_id=message.request_id)
            time.sleep(RETRY_DELAY_S)

    def done(self, message: PermitDone) -> None:
        """Give a permit back."""
        self._send_to_home(message.cell, message)

    def withdraw(self, message: PermitWithdraw) -> None:
        """Tell the home that nobody waits for a permit any more."""
        self._send_to_home(message.cell, message)

    def back_up(self, cell: str, key: str, upstream: str, request_id: str) -> None:
        """Tell the next home in line of a dispatch that only this node knows.

        Nothing is waited for: the notice is on its way before the first byte of
        the request, and the death of this process does not call it back.
        """
        order = ranking(self._view(), cell_resource(cell))
        if len(order) < 2 or order[0].name != self._me.name:
            return
        notice = PlacementNotice(key=key, upstream=upstream, request_id=request_id)
        with contextlib.suppress(PeerError):
            self._peers.send(order[1].peer, notice)

    def where(self, cell: str, key: str, pool: str) -> WhereAnswer:
        """Ask where the request with a key was sent: the home, or the next in line.

        The first may have died so lately that this node does not know it yet.

        :raises PeerError: if neither answers.
        """
        order = ranking(self._view(), cell_resource(cell))
        if not order:
            return self._find_local(key, pool)
        try:
            found = self._find_at(order[0], key, pool)
        except PeerError:
            if len(order) < 2:
                raise
            return self._find_at(order[1], key, pool)
        if found.known or len(order) < 2:
            return found
        with contextlib.suppress(PeerError):
            backed_up = self._find_at(order[1], key, pool)
            return backed_up if backed_up.known else found
        return found

    def _find_local(self, key: str, pool: str) -> WhereAnswer:
        found = self._homes.where(key, pool)
        return found if found.known else self._backups.find(key) or found

    def _find_at(self, home: Host, key: str, pool: str) -> WhereAnswer:
        if home.name == self._me.name:
            return self._find_local(key, pool)
        answer = self._peers.ask(
            home.peer, WhereQuery(key=key, pool=pool), timeout_s=WHERE_TIMEOUT_S
        )
        if not isinstance(answer, WhereAnswer):
            raise PeerError("unexpected answer", step="where", peer=home.peer)
        return answer

    def _request_once(
        self, message: PermitRequest, left_s: float, wanted: Callable[[], bool]
    ) -> PermitDecision | None:
        home = self._home(message.cell)
        if home is None:
            return None
        try:
            fut = self._submit(home, message)
            decision = self._wait_for_decision(fut, home, left_s, wanted)
        except PeerError:
            return None
        if decision is None:
            fut.add_done_callback(
                lambda late: self._release_late_grant(home, message, late)
            )
        return decision

    def _submit(self, home: Host, message: PermitRequest) -> Future[Message]:
        if home.name != self._me.name:
            return self._peers.call(home.peer, message)
        fut: Future[Message] = Future()

        def respond(decision: PermitDecision) -> bool:
            fut.set_result(decision)
            return True

        self._homes.submit(self._identity, message, respond)
        return fut

    def _wait_for_decision(
        self,
        fut: Future[Message],
        home: Host,
        left_s: float,
        wanted: Callable[[], bool],
    ) -> PermitDecision | None:
        """Wait for the decision, but no longer than this home is believed alive."""
        until = time.monotonic() + left_s
        while True:
            pause_s = min(POLL_INTERVAL_S, until - time.monotonic())
            if pause_s <= 0 or not wanted():
                return None
            try:
                reply = fut.result(timeout=pause_s)
            except FutureTimeoutError:
                if not self._view().is_current(home.name, home.incarnation):
                    return None
                continue
            return reply if isinstance(reply, PermitDecision) else None

    def _release_late_grant(
        self, home: Host, message: PermitRequest, fut: Future[Message]
    ) -> None:
        """Give back a permit that came after its entry stopped waiting for it.

        A home that was frozen grants when it thaws; nobody would use the place
        or give it back, and the upstream would seem fuller for ever.
        """
        reply = None if fut.exception() else fut.result()
        if isinstance(reply, PermitDecision) and reply.granted:
            unused = PermitDone(
                request_id=message.request_id,
                cell=message.cell,
                upstream=reply.upstream,
                outcome="unused",
            )
            with contextlib.suppress(PeerError):
                self._peers.send(home.peer, unused)

    def _send_to_home(self, cell: str, message: PermitDone | PermitWithdraw) -> None:
        home = self._home(cell)
        if home is None:
            return
        if home.name == self._me.name:
            self._apply_locally(message)
            return
        try:
            self._peers.send(home.peer, message)
        except PeerError:
            # The home has died, and with it the count that this would change;
            # a new home asks the entries what they have at upstreams.
            return

    def _apply_locally(self, message: PermitDone | PermitWithdraw) -> None:
        if isinstance(message, PermitDone):
            self._homes.done(message)
        else:
            self._homes.withdraw(self._identity, message)

    def _home(self, cell: str) -> Host | None:
        return home_of(self._view(), cell_resource(cell))
