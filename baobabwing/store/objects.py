"""Client of the object store."""

from __future__ import annotations

from baobabwing.store.http import PlatformHttp, quote

__all__ = ["read_object", "write_object"]

_OK = 200
_ACCEPTED = (200, 201, 204)
_NOT_FOUND = 404


def read_object(key: str, *, url: str, timeout_s: float) -> bytes | None:
    """Read an object.

    :returns: its bytes, or ``None`` if it does not exist.
    :raises PlatformUnavailableError: if the store did not answer.
    """
    http = PlatformHttp(url=url, timeout_s=timeout_s)
    answer = http.send("GET", f"/objects/{quote(key)}", step="object read")
    if answer.status == _NOT_FOUND:
        return None
    if answer.status != _OK:
        raise http.unexpected_answer(f"status {answer.status}", step="object read")
    return answer.body


def write_object(key: str, data: bytes, *, url: str, timeout_s: float) -> None:
    """Write an object; repeating the call has no further effect.

    :raises PlatformUnavailableError: if the write had no effect.
    :raises PlatformUncertainError: if the write may have had effect.
    """
    http = PlatformHttp(url=url, timeout_s=timeout_s)
    path = f"/objects/{quote(key)}"
    answer = http.send("PUT", path, step="object write", body=data)
    if answer.status not in _ACCEPTED:
        raise http.unexpected_answer(f"status {answer.status}", step="object write")
