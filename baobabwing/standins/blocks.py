"""Digests of prompt blocks, the keys of the engines' prefix caches."""

from __future__ import annotations

from hashlib import blake2b

__all__ = ["BLOCK_TOKENS", "prefix_blocks"]

BLOCK_TOKENS = 64
_DIGEST_BYTES = 8


def prefix_blocks(text: str, block_tokens: int = BLOCK_TOKENS) -> tuple[int, ...]:
    """Return the chained digests of all full blocks of a prompt.

    A digest covers its block and all blocks before it, so equal digests mean
    equal prefixes. An incomplete last block has no digest. The digests are the
    same in every process. Takes time linear in the length of the text.

    :param text: the prompt; each word counts as one token.
    :param block_tokens: number of tokens in a block.
    :returns: one unsigned 64-bit number per block.
    """
    words = text.split()
    digests = []
    chain = bytes(_DIGEST_BYTES)
    for start in range(0, len(words) - block_tokens + 1, block_tokens):
        block = " ".join(words[start : start + block_tokens])
        chain = blake2b(chain + block.encode(), digest_size=_DIGEST_BYTES).digest()
        digests.append(int.from_bytes(chain, "big"))
    return tuple(digests)
