"""What organisations' requests cost, and how far limits may be exceeded."""

from __future__ import annotations

from dataclasses import dataclass

from baobabwing.gateway.model import OrganisationSpec

__all__ = ["Charge", "LimitChange", "Spent", "Tolerance"]

# Part of the tolerance that is kept back at least, and the seconds of the limit's rate:
# what peers admitted is known some tenths of a second late.
_RESERVE_SHARE = 0.25
_RESERVE_S = 2.0


@dataclass(frozen=True, kw_only=True)
class Tolerance:
    """How far all nodes together may exceed a limit, as the operator states it.

    :param window_s: any span of this length is counted.
    :param over: part of the limit.
    :param slack: units beyond that.
    """

    window_s: float = 8.0
    over: float = 0.0
    slack: float = 0.0

    def limit(self, spec: OrganisationSpec) -> float:
        """Return the units that the limit itself allows in one window."""
        return spec.rate_per_s * self.window_s + spec.burst

    def overage(self, spec: OrganisationSpec) -> float:
        """Return the units beyond the limit that are used in one window."""
        return self._total(spec) - self.reserve(spec)

    def ceiling(self, spec: OrganisationSpec) -> float:
        """Return the units of one window that nodes know of at the most."""
        return self.limit(spec) + self.overage(spec)

    def reserve(self, spec: OrganisationSpec) -> float:
        """Return what is left for units of which not all nodes know yet."""
        total = self._total(spec)
        return min(max(_RESERVE_SHARE * total, _RESERVE_S * spec.rate_per_s), total)

    def start_level(self, spec: OrganisationSpec) -> float:
        """Return what a bucket holds at the start.

        A node that starts does not know what was admitted before it came. The part
        of the tolerance that is never used otherwise covers it, also where all
        nodes start at once.
        """
        return min(spec.burst, _RESERVE_SHARE * self._total(spec))

    def _total(self, spec: OrganisationSpec) -> float:
        return self.limit(spec) * self.over + self.slack


@dataclass(frozen=True, kw_only=True)
class Charge:
    """What a request cost, or how long it has to wait.

    :param overage: whether the units came out of the tolerance.
    :param rank: urgency with which it was asked for.
    :param charged_at: when it was charged.
    :param retry_after_s: seconds until the units are there; 0 if it was admitted.
    :param unconfirmed: whether it may be admitted once others know what was admitted
        before it.
    """

    units: float = 0.0
    overage: bool = False
    rank: int = 0
    charged_at: float = 0.0
    retry_after_s: float = 0.0
    unconfirmed: bool = False

    @property
    def admitted(self) -> bool:
        """Whether the request may go on."""
        return self.retry_after_s <= 0


@dataclass(frozen=True, kw_only=True)
class Spent:
    """What nodes have admitted for an organisation.

    :param units: since they started.
    :param excess: the same out of the tolerance.
    :param asked: units that were asked for: those admitted, and those refused for the
        limit.
    :param recent: units of the last window, those out of the tolerance included.
    """

    units: float = 0.0
    excess: float = 0.0
    asked: float = 0.0
    recent: float = 0.0

    @property
    def charged(self) -> float:
        """Units admitted since the start, by whatever right."""
        return self.units + self.excess


@dataclass(frozen=True, kw_only=True)
class LimitChange:
    """A limit that another configuration states otherwise."""

    before: OrganisationSpec
    now: OrganisationSpec
