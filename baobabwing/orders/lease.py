"""A lease with a fencing number, stored in the table service.

Clocks of different hosts are never compared. A rival takes a lease over after the
row has not changed for the lease's duration on the rival's own clock; the holder
counts the duration from before it sent its last renewal. This is safe as long as
the clocks run at nearly the same rate; margins on both sides allow for the
difference.
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
_RENEWAL_FRACTION = 0.25
_SAFE_FRACTION = 0.6
_RIVAL_CLOCK_MARGIN = 1.1


@dataclass(frozen=True, kw_only=True)
class Lease:
    """The holder's view of its lease; times are of the holder's own clock.

    :param token: fencing number; grows with each holder.
    :param counted_from: start of the lease's duration: the time just before the
        request that acquired or last renewed it was sent.
    :param duration_s: how long the row has to stay unchanged before a rival may
        take the lease over.
    :param taken_over_at: when it was taken from a holder that had not released
        it; minus infinity if it was free.
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
        """When the last order must have ended, well before the lease lapses."""
        return self.counted_from + self.duration_s * _SAFE_FRACTION

    @property
    def renew_at(self) -> float:
        """When the next renewal is due."""
        return self.counted_from + self.duration_s * _RENEWAL_FRACTION


class Leaseholder:
    """Acquires, renews and releases a lease for one process.

    Not safe to share between threads.

    :param tables: the table service.
    :param name: name of the lease.
    :param holder: name of this process, for operators to read.
    :param duration_s: how long the lease lasts without renewal.
    :param clock: returns the seconds of a monotonic clock.
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
        self._observed_version: int | None = None
        self._observed_since = 0.0
        self._first_attempt_at: dict[int, float] = {}

    @property
    def lease(self) -> Lease | None:
        """The lease, unless it was never acquired, or lost, released or abandoned."""
        return self._lease

    def acquire(self) -> Lease | None:
        """Try once to acquire the lease.

        A rival has to call this repeatedly, since it sees only from call to call
        that the row stays unchanged.

        :returns: the lease, or ``None`` while another process holds it.
        :raises PlatformError: if the outcome cannot be read from the store.
        """
        if self._lease is not None:
            return self._lease
        row = self._read()
        if row is not None and self._is_own(row):
            # The answer to an earlier attempt was lost, and reading it back failed.
            return self._adopt_row(row)
        if row is not None and row.value["id"] and not self._has_lapsed(row):
            return None
        return self._try_to_take(row)

    def renew(self) -> Lease:
        """Extend the lease.

        :raises LeaseLostError: if another process holds it, or none does.
        :raises PlatformError: if the outcome cannot be read from the store; the
            lease is as it was before.
        """
        lease = self._require_held("renew")
        started = self._clock()
        renewal = lease.renewal + 1
        value = self._row_value(lease.token, renewal)
        try:
            version = self._put(value, lease.row_version)
        except ConflictError:
            # An earlier renewal whose answer was lost changed the row, or a rival.
            row = self._read()
            if row is None or not self._is_own(row):
                raise self._mark_lost("renew") from None
            if row.version == lease.row_version:
                # The read is older than the write that caused the conflict.
                raise PlatformUncertainError("reads lag", step="renew") from None
            self._lease = replace(lease, row_version=row.version)
            return self.renew()
        except PlatformUncertainError:
            row = self._read()
            if row is None or not self._is_own(row):
                raise self._mark_lost("renew") from None
            if row.value["renewal"] != renewal:
                raise
            version = row.version
        self._lease = replace(
            lease, counted_from=started, row_version=version, renewal=renewal
        )
        return self._lease

    def require(self, order_duration_s: float, *, step: str) -> Lease:
        """Ensure that an order of a given duration ends well before the lease lapses.

        Renews the lease when that is due. Errors of the store are ignored as long
        as the lease lasts for the order without renewal.

        :param order_duration_s: longest duration of the order.
        :param step: names the caller in errors and the log.
        :raises LeaseLostError: if the lease does not last that long; the caller
            must not give the order.
        """
        lease = self._require_held(step)
        if self._clock() >= lease.renew_at:
            with contextlib.suppress(PlatformError):
                lease = self.renew()
        # A holder that was paused until after its lease had lapsed would give
        # orders at the same time as its successor. Its own clock shows the lapse.
        if self._clock() + order_duration_s > lease.safe_until:
            raise self._mark_lost(step)
        return lease

    def release(self) -> None:
        """Release the lease, so that a rival need not wait for it to lapse.

        Allowed only when no order of this holder can still be in transit.
        """
        lease, self._lease = self._lease, None
        if lease is None:
            return
        value = self._row_value(lease.token, lease.renewal) | {"id": "", "holder": ""}
        with contextlib.suppress(PlatformError, ConflictError):
            self._put(value, lease.row_version)

    def abandon(self) -> None:
        """Stop using the lease and let it lapse."""
        self._lease = None

    def _try_to_take(self, row: Row | None) -> Lease | None:
        token = row.value["token"] + 1 if row else 1
        started = self._first_attempt_at.setdefault(token, self._clock())
        value = self._row_value(token, 0)
        was_free = row is None or not row.value["id"]
        try:
            version = self._put(value, row.version if row else None)
        except ConflictError:
            return self._read_back_take()
        except PlatformUncertainError:
            return self._read_back_take()
        lease = Lease(
            token=token,
            counted_from=started,
            duration_s=self._duration_s,
            taken_over_at=float("-inf") if was_free else self._clock(),
            row_version=version,
        )
        return self._mark_acquired(lease)

    def _read_back_take(self) -> Lease | None:
        row = self._read()
        return self._adopt_row(row) if row and self._is_own(row) else None

    def _adopt_row(self, row: Row) -> Lease:
        token = row.value["token"]
        # It is unknown which of several attempts wrote the row, so the duration
        # counts from the first. Whether the lease was free is unknown as well, so
        # it counts as taken over now.
        lease = Lease(
            token=token,
            counted_from=self._first_attempt_at.get(token, float("-inf")),
            duration_s=self._duration_s,
            taken_over_at=self._clock(),
            row_version=row.version,
            renewal=row.value["renewal"],
        )
        return self._mark_acquired(lease)

    def _mark_acquired(self, lease: Lease) -> Lease:
        self._lease = lease
        log(LEASE_TAKEN, lease=self._name, token=lease.token)
        return lease

    def _has_lapsed(self, row: Row) -> bool:
        now = self._clock()
        if row.version != self._observed_version:
            self._observed_version, self._observed_since = row.version, now
            return False
        wait_s = row.value["duration_s"] * _RIVAL_CLOCK_MARGIN
        return now - self._observed_since >= wait_s

    def _require_held(self, step: str) -> Lease:
        if self._lease is None:
            raise LeaseLostError(f"lease {self._name!r} is not held", step=step)
        return self._lease

    def _mark_lost(self, step: str) -> LeaseLostError:
        token = self._lease.token if self._lease else 0
        self._lease = None
        log(LEASE_LOST, lease=self._name, token=token, step=step)
        return LeaseLostError(f"lease {self._name!r} was lost", step=step)

    def _row_value(self, token: int, renewal: int) -> dict[str, Any]:
        return {
            "id": self._id,
            "holder": self._holder,
            "token": token,
            "renewal": renewal,
            "duration_s": self._duration_s,
        }

    def _is_own(self, row: Row) -> bool:
        token = self._lease.token if self._lease else row.value["token"]
        return row.value["id"] == self._id and row.value["token"] == token

    def _read(self) -> Row | None:
        return self._tables.read(LEASES_TABLE, self._name)

    def _put(self, value: dict[str, Any], expected: int | None) -> int:
        return self._tables.put(LEASES_TABLE, self._name, value, expected=expected)
