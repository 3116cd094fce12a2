"""Fixtures of the gateway's tests."""

import asyncio

import pytest


@pytest.fixture
def run():
    """Run a test's coroutine to its end."""
    return asyncio.run
