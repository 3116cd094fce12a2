"""A lease with a fencing number in the table service.

No clock is compared with that of another host. A rival takes a lease over after
it has watched the row stand unchanged for the lease's duration on its own clock;
the holder counts from before it sent its last renewal. Both are safe as long as
clocks run at nearly the same rate, for which a margin is kept.
"""

from __future__ import annotations

import contextlib
import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from baobabwing.exceptions import (
    ConflictError,
    PlatformError,
    PlatformUncertainError,
)
from baobabwing.orders.errors import LeaseLostError
from baobabwing.orders.events import LEASE_LOST, LEASE_TAKEN
from baobabwing.reports.events import log
from baobabwing.store.tables import Row, Tables

__all__ = ["LEASES_TABLE", "Lease", "Leaseholder"]

LEASES_TABLE = "leases"
_RENEWAL_SHARE = 0.25
_SAFE_SHARE = 0.6
_RIVAL_MARGIN = 1.1


@dataclass(frozen=True, kw_only=True)
class Lease:
    """A lease as its holder knows it; times are of the holder's own clock.

    :param token: fencing number; grows with each holder.
    :param counted_from: before the request that took or last renewed it.
    :param duration_s: how long a rival waits.
    :param taken_over_at: when it was taken from a holder that had not given it
        back; minus infinity if it was free.
    :param row_version: version of the row that compare-and-set refers to.
    :param renewal: number of the last renewal.
    """

    token: int
    counted_from: float
    duration_s: float
    taken_over_at: float
    row_version: int
    renewal: int = 0

    @property
    def safe_until(self) -> float:
        """When the last order must have ended, well inside the lease."""
        return self.counted_from + self.duration_s * _SAFE_SHARE

    @property
    def renew_at(self) -> float:
        """When to renew."""
        return self.counted_from + self.duration_s * _RENEWAL_SHARE


class Leaseholder:
    """One process's side of a lease; used by one thread.

    :param tables: the table service.
    :param name: name of the lease.
    :param holder: who holds it, for people to read.
    :param duration_s: how long it lasts without renewal.
    :param clock: gives seconds of a monotonic clock.
    """

    def __init__(
        self,
        *,
        tables: Tables,
        name: str,
        holder: str,
        duration_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._tables = tables
        self._name = name
        self._holder = holder
        self._duration_s = duration_s
        self._clock = clock
        self._id = uuid.uuid4().hex
        self._lease: Lease | None = None
        self._seen_version: int | None = None
        self._seen_at = 0.0
        self._first_tried: dict[int, float] = {}

    @property
    def lease(self) -> Lease | None:
        """The lease, if it was held when last looked at."""
        return self._lease

    def acquire(self) -> Lease | None:
        """Try once to take the lease; call again after a while.

        :returns: the lease, or nothing as long as another holds it.
        :raises PlatformError: if the store cannot tell.
        """
        if self._lease is not None:
            return self._lease
        row = self._read()
        if row is not None and self._is_mine(row):
            # The answer to an earlier try was lost, and reading back failed too.
            return self._adopt(row)
        if row is not None and row.value["id"] and not self._has_lapsed(row):
            return None
        return self._take(row)

    def renew(self) -> Lease:
        """Extend the lease.

        :raises LeaseLostError: if another holds it.
        :raises PlatformError: if the store cannot tell; the lease is as it was.
        """
        lease = self._held("renew")
        started = self._clock()
        renewal = lease.renewal + 1
        value = self._value(lease.token, renewal)
        try:
            version = self._put(value, lease.row_version)
        except ConflictError:
            # A renewal whose answer was lost has moved the row, or a rival has.
            row = self._read()
            if row is None or not self._is_mine(row):
                raise self._lose("renew") from None
            if row.version == lease.row_version:
                # The read came from before the write that is in our way.
                raise PlatformUncertainError("reads lag", step="renew") from None
            self._lease = replace(lease, row_version=row.version)
            return self.renew()
        except PlatformUncertainError:
            row = self._read()
            if row is None or not self._is_mine(row):
                raise self._lose("renew") from None
            if row.value["renewal"] != renewal:
                raise
            version = row.version
        self._lease = replace(
            lease, counted_from=started, row_version=version, renewal=renewal
        )
        return self._lease

    def require(self, needs_s: float, *, step: str) -> Lease:
        """Make sure that an order of some length ends well inside the lease.

        Renews the lease when that is due. A store that is down is borne as long
        as the lease is safe without it.

        :raises LeaseLostError: if it is not; no order may be given then.
        """
        lease = self._held(step)
        if self._clock() >= lease.renew_at:
            with contextlib.suppress(PlatformError):
                lease = self.renew()
        # A holder that was paused comes back after its lease has lapsed and
        # would go on with orders beside its successor. Its own clock shows it.
        if self._clock() + needs_s > lease.safe_until:
            raise self._lose(step)
        return lease

    def release(self) -> None:
        """Give the lease back, so that a rival need not wait.

        Only for a holder none of whose orders can still be on its way.
        """
        lease, self._lease = self._lease, None
        if lease is None:
            return
        value = self._value(lease.token, lease.renewal) | {"id": "", "holder": ""}
        with contextlib.suppress(PlatformError, ConflictError):
            self._put(value, lease.row_version)

    def abandon(self) -> None:
        """Stop using the lease and let it lapse."""
        self._lease = None

    def _take(self, row: Row | None) -> Lease | None:
        token = row.value["token"] + 1 if row else 1
        started = self._first_tried.setdefault(token, self._clock())
        value = self._value(token, 0)
        was_free = row is None or not row.value["id"]
        try:
            version = self._put(value, row.version if row else None)
        except ConflictError:
            return self._settle_take()
        except PlatformUncertainError:
            return self._settle_take()
        lease = Lease(
            token=token,
            counted_from=started,
            duration_s=self._duration_s,
            taken_over_at=float("-inf") if was_free else self._clock(),
            row_version=version,
        )
        return self._hold(lease)

    def _settle_take(self) -> Lease | None:
        row = self._read()
        return self._adopt(row) if row and self._is_mine(row) else None

    def _adopt(self, row: Row) -> Lease:
        token = row.value["token"]
        # Which of several tries wrote the row is not known, so the lease counts
        # from the first; and whether it was free is not known either.
        lease = Lease(
            token=token,
            counted_from=self._first_tried.get(token, float("-inf")),
            duration_s=self._duration_s,
            taken_over_at=self._clock(),
            row_version=row.version,
            renewal=row.value["renewal"],
        )
        return self._hold(lease)

    def _hold(self, lease: Lease) -> Lease:
        self._lease = lease
        log(LEASE_TAKEN, lease=self._name, token=lease.token)
        return lease

    def _has_lapsed(self, row: Row) -> bool:
        now = self._clock()
        if row.version != self._seen_version:
            self._seen_version, self._seen_at = row.version, now
            return False
        wait_s = row.value["duration_s"] * _RIVAL_MARGIN
        return now - self._seen_at >= wait_s

    def _held(self, step: str) -> Lease:
        if self._lease is None:
            raise LeaseLostError(f"lease {self._name!r} is not held", step=step)
        return self._lease

    def _lose(self, step: str) -> LeaseLostError:
        token = self._lease.token if self._lease else 0
        self._lease = None
        log(LEASE_LOST, lease=self._name, token=token, step=step)
        return LeaseLostError(f"lease {self._name!r} was lost", step=step)

    def _value(self, token: int, renewal: int) -> dict[str, Any]:
        return {
            "id": self._id,
            "holder": self._holder,
            "token": token,
            "renewal": renewal,
            "duration_s": self._duration_s,
        }

    def _is_mine(self, row: Row) -> bool:
        token = self._lease.token if self._lease else row.value["token"]
        return row.value["id"] == self._id and row.value["token"] == token

    def _read(self) -> Row | None:
        return self._tables.read(LEASES_TABLE, self._name)

    def _put(self, value: dict[str, Any], expected: int | None) -> int:
        return self._tables.put(LEASES_TABLE, self._name, value, expected=expected)
