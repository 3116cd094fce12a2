"""Positions of documents in the history of their store."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["NOWHERE", "Position"]


@dataclass(frozen=True, order=True, kw_only=True, slots=True)
class Position:
    """A state of a store; later states compare greater.

    A store that is restored from an older snapshot assigns the same versions again, so
    that a version identifies a state only within one era.

    :param era: rises by one each time that the store is restored from an older
        snapshot.
    :param version: rises with each write within an era.

    Examples
    --------
    >>> Position(era=1, version=900) < Position(era=2, version=300)
    True
    >>> Position.parse(str(Position(era=2, version=300)))
    Position(era=2, version=300)

    """

    era: int = 0
    version: int = 0

    def __str__(self) -> str:
        return f"{self.era}.{self.version}"

    @classmethod
    def parse(cls, text: str) -> Position:
        """Parse the text that ``str`` returns.

        :raises ValueError: if the text is not a position.
        """
        era, _, version = text.partition(".")
        if not (era.isdecimal() and version.isdecimal()):
            raise ValueError(f"invalid position: {text!r:.40}")
        return cls(era=int(era), version=int(version))


# Before the first read.
NOWHERE = Position()
