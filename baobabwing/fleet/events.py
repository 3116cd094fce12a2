"""Numbered log events of the fleet."""

from __future__ import annotations

from baobabwing.reports.events import define

__all__ = [
    "CALLBACK_FAILED",
    "DATAGRAM_DROPPED",
    "MEMBER_BACK",
    "MEMBER_DEAD",
    "MEMBER_JOINED",
    "MEMBER_LEAVING",
    "MEMBER_LEFT",
    "MEMBER_REPLACED",
    "MEMBER_SUSPECTED",
    "OWN_DEATH_REFUTED",
    "OWN_PAUSE",
    "SEEDS_FAILED",
    "SUPERSEDED",
    "VERDICTS_HELD",
    "VERDICTS_RESUMED",
]

MEMBER_JOINED = define(3001, "member_joined", "A host joined the fleet.")
MEMBER_REPLACED = define(
    3002, "member_replaced", "A host was started anew; the old process is gone."
)
MEMBER_LEAVING = define(
    3003, "member_leaving", "A host takes no new work and will stop."
)
MEMBER_LEFT = define(3004, "member_left", "A host stopped as planned.")
MEMBER_DEAD = define(
    3005,
    "member_dead",
    "A host does not answer this node nor those that were asked to confirm it. "
    "Look at the host if the platform did not take it away.",
    level="warning",
)
MEMBER_BACK = define(
    3006, "member_back", "A host that was held for dead showed that it is not."
)
VERDICTS_HELD = define(
    3007,
    "verdicts_held",
    "Hosts do not answer, but nobody outside of this zone confirms that they are "
    "dead, so this node may itself be cut off. Look at its network first.",
    level="error",
)
VERDICTS_RESUMED = define(
    3008, "verdicts_resumed", "No verdict on a silent host is held back any more."
)
OWN_DEATH_REFUTED = define(
    3009,
    "own_death_refuted",
    "Others held this node for dead; it told them otherwise. It was paused, "
    "overloaded or cut off for a while.",
    level="warning",
)
SUPERSEDED = define(
    3010,
    "superseded",
    "Another process with this host's name was started later. Stop one of them.",
    level="error",
)
OWN_PAUSE = define(
    3011,
    "own_pause",
    "This process did not run for a while; what it was timing starts anew.",
    level="warning",
)
CALLBACK_FAILED = define(
    3012,
    "fleet_callback_failed",
    "A part of this node failed to take in news of the fleet.",
    level="error",
)
SEEDS_FAILED = define(
    3013,
    "seeds_failed",
    "The list of hosts could not be had; members already known are kept.",
    level="warning",
)
DATAGRAM_DROPPED = define(
    3014,
    "datagram_dropped",
    "A datagram was refused for the given reason; logged once a minute for each "
    "reason. Compare secrets and clocks of the two hosts.",
    level="warning",
)
MEMBER_SUSPECTED = define(
    3015,
    "member_suspected",
    "A host did not answer a probe nor those that were asked to try it.",
    level="debug",
)
