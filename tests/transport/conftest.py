"""Fixtures of the transport tests: a running limiter process, and a timeout for each asynchronous test."""

from __future__ import annotations

import asyncio
import functools
import inspect
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import pytest

from tests.support.harness import HarnessOptions, LimiterHarness, get_marked_options, running_limiter
from tests.support.waiting import WAIT_TIMEOUT_SECONDS

# Timeout of an asynchronous test. Without it, a test would wait forever for an event that does not occur. It
# leaves room for three waits of the longest duration that a busy machine may need.
TEST_TIMEOUT_SECONDS = 3 * WAIT_TIMEOUT_SECONDS


def _add_timeout(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., Coroutine[Any, Any, None]]:
    @functools.wraps(test)
    async def test_with_timeout(**fixtures: Any) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await test(**fixtures)

    return test_with_timeout


def pytest_itemcollected(item: pytest.Item) -> None:
    """Apply the timeout to each asynchronous test of this package; it does not cover the fixtures."""
    if isinstance(item, pytest.Function) and inspect.iscoroutinefunction(item.obj):
        item.obj = _add_timeout(item.obj)


@pytest.fixture
def harness_options(request: pytest.FixtureRequest) -> HarnessOptions:
    """Return the options of the test's harness, as set by its `limiter_with` mark."""
    return get_marked_options(request.node)


@pytest.fixture
async def harness(harness_options: HarnessOptions) -> AsyncIterator[LimiterHarness]:
    """Run a limiter process between fake peers; a test sets its options with `limiter_with`."""
    async with running_limiter(**harness_options) as running:
        yield running
