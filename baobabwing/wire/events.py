"""Log events of the connections between nodes."""

from baobabwing.reports.events import define

__all__ = ["HANDSHAKE_REFUSED", "PEER_HANDLER_FAILED", "PEER_LOST"]

PEER_LOST = define(6001, "peer_connection_lost", "A connection to a peer ended.")
HANDSHAKE_REFUSED = define(
    6002,
    "peer_handshake_refused",
    "A peer did not prove that it knows a shared key; check peer_secrets.",
    level="warning",
)
PEER_HANDLER_FAILED = define(
    6003,
    "peer_message_failed",
    "A message of a peer could not be handled; the peer was told so.",
    level="error",
)
