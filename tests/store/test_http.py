"""Answers of the platform that nobody could hold."""

import asyncio

import pytest

from baobabwing.exceptions import PlatformError
from baobabwing.store import http
from baobabwing.store.http import PlatformAnswer, PlatformHttp
from tests.gateway.endless_server import HEADS, EndlessServer


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
def test_answer_without_end_is_not_kept(head, method):
    async def story():
        async with EndlessServer(head) as endless:
            client = PlatformHttp(url=f"http://{endless.address}", timeout_s=5.0)
            with pytest.raises(PlatformError):
                await asyncio.to_thread(client.send, method, "/x", step="test")
            assert endless.sent <= http._MAX_ANSWER_BYTES + 8 * 1024 * 1024

    asyncio.run(story())


def test_answer_that_is_nested_too_deeply_is_refused():
    answer = PlatformAnswer(status=200, body=b"[" * 100_000)
    with pytest.raises(PlatformError):
        answer.json_object(step="test", peer="p")
