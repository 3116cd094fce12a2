"""Client of the weight store, which limits the rate of loads."""

from __future__ import annotations

from dataclasses import dataclass

from baobabwing.store.http import PlatformHttp, quote

__all__ = ["WeightGrant", "request_weights"]

_ACCEPTED = (200, 201, 202, 204)
_TOO_MANY_REQUESTS = 429
_DEFAULT_RETRY_S = 1.0


@dataclass(frozen=True, kw_only=True)
class WeightGrant:
    """Whether the weight store permits a load now.

    :param retry_after_s: how long to wait before the next request if not.
    """

    granted: bool
    retry_after_s: float = 0.0


def request_weights(model: str, *, url: str, timeout_s: float) -> WeightGrant:
    """Request one load of a model's weights.

    :raises PlatformUnavailableError: if the request had no effect.
    :raises PlatformUncertainError: if the answer was lost; the load may count
        against the limit.
    """
    http = PlatformHttp(
        url=url, timeout_s=timeout_s, returned_statuses=(_TOO_MANY_REQUESTS,)
    )
    answer = http.send("POST", f"/weights/{quote(model)}", step="weights", body=b"")
    if answer.status == _TOO_MANY_REQUESTS:
        wait_s = answer.retry_after_s or _DEFAULT_RETRY_S
        return WeightGrant(granted=False, retry_after_s=wait_s)
    if answer.status not in _ACCEPTED:
        raise http.unexpected_answer(f"status {answer.status}", step="weights")
    return WeightGrant(granted=True)
