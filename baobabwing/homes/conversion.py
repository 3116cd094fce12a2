"""Conversion between permit messages and the data classes of cells."""

from __future__ import annotations

from baobabwing.pools.permits import (
    Decision,
    InflightPermit,
    PermitEnd,
    PlacementRequest,
    Refusal,
)
from baobabwing.wire.messages import (
    InflightAnswer,
    PermitDecision,
    PermitDone,
    PermitRequest,
)

__all__ = ["to_done", "to_inflight", "to_message", "to_placement_request"]


def to_placement_request(
    identity: str, message: PermitRequest, now: float
) -> PlacementRequest:
    """Return the placement request in a message.

    :param identity: ``name#incarnation`` of the entry that sent it.
    :param now: when the message arrived, in monotonic seconds.
    """
    return PlacementRequest(
        request_id=message.request_id,
        entry=identity,
        pool=message.cell.rpartition("/")[0],
        organisation=message.organisation,
        weight=message.weight,
        tier_rank=message.tier_rank,
        deadline=now + message.budget_ms / 1000,
        prompt_tokens=message.prompt_tokens,
        output_tokens=message.output_tokens,
        prefix=message.prefix,
        key=message.key,
        exclude=message.exclude,
    )


def to_done(message: PermitDone) -> PermitEnd:
    """Return the end of a permit's use that a message reports."""
    return PermitEnd(
        request_id=message.request_id,
        upstream=message.upstream,
        outcome=message.outcome,
        first_token_s=message.first_token_ms / 1000,
        tokens=message.tokens,
        duration_s=message.duration_ms / 1000,
        prompt_tokens=message.prompt_tokens,
        cached_tokens=message.cached_tokens,
    )


def to_message(decision: Decision) -> PermitDecision:
    """Return the message that sends a decision to its entry."""
    if isinstance(decision, Refusal):
        return PermitDecision(
            request_id=decision.request_id,
            granted=False,
            code=decision.code,
            retry_after_ms=int(decision.retry_after_s * 1000),
            hand_to=decision.hand_to,
        )
    return PermitDecision(
        request_id=decision.request_id,
        granted=True,
        upstream=decision.upstream,
        attempt=decision.attempt,
    )


def to_inflight(identity: str, answer: InflightAnswer) -> list[InflightPermit]:
    """Return the permits in use that an entry reports.

    :param identity: ``name#incarnation`` of the entry.
    """
    return [
        InflightPermit(
            request_id=item.request_id,
            entry=identity,
            upstream=item.upstream,
            key=item.key,
            prompt_tokens=item.prompt_tokens,
            output_tokens=item.output_tokens,
            organisation=item.organisation,
            tier_rank=item.tier_rank,
        )
        for item in answer.items
    ]
