"""Progress of moves, stored in the table service for the next lease holder."""

from __future__ import annotations

import dataclasses
import json
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

from baobabwing.exceptions import ConflictError, PlatformUncertainError, SettingsError
from baobabwing.orders.errors import LeaseLostError
from baobabwing.settings.checker import build
from baobabwing.store.tables import Insert, Row, Tables

__all__ = ["MOVES_TABLE", "Move", "MoveState", "MoveStore"]

MOVES_TABLE = "moves"


class MoveState(StrEnum):
    """State of a move."""

    RUNNING = "running"
    UNDOING = "undoing"
    DONE = "done"
    UNDONE = "undone"


@dataclass(frozen=True, kw_only=True)
class Move:
    """The execution of a confirmed plan.

    :param plan: id of the plan.
    :param author: who confirmed it.
    :param steps_done: number of steps that are done and not undone.
    :param reason: why the move is undone, if it is.
    :param token: fencing number of the holder that wrote the row.
    :param row_version: version of the row; not part of the stored document.
    """

    plan: str
    author: str
    state: MoveState = MoveState.RUNNING
    steps_done: int = 0
    reason: str = ""
    token: int = 0
    row_version: int = 0

    @property
    def is_open(self) -> bool:
        """Whether a holder of the lease has to continue the move."""
        return self.state in (MoveState.RUNNING, MoveState.UNDOING)


class MoveStore:
    """Reads and writes moves in the table service."""

    def __init__(self, *, tables: Tables) -> None:
        self._tables = tables

    def begin(self, move: Move) -> Move:
        """Store a move unless it exists, and return it as stored.

        :raises PlatformError: if the outcome is unknown; no order was given yet.
        """
        row = Insert(key=move.plan, value=_encode(move))
        try:
            self._tables.insert_many(MOVES_TABLE, [row])
        except PlatformUncertainError:
            # Inserting again writes the row, or leaves it if the first write did.
            self._tables.insert_many(MOVES_TABLE, [row])
        return self.load(move.plan)

    def load(self, plan_id: str) -> Move:
        """Read a move.

        :raises SettingsError: if the plan was not confirmed.
        :raises PlatformUnavailableError: if the service did not answer.
        """
        row = self._tables.read(MOVES_TABLE, plan_id)
        if row is None:
            raise SettingsError(f"plan {plan_id!r} was not confirmed", step="move")
        return self._decode(row)

    def save(self, move: Move, *, token: int, **changes: Any) -> Move:
        """Store the progress of a move and return the move as stored.

        :param token: fencing number of the lease under which it was made.
        :param changes: fields of the move that change.
        :raises LeaseLostError: if another holder wrote the row.
        :raises PlatformError: if the outcome is unknown; repeating the step is
            harmless.
        """
        changed = replace(move, token=token, **changes)
        try:
            version = self._tables.put(
                MOVES_TABLE, move.plan, _encode(changed), expected=move.row_version
            )
        except (ConflictError, PlatformUncertainError) as exc:
            return self._resolve_write(changed, exc)
        return replace(changed, row_version=version)

    def open_moves(self) -> tuple[Move, ...]:
        """Return the moves that a holder of the lease has to continue.

        :raises PlatformUnavailableError: if the service did not answer.
        """
        rows = self._tables.list_items(MOVES_TABLE)
        moves = [self._decode(row) for row in rows]
        return tuple(move for move in moves if move.is_open)

    def _resolve_write(self, changed: Move, exc: Exception) -> Move:
        row = self._tables.read(MOVES_TABLE, changed.plan)
        stored = self._decode(row)
        if replace(stored, row_version=0) == replace(changed, row_version=0):
            return stored
        # The row has changed since this holder read it: it was paused and would
        # overwrite its successor's progress.
        if isinstance(exc, ConflictError):
            raise LeaseLostError(
                "another holder changed the move", step="move"
            ) from exc
        raise exc

    def _decode(self, row: Row) -> Move:
        return replace(build(Move, row.value), row_version=row.version)


def _encode(move: Move) -> dict[str, Any]:
    document = json.loads(json.dumps(dataclasses.asdict(move)))
    del document["row_version"]
    return document
