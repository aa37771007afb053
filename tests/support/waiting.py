"""Waits for a condition, with a timeout that is long enough for a busy machine."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

# Maximum time to wait for a condition, long enough for a busy machine.
WAIT_TIMEOUT_SECONDS = 20.0
_CHECK_INTERVAL_SECONDS = 0.01


async def wait_until(condition: Callable[[], object], description: str = "the condition") -> None:
    """Wait until the condition holds.

    Args:
        condition: polled until it returns a true value.
        description: the condition in words, for the message of the assertion that fails after
            WAIT_TIMEOUT_SECONDS.
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, f"timed out waiting for: {description}"
        await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
