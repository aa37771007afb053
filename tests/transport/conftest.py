"""Fixtures of the transport's tests: a running limiter, and a bound on the time of each asynchronous test."""

from __future__ import annotations

import asyncio
import functools
import inspect
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import pytest

from tests.support.harness import HarnessOptions, LimiterHarness, get_marked_options, running_limiter
from tests.support.waiting import WAIT_TIMEOUT_SECONDS

# Longest time that an asynchronous test may take. Without it, a test would wait for ever for an event that
# does not come. Three waits, each as long as it may take on a busy machine, fit into it.
TEST_TIMEOUT_SECONDS = 3 * WAIT_TIMEOUT_SECONDS


def _with_timeout(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., Coroutine[Any, Any, None]]:
    @functools.wraps(test)
    async def bounded_test(**fixtures: Any) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await test(**fixtures)

    return bounded_test


def pytest_itemcollected(item: pytest.Item) -> None:
    """Bound the time of each asynchronous test of this package, that of its fixtures aside."""
    if isinstance(item, pytest.Function) and inspect.iscoroutinefunction(item.obj):
        item.obj = _with_timeout(item.obj)


@pytest.fixture
def harness_options(request: pytest.FixtureRequest) -> HarnessOptions:
    """Return the options that the test's `limiter_with` mark gives to its harness."""
    return get_marked_options(request.node)


@pytest.fixture
async def harness(harness_options: HarnessOptions) -> AsyncIterator[LimiterHarness]:
    """Run a limiter process between fakes; a test chooses its options with `limiter_with`."""
    async with running_limiter(**harness_options) as running:
        yield running
