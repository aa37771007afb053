"""Clock that provides the timestamps of the policy's events."""

from __future__ import annotations

import time


class Clock:
    """Unix time in milliseconds: read from the system clock once, then advanced by the monotonic clock.

    Counter keys contain an epoch that is computed from this time, so the clocks of all limiters must agree.
    If the system clock is stepped later, requests must neither end early nor stay open forever, so the step
    is ignored.
    """

    __slots__ = ("_offset_seconds",)

    def __init__(self) -> None:
        """Read the system clock."""
        self._offset_seconds = time.time() - time.monotonic()

    def __call__(self) -> float:
        """Return the current Unix time in milliseconds."""
        return (self._offset_seconds + time.monotonic()) * 1000.0
