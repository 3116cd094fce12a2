"""Numbered log events of the connections between nodes."""

from baobabwing.reports.events import define

__all__ = ["HANDSHAKE_REFUSED", "PEER_HANDLER_FAILED", "PEER_LOST"]

PEER_LOST = define(
    6001, "peer_connection_lost", "A connection to a peer was lost or closed."
)
HANDSHAKE_REFUSED = define(
    6002,
    "peer_handshake_refused",
    "A handshake with a peer failed; check that peer_secrets match on both nodes.",
    level="warning",
)
PEER_HANDLER_FAILED = define(
    6003,
    "peer_message_failed",
    "Handling a message from a peer raised an error; a failure was returned.",
    level="error",
)
