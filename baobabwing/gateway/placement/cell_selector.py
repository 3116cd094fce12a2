"""Choice of the cell of a pool in which a request is queued."""

from __future__ import annotations

import time
from random import Random

from baobabwing.gateway.placement.cell_homes import CellPool
from baobabwing.gateway.placement.messages import CellKey, CellLoad

__all__ = ["CellSelector"]

# Cells of a pool that one node uses. Each node uses other ones; with all of them its
# reports to their homes would grow with the fleet.
_MAX_CELLS_PER_POOL = 8
# Age at which the reported load of a cell is stale.
_STATE_MAX_AGE_S = 1.0


class CellSelector:
    """Selects a cell of a pool by the load that the cells' homes last reported.

    :param node: number of this node; decides which cells of large pools it uses.
    :param rng: picks the candidate cells at random.
    """

    def __init__(self, *, node: int, rng: Random) -> None:
        self._node = node
        self._rng = rng
        self._states: dict[CellKey, tuple[CellLoad, float]] = {}

    def record(self, key: CellKey, state: CellLoad, now: float) -> None:
        """Record the load of a cell."""
        self._states[key] = (state, now)

    def choose(self, pool: CellPool, software: int = 0) -> CellKey | None:
        """Return the one with the shorter wait of two cells sampled by their size.

        :param software: CRC-32 of the version that an engine must have; 0 for any.
        :returns: ``None`` if no cell has such an engine.
        """
        indices = self._usable_cells(pool, software)
        if not indices:
            return None
        keys = [CellKey(pool=pool.crc, index=index) for index in indices]
        if len(keys) == 1:
            return keys[0]
        sizes = [max(len(pool.layout[index]), 1) for index in indices]
        candidates = self._rng.choices(keys, sizes, k=2)
        return min(candidates, key=self._wait_order)

    def state_of(self, pool: CellPool) -> CellLoad | None:
        """Return the load of a pool; ``None`` if no report is recent enough."""
        now = time.monotonic()
        fresh = [
            state
            for key, (state, received_at) in self._states.items()
            if key.pool == pool.crc and now - received_at < _STATE_MAX_AGE_S
        ]
        if not fresh:
            return None
        return CellLoad(
            queued=sum(state.queued for state in fresh),
            free=sum(state.free for state in fresh),
            turnover_s=min(state.turnover_s for state in fresh) / len(fresh),
        )

    def _usable_cells(self, pool: CellPool, software: int) -> list[int]:
        """Return the cells of a pool that this node uses."""
        indices = [
            index
            for index in range(len(pool.layout))
            if pool.has_software(index, software)
        ]
        if len(indices) > _MAX_CELLS_PER_POOL:
            Random(self._node).shuffle(indices)
        return indices[:_MAX_CELLS_PER_POOL]

    def _wait_order(self, key: CellKey) -> tuple[float, float]:
        """Return the expected wait in seconds, then the negated free slots.

        A cell without a recent report sorts as one without a wait and free slots.
        """
        state, received_at = self._states.get(key, (None, 0.0))
        if state is None or time.monotonic() - received_at > _STATE_MAX_AGE_S:
            return 0.0, 0.0
        return state.queued * state.turnover_s, -state.free
