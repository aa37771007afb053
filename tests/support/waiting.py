"""Waiting for a condition, with patience for a busy machine."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

# Longest time that a condition may take to hold, which leaves room for a busy machine.
WAIT_TIMEOUT_SECONDS = 20.0
_CHECK_INTERVAL_SECONDS = 0.01


async def wait_until(condition: Callable[[], object], what: str = "the condition") -> None:
    """Wait until the condition holds.

    Args:
        condition: called again and again until it returns something true.
        what: the condition in words, for the message of the failure if it takes more than PATIENCE_SECONDS.
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, f"timed out waiting for: {what}"
        await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
