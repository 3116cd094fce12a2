"""Registry of the intents that operators can state."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol, TypeVar

from baobabwing.exceptions import SettingsError
from baobabwing.settings.checker import build
from baobabwing.settings.configuration import Configuration
from baobabwing.store.hosts import ListedHost

__all__ = [
    "Intent",
    "PlanContext",
    "intent_class",
    "intent_names",
    "make_intent",
    "register",
    "unknown_name",
]

_Class = TypeVar("_Class", bound=type)
_INTENTS: dict[str, type] = {}


@dataclass(frozen=True, kw_only=True)
class PlanContext:
    """What a plan may look at besides the configuration.

    :param hosts: hosts that the platform lists.
    :param in_use: requests open at one time by pool, as far as it is known.
    :param version: gives an earlier version of the configuration.
    """

    hosts: tuple[ListedHost, ...] = ()
    in_use: Mapping[str, float] = field(default_factory=dict)
    version: Callable[[int], Configuration | None] = lambda number: None


class Intent(Protocol):
    """A frozen data class whose fields are what the operator states."""

    def apply(self, cfg: Configuration, context: PlanContext) -> Configuration:
        """Return the configuration that the operator wants.

        :raises SettingsError: if the intent does not fit the configuration.
        """

    def summary(self) -> str:
        """Return one line for the history."""


def register(name: str) -> Callable[[_Class], _Class]:
    """Add the decorated data class to the registry.

    :param name: what operators call the intent, such as ``"move-brand"``.
    """

    def add(cls: _Class) -> _Class:
        _INTENTS[name] = cls
        return cls

    return add


def intent_names() -> tuple[str, ...]:
    """Return the names of all intents."""
    return tuple(sorted(_INTENTS))


def intent_class(name: str) -> type:
    """Return the data class of an intent.

    :raises SettingsError: if there is no such intent.
    """
    if name not in _INTENTS:
        raise unknown_name("intent", name, intent_names())
    return _INTENTS[name]


def make_intent(name: str, arguments: Mapping[str, Any]) -> Intent:
    """Make an intent from its name and fields.

    :raises SettingsError: if a field is unknown, missing or wrong.
    """
    return build(intent_class(name), arguments)


def unknown_name(kind: str, name: str, known: tuple[str, ...]) -> SettingsError:
    """Make the error for a name that is not there."""
    return SettingsError(
        f"no {kind} {name!r}; there is {', '.join(known) or 'none'}", step="plan"
    )
