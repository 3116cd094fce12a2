"""Output determined by the prompt alone, so that transcripts can be checked."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

__all__ = ["prompt_seed", "seeded_token", "text", "token"]

_MASK_64 = (1 << 64) - 1
_STEP = 0x9E3779B97F4A7C15
_MIX = 0xD6E8FEB86659FD93


@lru_cache(maxsize=1024)
def prompt_seed(prompt_text: str) -> int:
    """Return the 64-bit seed from which all tokens of an answer are derived.

    :param prompt_text: the prompt, or a chat's contents joined by newlines.
    :returns: the same number in every process.
    """
    digest = blake2b(prompt_text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def seeded_token(seed: int, index: int) -> str:
    """Return token ``index`` of the answer for a seed.

    Takes constant time, so that an engine can produce each token when it is due.

    :param seed: number from :func:`prompt_seed`.
    :param index: position in the answer, from 0.
    :returns: one word without whitespace.
    """
    mixed = (seed + index * _STEP) & _MASK_64
    mixed ^= mixed >> 32
    mixed = (mixed * _MIX) & _MASK_64
    return f"t{mixed >> 36:07x}"


def token(prompt_text: str, index: int) -> str:
    """Return token ``index`` of the answer to a prompt."""
    return seeded_token(prompt_seed(prompt_text), index)


def text(prompt_text: str, count: int) -> str:
    """Return an answer of ``count`` tokens, joined by single spaces."""
    seed = prompt_seed(prompt_text)
    return " ".join(seeded_token(seed, index) for index in range(count))
