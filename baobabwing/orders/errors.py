"""Errors of leases and orders."""

from baobabwing.exceptions import ConflictError, UpstreamError

__all__ = ["LeaseLostError", "OrderError", "OrderRefusedError", "StaleFenceError"]


class LeaseLostError(ConflictError):
    """The lease is not held, or not for long enough for the next order."""


class StaleFenceError(LeaseLostError):
    """An engine has a higher fencing number than the lease of this holder."""


class OrderError(UpstreamError):
    """An order was not completed in time, or its effect is unknown."""


class OrderRefusedError(OrderError):
    """An engine refused an order, or did not load its models in time."""
