"""Errors of leases and orders."""

from baobabwing.exceptions import ConflictError, UpstreamError

__all__ = ["LeaseLostError", "OrderError", "OrderRefusedError", "StaleFenceError"]


class LeaseLostError(ConflictError):
    """The lease is no longer held, or not long enough for the next order."""


class StaleFenceError(LeaseLostError):
    """An engine knows a higher fencing number than the one of the order."""


class OrderError(UpstreamError):
    """An order was not carried out in time, or its effect is unknown."""


class OrderRefusedError(OrderError):
    """An engine refused an order, which had no effect."""
