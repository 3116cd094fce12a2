"""Costs of organisations' requests, and how far limits may be exceeded."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from baobabwing.gateway.model import OrganisationSpec

__all__ = ["Charge", "LimitChange", "RefusalCause", "Tolerance", "Usage"]

# The reserve is this part of the tolerance, or this many seconds of the limit's rate if
# that is more, up to all of it: usage of peers is known some tenths of a second late.
_RESERVE_SHARE = 0.25
_RESERVE_S = 2.0


@dataclass(frozen=True, kw_only=True)
class Tolerance:
    """How far all nodes together may exceed a limit, as the operator sets it.

    :param window_s: length of the sliding window over which usage is bounded.
    :param over: overage as a fraction of the limit.
    :param slack: units of overage on top of that.
    """

    window_s: float = 8.0
    over: float = 0.0
    slack: float = 0.0

    def limit(self, spec: OrganisationSpec) -> float:
        """Return the units that the limit itself allows in one window."""
        return spec.rate_per_s * self.window_s + spec.burst

    def overage(self, spec: OrganisationSpec) -> float:
        """Return the part of the tolerance that known usage may take up in a window."""
        return self._total(spec) - self.reserve(spec)

    def ceiling(self, spec: OrganisationSpec) -> float:
        """Return the bound on the known usage of all nodes in a window."""
        return self.limit(spec) + self.overage(spec)

    def reserve(self, spec: OrganisationSpec) -> float:
        """Return the part of the tolerance for usage that not all nodes know yet."""
        total = self._total(spec)
        return min(max(_RESERVE_SHARE * total, _RESERVE_S * spec.rate_per_s), total)

    def start_level(self, spec: OrganisationSpec) -> float:
        """Return the level of a bucket when a node starts.

        A starting node does not know what was admitted before. The part of the
        tolerance that is never used otherwise covers its start level, also where all
        nodes start at once.
        """
        return min(spec.burst, _RESERVE_SHARE * self._total(spec))

    def _total(self, spec: OrganisationSpec) -> float:
        return self.limit(spec) * self.over + self.slack


class RefusalCause(StrEnum):
    """What refused a request at its organisation's limit.

    ``PACE`` spreads a limit over time, ``WINDOW`` is used up, and ``UNACKNOWLEDGED``
    units were not confirmed by the aggregators in time.
    """

    PACE = "pace"
    WINDOW = "window"
    UNACKNOWLEDGED = "unacknowledged"


@dataclass(frozen=True, kw_only=True)
class Charge:
    """Units that a request was charged, or how long it has to wait.

    :param overage: whether the units came out of the tolerance.
    :param rank: urgency of the request.
    :param charged_at: when it was charged.
    :param retry_after_s: seconds until the units are available; 0 if it was admitted.
    :param unacknowledged: whether it may be admitted once peers have acknowledged the
        usage of this node.
    :param refused_by: what refused the request; ``None`` if it was admitted.
    """

    units: float = 0.0
    overage: bool = False
    rank: int = 0
    charged_at: float = 0.0
    retry_after_s: float = 0.0
    unacknowledged: bool = False
    refused_by: RefusalCause | None = None

    @property
    def admitted(self) -> bool:
        """Whether the request may run."""
        return self.retry_after_s <= 0


@dataclass(frozen=True, kw_only=True)
class Usage:
    """Units that one or more nodes have admitted for an organisation.

    :param units: units out of the bucket since the nodes started.
    :param overage: units out of the tolerance since then.
    :param requested: units requested since then: those admitted, and those refused
        because of the limit.
    :param recent: units admitted in the last window, those out of the tolerance
        included.
    """

    units: float = 0.0
    overage: float = 0.0
    requested: float = 0.0
    recent: float = 0.0

    @property
    def charged(self) -> float:
        """Units admitted since the start, those out of the tolerance included."""
        return self.units + self.overage


@dataclass(frozen=True, kw_only=True)
class LimitChange:
    """An organisation with its limit before and after a change of configuration."""

    before: OrganisationSpec
    after: OrganisationSpec
