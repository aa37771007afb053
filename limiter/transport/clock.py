"""The clock that the policy's events are stamped with."""

from __future__ import annotations

import time


class Clock:
    """Unix time in milliseconds: read from the system once, then advanced by the monotonic clock.

    Counter keys hold an epoch of this time, so all limiters must agree on it. A step of the system's clock,
    though, must neither end requests early nor hold them for ever.
    """

    __slots__ = ("_offset_seconds",)

    def __init__(self) -> None:
        """Read the system's time."""
        self._offset_seconds = time.time() - time.monotonic()

    def __call__(self) -> float:
        """Return the time now, in milliseconds."""
        return (self._offset_seconds + time.monotonic()) * 1000.0
