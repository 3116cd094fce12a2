"""Every error that baobabwing raises, under one root."""

__all__ = [
    "BaobabwingError",
    "ConfigurationError",
    "ConflictError",
    "ConnectionLostError",
    "DescriptorShortageError",
    "EndlessAnswerError",
    "MalformedError",
    "NoRoomError",
    "NoSlotError",
    "NotAdmittedError",
    "PeerClosedError",
    "PeerError",
    "PlatformError",
    "PlatformUnavailableError",
    "PlatformUncertainError",
    "PortUnavailableError",
    "RequestError",
    "SettingsError",
    "UnresponsiveError",
    "UpstreamError",
    "WireError",
]


class BaobabwingError(Exception):
    """Root of all errors of the package.

    :param message: what went wrong, in one sentence without secrets.
    :param step: the step at which it arose, such as ``"permit"``.
    :param peer: the process that was spoken to, or an empty string.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = "".join(
            f" [{name}={value}]"
            for name, value in (("step", self.step), ("peer", self.peer))
            if value
        )
        return f"{self.message}{where}"


class SettingsError(BaobabwingError):
    """A settings file or configuration document cannot be taken."""


class ConfigurationError(BaobabwingError):
    """No configuration is to be had, or it would go back to a lower version."""


class ConflictError(BaobabwingError):
    """Somebody else changed the same thing first."""


class RequestError(BaobabwingError):
    """A caller's request is refused before anything was dispatched.

    :param status: HTTP status of the answer.
    :param code: stable, documented word for programs.
    :param field: the field of the request that is at fault, if one is.
    :param retry_after_s: when to come back, where that makes sense.
    """

    def __init__(
        self,
        message: str,
        *,
        status: int,
        code: str,
        field: str = "",
        retry_after_s: float | None = None,
        step: str = "request",
        peer: str = "",
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.retry_after_s = retry_after_s
        self.status = status
        self.code = code
        self.field = field


class UpstreamError(BaobabwingError):
    """An upstream failed after a request may have reached it."""


class NotAdmittedError(UpstreamError):
    """An upstream refused a request explicitly, before running any of it."""


class NoSlotError(BaobabwingError):
    """A request would not get its place at an upstream while it is of use.

    :param retry_after_s: when there will probably be places again.
    """

    def __init__(
        self, message: str, *, retry_after_s: float, step: str = "", peer: str = ""
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.retry_after_s = retry_after_s


class PeerError(BaobabwingError):
    """Another node could not be reached or did not answer in time."""


class PortUnavailableError(BaobabwingError):
    """A port of this node could not be opened at its start."""


class ConnectionLostError(BaobabwingError):
    """A connection could not be made, or ended before the message on it did."""


class DescriptorShortageError(ConnectionLostError):
    """No socket can be opened here, which tells nothing of the other side."""


class PeerClosedError(ConnectionLostError):
    """The other side ended or reset a connection; it did not just fall silent."""


class ConnectionRefusedByPeerError(ConnectionLostError):
    """An address refused a connection, to this node or to the one that was asked."""


class UnresponsiveError(ConnectionLostError):
    """Nothing came on a connection for too long; it is open and may still work."""


class MalformedError(BaobabwingError):
    """A peer sent bytes that are no message of its protocol.

    :param status: HTTP status that tells a caller what is wrong.
    """

    def __init__(
        self, message: str, *, status: int = 400, step: str = "", peer: str = ""
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.status = status


class EndlessAnswerError(MalformedError):
    """An upstream sends more than an answer may have, as if it never ended."""


class NoRoomError(BaobabwingError):
    """More bytes came for a request than this node can keep at the moment."""


class WireError(BaobabwingError):
    """A message between nodes is malformed, too large or not authentic."""


class PlatformError(BaobabwingError):
    """The platform refused an operation."""


class PlatformUnavailableError(PlatformError):
    """The platform did not take the operation; it had no effect."""


class PlatformUncertainError(PlatformError):
    """The answer of the platform was lost; the operation may have had effect."""
