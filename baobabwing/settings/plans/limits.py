"""Intent that changes the limits of an organisation."""

from __future__ import annotations

from dataclasses import dataclass, replace

from baobabwing.brands.catalogue import Limits, Organisation
from baobabwing.settings.checker import rule
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.plans.intents import PlanContext, register, unknown_name

__all__ = ["ChangeLimits"]

_KEEP = -1


@register("change-limits")
@dataclass(frozen=True, kw_only=True)
class ChangeLimits:
    """Change the limits of an organisation; 0 removes a limit, -1 keeps it.

    :param organisation: name of the organisation.
    :param requests_per_s: requests admitted per second.
    :param tokens_per_s: prompt and output tokens per second.
    :param concurrency: maximum number of open requests.
    """

    organisation: str = rule(least=1)
    requests_per_s: float = rule(float(_KEEP), least=_KEEP)
    tokens_per_s: float = rule(float(_KEEP), least=_KEEP)
    concurrency: int = rule(_KEEP, least=_KEEP)

    def apply(self, cfg: Configuration, context: PlanContext) -> Configuration:
        """Replace the limits that are not negative."""
        names = tuple(organisation.name for organisation in cfg.organisations)
        if self.organisation not in names:
            raise unknown_name("organisation", self.organisation, names)
        organisations = tuple(self._change(item) for item in cfg.organisations)
        return replace(cfg, organisations=organisations)

    def summary(self) -> str:
        """Return a one-line description for the history."""
        return f"change limits of {self.organisation}"

    def _change(self, organisation: Organisation) -> Organisation:
        if organisation.name != self.organisation:
            return organisation
        current = organisation.limits
        limits = Limits(
            requests_per_s=_stated_or_current(
                self.requests_per_s, current.requests_per_s
            ),
            tokens_per_s=_stated_or_current(self.tokens_per_s, current.tokens_per_s),
            concurrency=_stated_or_current(self.concurrency, current.concurrency),
        )
        return replace(organisation, limits=limits)


def _stated_or_current(stated: float, current: float) -> float:
    return current if stated < 0 else stated
