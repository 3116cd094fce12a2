"""Log lines about availability zones that start or stop sending requests out."""

from __future__ import annotations

from baobabwing.gateway.decisions.scheduling import PoolScheduler
from baobabwing.gateway.events import ZONE_KEEPS_IN, ZONE_SENDS_OUT
from baobabwing.reports.events import log

__all__ = ["log_zone_changes"]


def log_zone_changes(
    scheduler: PoolScheduler, pool: str, cell: int | None = None
) -> None:
    """Log the zones that started or stopped sending out since the last call.

    :param cell: cell whose home decided; ``None`` if this node decided for its own
        requests.
    """
    for change in scheduler.zones.take_changes():
        log(
            ZONE_SENDS_OUT if change.sends_out else ZONE_KEEPS_IN,
            pool=pool,
            cell=cell,
            zone=_name(scheduler, change.zone),
            need=round(change.need, 2),
            gain=round(change.gain, 2),
        )


def _name(scheduler: PoolScheduler, zone: int) -> str:
    names = (
        track.entry.zone for track in scheduler.tracks.values() if track.zone == zone
    )
    return next(names, f"crc {zone}")
