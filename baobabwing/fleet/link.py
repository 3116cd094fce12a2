"""The UDP socket of a node: authenticated, numbered and counted datagrams."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from baobabwing.exceptions import PeerError, WireError
from baobabwing.fleet.counters import DropReason, LinkCounters
from baobabwing.fleet.events import DATAGRAM_DROPPED
from baobabwing.reports.events import log
from baobabwing.wire.authentication import TAG_BYTES, open_sealed, seal
from baobabwing.wire.datagram import MAX_DATAGRAM_BYTES, Datagram, decode, encode

__all__ = ["PAYLOAD_BYTES", "ReceivedDatagram", "DatagramLink", "open_udp_socket"]

PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - TAG_BYTES
_PURPOSE = b"membership"
_POLL_S = 0.5
_LOG_EVERY_S = 60.0
_NS_PER_US = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class ReceivedDatagram:
    """An authenticated datagram and the address that it came from."""

    datagram: Datagram
    address: str


def open_udp_socket(address: str) -> socket.socket:
    """Bind a UDP socket to ``ip:port``."""
    ip, port = _parse_address(address)
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    try:
        sock.bind((ip, port))
    except OSError:
        sock.close()
        raise
    return sock


class DatagramLink:
    """Sends and receives datagrams of the membership protocol.

    :param address: ``ip:port`` to bind; port 0 binds any free port.
    :param secrets: the first one authenticates sent datagrams; a received
        datagram may be authenticated with any of them.
    :param socket_factory: returns a bound socket for an address.
    :param codec: name of the datagram codec; the same on all nodes.
    """

    def __init__(
        self,
        *,
        address: str,
        secrets: Sequence[bytes],
        socket_factory: Callable[[str], Any],
        codec: str = "capnp",
    ) -> None:
        self.counters = LinkCounters()
        self._secrets = tuple(secrets)
        self._codec = codec
        self._lock = threading.Lock()
        self._sequence = 0
        self._logged_at: dict[DropReason, float] = {}
        try:
            self._sock = socket_factory(address)
        except OSError as exc:
            raise PeerError(
                f"cannot bind the address: {exc}", step="bind", peer=address
            ) from exc
        self._sock.settimeout(_POLL_S)
        self.address = _format_address(self._sock.getsockname())

    def next_sequence(self) -> int:
        """Return the clock in microseconds, or the last sequence + 1 if higher."""
        with self._lock:
            self._sequence = max(self._sequence + 1, now_us())
            return self._sequence

    def send(self, datagram: Datagram, address: str) -> bool:
        """Send one datagram; return false, count and log it if that fails."""
        try:
            payload = encode(datagram, codec=self._codec)
            sealed = seal(self._secrets, payload, purpose=_PURPOSE)
            if len(sealed) > MAX_DATAGRAM_BYTES:
                raise WireError("datagram is too large", step="send", peer=address)
            self._sock.sendto(sealed, _parse_address(address))
        except (OSError, ValueError, WireError) as exc:
            self.drop(DropReason.SEND_FAILED, address, detail=type(exc).__name__)
            return False
        self.counters.add_sent(len(sealed))
        return True

    def receive(self) -> ReceivedDatagram | None:
        """Wait for a datagram, at most half a second.

        :returns: ``None`` when none arrived or it was dropped.
        """
        try:
            data, source = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
        except OSError:
            return None
        if not data:
            return None
        self.counters.add_received(len(data))
        return self._verify_and_decode(data, _format_address(source))

    def drop(self, reason: DropReason, address: str, *, detail: str = "") -> None:
        """Count a dropped datagram, and log at most one per minute and reason."""
        self.counters.add_dropped(reason)
        now = time.monotonic()
        last = self._logged_at.get(reason)
        if last is None or now - last > _LOG_EVERY_S:
            self._logged_at[reason] = now
            log(DATAGRAM_DROPPED, reason=reason.value, peer=address, detail=detail)

    def wake(self) -> None:
        """Make a thread that waits in :meth:`receive` return now."""
        with contextlib.suppress(OSError):
            self._sock.sendto(b"", _parse_address(self.address))

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()

    def _verify_and_decode(self, data: bytes, address: str) -> ReceivedDatagram | None:
        if len(data) > MAX_DATAGRAM_BYTES:
            self.drop(DropReason.OVERSIZED, address)
            return None
        try:
            payload = open_sealed(self._secrets, data, purpose=_PURPOSE)
        except WireError:
            self.drop(DropReason.FORGED, address)
            return None
        try:
            datagram = decode(payload, codec=self._codec)
            return ReceivedDatagram(datagram=datagram, address=address)
        except WireError:
            self.drop(DropReason.MALFORMED, address)
            return None


def now_us() -> int:
    """Return the wall clock in microseconds."""
    return time.time_ns() // _NS_PER_US


def _parse_address(address: str) -> tuple[str, int]:
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)


def _format_address(name: tuple) -> str:
    ip, port = name[0], name[1]
    return f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"
