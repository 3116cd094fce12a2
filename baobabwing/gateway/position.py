"""Where in the life of its store a document was read."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["NOWHERE", "Position"]


@dataclass(frozen=True, order=True, kw_only=True, slots=True)
class Position:
    """A state of a store; the later of two is the greater.

    A store that comes back from an older copy gives versions out again, so that a
    version alone tells two states apart only within one era.

    :param era: rises by one each time that the store comes back from an older copy.
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
        """Read what ``str`` made.

        :raises ValueError: if it is no position.
        """
        era, _, version = text.partition(".")
        if not (era.isdecimal() and version.isdecimal()):
            raise ValueError(f"no position: {text!r:.40}")
        return cls(era=int(era), version=int(version))


# Before anything was read.
NOWHERE = Position()
