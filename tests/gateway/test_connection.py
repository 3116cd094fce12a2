"""Connections to upstreams, peers and callers."""

from baobabwing.gateway import connection
from baobabwing.gateway.connection import open_connection
from tests.gateway.bed import Bed


def test_peer_is_named_although_its_connection_ended_as_it_opened(run, monkeypatch):
    """The system no longer tells a socket's peer then."""

    async def story():
        async with Bed() as bed:
            address = bed.gateway.settings.callers
            made = connection.HttpConnection.connection_made

            def unnamed(conn, transport):
                made(conn, transport)
                conn.peer = "?:0"

            monkeypatch.setattr(connection.HttpConnection, "connection_made", unnamed)
            conn = await open_connection(address, timeout_s=1.0, head_bytes=1024)
            assert conn.peer == address
            conn.close()

    run(story())
