"""Registry of the intents of operators."""

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
    """Data that intents and plans use besides the current configuration.

    :param hosts: hosts that the platform lists.
    :param in_use: requests open at present by pool; unknown pools are missing.
    :param load_version: returns an earlier version of the configuration by number,
        or ``None`` if there is none.
    """

    hosts: tuple[ListedHost, ...] = ()
    in_use: Mapping[str, float] = field(default_factory=dict)
    load_version: Callable[[int], Configuration | None] = lambda number: None


class Intent(Protocol):
    """A frozen data class whose fields are the arguments of the intent."""

    def apply(self, cfg: Configuration, context: PlanContext) -> Configuration:
        """Return the configuration with the intent applied.

        :raises SettingsError: if the intent does not apply to the configuration.
        """

    def summary(self) -> str:
        """Return a one-line description for the history."""


def register(name: str) -> Callable[[_Class], _Class]:
    """Add the decorated data class to the registry.

    :param name: name of the intent for operators, such as ``"move-brand"``.
    """

    def add(cls: _Class) -> _Class:
        _INTENTS[name] = cls
        return cls

    return add


def intent_names() -> tuple[str, ...]:
    """Return the names of all intents, sorted."""
    return tuple(sorted(_INTENTS))


def intent_class(name: str) -> type:
    """Return the data class of an intent.

    :raises SettingsError: if there is no such intent.
    """
    if name not in _INTENTS:
        raise unknown_name("intent", name, intent_names())
    return _INTENTS[name]


def make_intent(name: str, arguments: Mapping[str, Any]) -> Intent:
    """Build an intent from its name and arguments.

    :raises SettingsError: if the name is unknown, or an argument is unknown,
        missing or invalid.
    """
    return build(intent_class(name), arguments)


def unknown_name(kind: str, name: str, known: tuple[str, ...]) -> SettingsError:
    """Return the error for an unknown name, with the known names."""
    return SettingsError(
        f"no {kind} {name!r}; known: {', '.join(known) or 'none'}", step="plan"
    )
