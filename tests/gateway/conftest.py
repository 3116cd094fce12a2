"""Fixtures for the tests of the gateway."""

import asyncio

import pytest


@pytest.fixture
def run():
    """Return the function that runs a test's coroutine until it ends."""
    return asyncio.run
