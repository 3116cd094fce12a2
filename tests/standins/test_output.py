import subprocess
import sys

import pytest

from baobabwing.standins.blocks import prefix_blocks
from baobabwing.standins.output import text, token


def words(count, start=0):
    return " ".join(f"w{i}" for i in range(start, start + count))


def test_text_is_its_tokens_joined_by_spaces():
    assert text("a prompt", 5).split(" ") == [token("a prompt", i) for i in range(5)]


def test_tokens_differ_by_prompt_and_position():
    tokens = {token(f"prompt {p}", i) for p in range(50) for i in range(50)}
    assert len(tokens) >= 2498  # tokens have 28 bits, so a few collisions are possible


@pytest.mark.parametrize(
    ("count", "blocks"), [(0, 0), (63, 0), (64, 1), (127, 1), (128, 2)]
)
def test_only_full_blocks_have_a_digest(count, blocks):
    assert len(prefix_blocks(words(count))) == blocks


def test_equal_prefixes_have_equal_digests_and_others_have_none_in_common():
    first = prefix_blocks(words(192))
    longer = prefix_blocks(words(300))
    other = prefix_blocks("x " + words(191, start=1))
    assert longer[:3] == first
    assert not set(other) & set(first)
    assert all(0 <= digest < 2**64 for digest in longer)


def test_output_and_digests_are_the_same_in_another_process():
    prompt = words(64)
    code = (
        "from baobabwing.standins.output import text\n"
        "from baobabwing.standins.blocks import prefix_blocks\n"
        f"print(text({prompt!r}, 4), *prefix_blocks({prompt!r}))"
    )
    command = [sys.executable, "-c", code]
    printed = subprocess.run(command, capture_output=True, text=True, check=True)
    assert printed.stdout.split() == [
        *text(prompt, 4).split(),
        *map(str, prefix_blocks(prompt)),
    ]
