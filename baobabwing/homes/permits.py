"""Client side of permits: an entry requests them from the home of a cell."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from baobabwing.exceptions import PeerError
from baobabwing.fleet.homes import home_of, home_ranking
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
# The home refuses a request that is past its deadline. The entry waits this much
# longer for the refusal and no more, since the home may be unresponsive.
DECISION_GRACE_S = 0.5


class PermitClient:
    """Requests and releases permits and looks up placements at cell homes.

    :param me: this node.
    :param view: returns the current view of the fleet.
    :param homes: cells whose home is this node, called directly.
    :param peers: sends messages to other homes.
    :param backups: placements that other nodes have copied to this one.
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

    def request_permit(
        self, message: PermitRequest, *, still_wanted: Callable[[], bool] = lambda: True
    ) -> PermitDecision:
        """Send a placement request and wait for the decision.

        When the view replaces a home that died or stopped responding, the request
        is sent to the new home. A retry is safe because nothing was dispatched yet.

        :param still_wanted: polled while waiting; waiting ends once it returns false,
            for example when this node cancels the requests it has not dispatched.
        :raises PeerError: if no home decided before the deadline.
        """
        until = time.monotonic() + message.budget_ms / 1000 + DECISION_GRACE_S
        while True:
            left_s = until - time.monotonic()
            if left_s <= 0 or not still_wanted():
                raise PeerError("no home decided in time", step="permit")
            decision = self._request_once(message, left_s, still_wanted)
            if decision is not None and decision.code != NOT_HOME:
                return decision
            log(PERMIT_RETRIED, cell=message.cell, request_id=message.request_id)
            time.sleep(RETRY_DELAY_S)

    def release(self, message: PermitDone) -> None:
        """Report the end of a permit's use to the home, which releases its slot."""
        self._send_to_home(message.cell, message)

    def withdraw(self, message: PermitWithdraw) -> None:
        """Withdraw a queued placement request whose caller has disconnected."""
        self._send_to_home(message.cell, message)

    def back_up_placement(
        self, cell: str, key: str, upstream: str, request_id: str
    ) -> None:
        """Copy a placement to the next home in the ranking before the dispatch.

        Needed only if this node is the home itself, so that no other node has the
        placement. The notice is sent before the first byte of the request and is
        not waited for; it still arrives if this process dies afterwards.
        """
        ranked = home_ranking(self._view(), cell_resource(cell))
        if len(ranked) < 2 or ranked[0].name != self._me.name:
            return
        notice = PlacementNotice(key=key, upstream=upstream, request_id=request_id)
        with contextlib.suppress(PeerError):
            self._peers.send(ranked[1].peer, notice)

    def find_placement(self, cell: str, key: str, pool: str) -> WhereAnswer:
        """Look up the placement of a key at the home and at the next in the ranking.

        The home may have died so recently that the view of this node still lists
        it.

        :raises PeerError: if neither answers.
        """
        ranked = home_ranking(self._view(), cell_resource(cell))
        if not ranked:
            return self._find_local(key, pool)
        try:
            answer = self._find_at(ranked[0], key, pool)
        except PeerError:
            if len(ranked) < 2:
                raise
            return self._find_at(ranked[1], key, pool)
        if answer.known or len(ranked) < 2:
            return answer
        with contextlib.suppress(PeerError):
            backup = self._find_at(ranked[1], key, pool)
            return backup if backup.known else answer
        return answer

    def _find_local(self, key: str, pool: str) -> WhereAnswer:
        """Look up a placement in this node's cells, then in its backups."""
        answer = self._homes.find_placement(key, pool)
        return answer if answer.known else self._backups.find(key) or answer

    def _find_at(self, home: Host, key: str, pool: str) -> WhereAnswer:
        if home.name == self._me.name:
            return self._find_local(key, pool)
        answer = self._peers.call_and_wait(
            home.peer, WhereQuery(key=key, pool=pool), timeout_s=WHERE_TIMEOUT_S
        )
        if not isinstance(answer, WhereAnswer):
            raise PeerError("unexpected answer", step="where", peer=home.peer)
        return answer

    def _request_once(
        self, message: PermitRequest, left_s: float, still_wanted: Callable[[], bool]
    ) -> PermitDecision | None:
        """Send the request to the present home; ``None`` if it did not decide."""
        home = self._home(message.cell)
        if home is None:
            return None
        try:
            fut = self._submit(home, message)
            decision = self._wait_for_decision(fut, home, left_s, still_wanted)
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
        still_wanted: Callable[[], bool],
    ) -> PermitDecision | None:
        """Wait for the decision while the view lists this incarnation of the home."""
        until = time.monotonic() + left_s
        while True:
            pause_s = min(POLL_INTERVAL_S, until - time.monotonic())
            if pause_s <= 0 or not still_wanted():
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
        """Release a grant that arrived after the entry stopped waiting for it.

        A home that was frozen may grant the request once it resumes. The grant is
        not used any more, and without a release its slot would stay occupied.
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
            # The counters that the message would update are lost with the home; a
            # new home queries the entries for their requests in flight.
            return

    def _apply_locally(self, message: PermitDone | PermitWithdraw) -> None:
        if isinstance(message, PermitDone):
            self._homes.release(message)
        else:
            self._homes.withdraw(self._identity, message)

    def _home(self, cell: str) -> Host | None:
        return home_of(self._view(), cell_resource(cell))
