"""Fleet-wide limits of organisations, enforced by slices leased to entries."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from baobabwing.brands.catalogue import Limits, Organisation
from baobabwing.brands.limits import Charge, Exceeded, LimitName, OrganisationLimiter
from baobabwing.brands.slices import Demand, Slice, SliceHome, fallback_limits
from baobabwing.exceptions import PeerError
from baobabwing.fleet.homes import home_of
from baobabwing.fleet.host import Host
from baobabwing.fleet.view import FleetView
from baobabwing.settings.configuration import Configuration
from baobabwing.wire.messages import SliceAnswer, SliceQuery
from baobabwing.wire.peers import PeerClients

__all__ = ["AdmittedCharge", "LimitEnforcer", "SliceService"]

RENEW_INTERVAL_S = 0.5
LEASE_TIMEOUT_S = 0.25
FALLBACK_VALID_S = 1.0
NO_SLICE_RETRY_S = 0.5
# Requests since the last query from which a slice is renewed before it expires.
MIN_BUSY_REQUESTS = 2
# An entry removes the account of an organisation without requests for this long; the
# next request queries for a slice again.
IDLE_TIMEOUT_S = 60.0
_NO_LIMITS = Limits()


class SliceService:
    """Leases slices of the organisations whose home is this node."""

    def __init__(self) -> None:
        self._homes: dict[str, SliceHome] = {}
        self._limits: dict[str, Limits] = {}
        self._lock = threading.Lock()

    def configure(self, cfg: Configuration) -> None:
        """Apply the limits of a new configuration."""
        with self._lock:
            self._limits = {
                organisation.name: organisation.limits
                for organisation in cfg.organisations
            }
            for name, home in self._homes.items():
                home.change(self._limits.get(name, _NO_LIMITS))

    def lease(self, identity: str, query: SliceQuery) -> SliceAnswer:
        """Lease a slice to an entry.

        :param identity: ``name#incarnation`` of the entry.
        """
        demand = Demand(
            requests_per_s=query.requests, tokens_per_s=query.tokens, open=query.open
        )
        name = query.organisation
        with self._lock:
            home = self._homes.get(name)
            if home is None:
                home = SliceHome(limits=self._limits.get(name, _NO_LIMITS))
                self._homes[name] = home
            leased = home.lease(identity, demand, time.monotonic())
        return SliceAnswer(
            requests_per_s=leased.limits.requests_per_s,
            tokens_per_s=leased.limits.tokens_per_s,
            concurrency=leased.limits.concurrency,
            valid_ms=int(leased.valid_s * 1000),
        )

    def forget_entry(self, identity: str) -> None:
        """Release the slices of an entry that has died."""
        with self._lock:
            for home in self._homes.values():
                home.forget_entry(identity)


@dataclass(frozen=True, kw_only=True)
class AdmittedCharge:
    """The charge of an admitted request, to be settled when the request has ended."""

    organisation: str
    charge: Charge


class _Account:
    """Slice and recent demand of one organisation at this entry.

    :ivar valid_until: when the slice expires.
    :ivar no_slice_until: until then all requests are refused, because the home had
        nothing to lease.
    :ivar counting_since: start of the period over which ``requests`` and ``tokens``
        are counted.
    :ivar last_request_at: when the organisation sent its last request.
    """

    def __init__(self, *, limits: Limits, now: float) -> None:
        self.limiter = OrganisationLimiter(limits=limits, now=now)
        self.concurrency = limits.concurrency
        self.valid_until = 0.0
        self.no_slice_until = 0.0
        self.counting_since = now
        self.last_request_at = now
        self.requests = 0
        self.tokens = 0.0

    def needs_renewal(self, now: float) -> bool:
        """Return whether the slice should be renewed before it expires.

        Renewing ahead is cheaper than querying on arrival only for an organisation
        that sends several requests within the validity of a slice. In a large fleet
        most organisations send an entry one request a minute. Where concurrency is
        limited, the requests open at this entry have to stay leased; otherwise the
        home would lease their share of the limit to another entry as well.
        """
        holds_concurrency = self.concurrency > 0 and self.limiter.open > 0
        renewable = self.requests >= MIN_BUSY_REQUESTS or holds_concurrency
        return renewable and now > self.valid_until - 1.5 * RENEW_INTERVAL_S

    def take_demand(self, now: float) -> Demand:
        """Return the demand since the last call, and reset the counters."""
        span_s = max(now - self.counting_since, RENEW_INTERVAL_S)
        demand = Demand(
            requests_per_s=self.requests / span_s,
            tokens_per_s=self.tokens / span_s,
            open=self.limiter.open + 1,
        )
        self.counting_since, self.requests, self.tokens = now, 0, 0.0
        return demand


class LimitEnforcer:
    """Admits the requests of organisations at this entry within its slices.

    :param me: this node.
    :param view: returns the current view of the fleet.
    :param peers: sends queries to the homes of other organisations.
    :param slices: leases slices of organisations whose home is this node.
    """

    def __init__(
        self,
        *,
        me: Host,
        view: Callable[[], FleetView],
        peers: PeerClients,
        slices: SliceService,
    ) -> None:
        self._me = me
        self._view = view
        self._peers = peers
        self._slices = slices
        self._accounts: dict[str, _Account] = {}
        self._limits: dict[str, Limits] = {}
        self._lock = threading.Lock()
        self._query_locks: dict[str, threading.Lock] = {}
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start to renew the slices of busy organisations before they expire."""
        threading.Thread(target=self._renew, name="slices", daemon=True).start()

    def stop(self) -> None:
        """Stop renewing slices."""
        self._stopping.set()

    def configure(self, cfg: Configuration) -> None:
        """Apply the limits of a new configuration."""
        with self._lock:
            self._limits = {
                organisation.name: organisation.limits
                for organisation in cfg.organisations
            }
            for name in tuple(self._accounts):
                if self._limits.get(name, _NO_LIMITS) == _NO_LIMITS:
                    del self._accounts[name]

    def admit(
        self, organisation: Organisation, tokens: float
    ) -> AdmittedCharge | Exceeded | None:
        """Charge a request against the slice of its organisation.

        :param tokens: estimate of its prompt and output tokens.
        :returns: the charge to settle, the limit that is exceeded, or ``None`` if the
            organisation has no limits.
        """
        name = organisation.name
        if organisation.limits == _NO_LIMITS:
            return None
        now = time.monotonic()
        with self._lock:
            account = self._get_account(name, organisation.limits, now)
            account.last_request_at = now
            account.requests += 1
            account.tokens += tokens
        if now >= account.valid_until and now >= account.no_slice_until:
            self._query_slice_once(name, account)
        with self._lock:
            if time.monotonic() < account.no_slice_until:
                return Exceeded(
                    limit=LimitName.CONCURRENCY, retry_after_s=NO_SLICE_RETRY_S
                )
            result = account.limiter.admit(tokens, time.monotonic())
        if isinstance(result, Exceeded):
            return result
        return AdmittedCharge(organisation=name, charge=result)

    def settle(self, admitted: AdmittedCharge, tokens: float) -> None:
        """Replace the estimate of an admitted request by the tokens it used."""
        with self._lock:
            account = self._accounts.get(admitted.organisation)
            if account is not None:
                account.limiter.settle(admitted.charge, tokens, time.monotonic())

    def _get_account(self, name: str, limits: Limits, now: float) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = _Account(limits=limits, now=now)
            self._accounts[name] = account
        return account

    def _query_slice_once(self, name: str, account: _Account) -> None:
        """Query for a slice, unless a concurrent request has just leased one."""
        with self._lock:
            query_lock = self._query_locks.setdefault(name, threading.Lock())
        with query_lock:
            if time.monotonic() >= account.valid_until:
                self._query_slice(name, account)

    def _query_slice(self, name: str, account: _Account) -> None:
        """Lease a slice; without an answer use an equal part of the limits."""
        now = time.monotonic()
        with self._lock:
            demand = account.take_demand(now)
        leased = self._request_lease(name, demand)
        if leased is None:
            entries = len(self._view().serving())
            limits = fallback_limits(self._limits.get(name, _NO_LIMITS), entries)
            leased = Slice(limits=limits, valid_s=FALLBACK_VALID_S)
        with self._lock:
            if leased.valid_s:
                # The home counts the validity from its answer and this entry from
                # its query, so the slice expires at the entry first.
                account.valid_until = now + leased.valid_s
                account.limiter.change(leased.limits, time.monotonic())
            elif now >= account.valid_until:
                account.no_slice_until = now + NO_SLICE_RETRY_S

    def _request_lease(self, name: str, demand: Demand) -> Slice | None:
        """Request a slice from the home; ``None`` if it does not answer in time."""
        home = home_of(self._view(), f"organisation:{name}")
        if home is None:
            return None
        query = SliceQuery(
            organisation=name,
            requests=demand.requests_per_s,
            tokens=demand.tokens_per_s,
            open=demand.open,
        )
        if home.name == self._me.name:
            identity = f"{self._me.name}#{self._me.incarnation}"
            return _to_slice(self._slices.lease(identity, query))
        try:
            answer = self._peers.call_and_wait(
                home.peer, query, timeout_s=LEASE_TIMEOUT_S
            )
        except PeerError:
            return None
        return _to_slice(answer) if isinstance(answer, SliceAnswer) else None

    def _renew(self) -> None:
        while not self._stopping.wait(RENEW_INTERVAL_S):
            now = time.monotonic()
            with self._lock:
                due = [
                    (name, account)
                    for name, account in self._accounts.items()
                    if account.needs_renewal(now)
                ]
                self._forget_idle(now)
            for name, account in due:
                self._query_slice(name, account)

    def _forget_idle(self, now: float) -> None:
        """Remove the accounts of idle organisations without open requests."""
        for name, account in tuple(self._accounts.items()):
            if (
                now - account.last_request_at > IDLE_TIMEOUT_S
                and not account.limiter.open
            ):
                del self._accounts[name]


def _to_slice(answer: SliceAnswer) -> Slice:
    limits = Limits(
        requests_per_s=answer.requests_per_s,
        tokens_per_s=answer.tokens_per_s,
        concurrency=answer.concurrency,
    )
    return Slice(limits=limits, valid_s=answer.valid_ms / 1000)
