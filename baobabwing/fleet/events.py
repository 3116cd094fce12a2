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
    3002, "member_replaced", "A host was restarted; its old process no longer counts."
)
MEMBER_LEAVING = define(
    3003, "member_leaving", "A host accepts no new work and will stop."
)
MEMBER_LEFT = define(
    3004, "member_left", "A host stopped as planned and left the fleet."
)
MEMBER_DEAD = define(
    3005,
    "member_dead",
    "A host answers neither this node nor the members that were asked to confirm "
    "it. Check the host unless the platform removed it.",
    level="warning",
)
MEMBER_BACK = define(
    3006,
    "member_back",
    "A host that was declared dead has refuted it and is a member again.",
)
VERDICTS_HELD = define(
    3007,
    "verdicts_held",
    "Hosts do not answer, but too few members in other availability zones confirm "
    "it, so this node may itself be partitioned. Check its network first.",
    level="error",
)
VERDICTS_RESUMED = define(
    3008,
    "verdicts_resumed",
    "No decision on an unresponsive host is held back any more.",
)
OWN_DEATH_REFUTED = define(
    3009,
    "own_death_refuted",
    "Other members declared this node dead and it refuted that. It was paused, "
    "overloaded or partitioned for a while.",
    level="warning",
)
SUPERSEDED = define(
    3010,
    "superseded",
    "Another process with this host's name has started later. Stop one of them.",
    level="error",
)
OWN_PAUSE = define(
    3011,
    "own_pause",
    "This process was paused for a while; it restarts the probes in progress.",
    level="warning",
)
CALLBACK_FAILED = define(
    3012,
    "fleet_callback_failed",
    "Handling a datagram or a membership change raised an error in this node.",
    level="error",
)
SEEDS_FAILED = define(
    3013,
    "seeds_failed",
    "The list of hosts could not be read; known members are kept.",
    level="warning",
)
DATAGRAM_DROPPED = define(
    3014,
    "datagram_dropped",
    "A datagram was dropped for the given reason; logged at most once a minute for "
    "each reason. Compare the secrets and clocks of the two hosts.",
    level="warning",
)
MEMBER_SUSPECTED = define(
    3015,
    "member_suspected",
    "A host answered neither direct nor indirect probes and is now suspect.",
    level="debug",
)
