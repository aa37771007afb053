"""Exponential backoff with jitter between connection attempts."""

from __future__ import annotations

import random

# Each delay is lengthened or shortened by up to this fraction, so that limiters that lose their connections
# at the same time do not reconnect at the same time.
JITTER_FRACTION = 0.2


class Backoff:
    """Computes delays that double with each failure up to a maximum and are reset after a success."""

    __slots__ = ("_delay_seconds", "_initial_delay_seconds", "_max_delay_seconds")

    def __init__(self, initial_delay_seconds: float, max_delay_seconds: float) -> None:
        """Start with the initial delay.

        Args:
            initial_delay_seconds: Delay after the first failure, before jitter.
            max_delay_seconds: Maximum delay, before jitter.
        """
        self._initial_delay_seconds = initial_delay_seconds
        self._max_delay_seconds = max_delay_seconds
        self._delay_seconds = initial_delay_seconds

    def next_delay_seconds(self) -> float:
        """Return the seconds to wait before the next attempt, and double the delay for the next failure."""
        delay_seconds = self._delay_seconds * random.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)
        self._delay_seconds = min(self._max_delay_seconds, 2 * self._delay_seconds)
        return delay_seconds

    def reset(self) -> None:
        """Return to the initial delay."""
        self._delay_seconds = self._initial_delay_seconds
