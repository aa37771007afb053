"""Exponential backoff with jitter between two attempts to connect."""

from __future__ import annotations

import random

# Largest part by which a delay is longer or shorter, so that clients which failed together do not return
# together.
JITTER_FRACTION = 0.2


class Backoff:
    """Delays that double with each failure up to a bound, and start again after a success."""

    __slots__ = ("_delay_seconds", "_first_seconds", "_max_seconds")

    def __init__(self, first_seconds: float, max_seconds: float) -> None:
        """Begin with the first delay.

        Args:
            first_seconds: delay after the first failure, without its jitter.
            max_seconds: bound on the delays, without their jitter.
        """
        self._first_seconds = first_seconds
        self._max_seconds = max_seconds
        self._delay_seconds = first_seconds

    def next_delay_seconds(self) -> float:
        """Return the seconds to wait now, and double the delay for the next failure."""
        delay_seconds = self._delay_seconds * random.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)
        self._delay_seconds = min(self._max_seconds, 2 * self._delay_seconds)
        return delay_seconds

    def reset(self) -> None:
        """Begin with the first delay again."""
        self._delay_seconds = self._first_seconds
