"""Connections to upstreams, peers and callers."""

from baobabwing.gateway import connection
from baobabwing.gateway.connection import open_connection
from tests.gateway.harness import GatewayHarness


def test_peer_is_named_although_its_connection_ended_as_it_opened(run, monkeypatch):
    """The kernel no longer returns the peer's address then."""

    async def scenario():
        async with GatewayHarness() as harness:
            address = harness.gateway.settings.callers
            connection_made = connection.HttpConnection.connection_made

            def connection_made_without_peer(conn, transport):
                connection_made(conn, transport)
                conn.peer = "?:0"

            monkeypatch.setattr(
                connection.HttpConnection,
                "connection_made",
                connection_made_without_peer,
            )
            conn = await open_connection(address, timeout_s=1.0, head_bytes=1024)
            assert conn.peer == address
            conn.close()

    run(scenario())
