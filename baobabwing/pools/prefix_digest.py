"""Chained digests of the blocks of a prompt."""

from __future__ import annotations

from hashlib import blake2b

__all__ = ["BLOCK_TOKENS", "prompt_prefix"]

BLOCK_TOKENS = 64
_DIGEST_BYTES = 8


def prompt_prefix(text: str) -> tuple[int, ...]:
    """Return one 64-bit digest for each whole block of a prompt.

    A digest covers its block and all blocks before it, so that two prompts
    share a digest only if they are equal up to the end of its block.

    :param text: the prompt; each whitespace-separated word counts as a token.
    :returns: digests, first block first; an incomplete last block has none.

    Notes: linear in the length of the text.
    """
    words = text.split()
    previous = bytes(_DIGEST_BYTES)
    digests = []
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = " ".join(words[start : start + BLOCK_TOKENS])
        data = previous + block.encode()
        previous = blake2b(data, digest_size=_DIGEST_BYTES).digest()
        digests.append(int.from_bytes(previous, "big"))
    return tuple(digests)
