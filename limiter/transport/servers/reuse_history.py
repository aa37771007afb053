"""Tracks how often reused connections are reset, by the time for which they were idle."""

from __future__ import annotations

import math

# Idle times are grouped into buckets. This is the upper bound of the first bucket; the bound of each further
# bucket is twice that of the previous one.
FIRST_BUCKET_MAX_IDLE_SECONDS = 0.05
BUCKET_COUNT = 16
# Weight of the newest sample in the exponential moving average of its bucket.
MOVING_AVERAGE_WEIGHT = 0.05
# A connection is not reused if the reset fraction of its bucket exceeds that of the first bucket by more than
# this.
MAX_EXCESS_RESET_FRACTION = 0.15
# Relative decrease of a bucket's reset fraction on each refused reuse, so that reuse is eventually retried.
DECAY_FRACTION_PER_REFUSAL = 0.02
# Shorter idle times are treated as this value, which keeps the logarithm finite.
MIN_IDLE_SECONDS = 1e-3


class ReuseHistory:
    """Moving average of the fraction of reused connections that were reset, by idle time.

    Servers close idle connections after their own timeouts, well before the keepalive time in the settings.
    A request written on such a connection is reset: the server may have executed the request, and the reset
    uses up one of the request's attempts.
    """

    __slots__ = ("_reset_fractions",)

    def __init__(self) -> None:
        """Create a history without recorded resets, which permits every reuse."""
        self._reset_fractions = [0.0] * BUCKET_COUNT

    def record(self, idle_seconds: float, was_reset: bool) -> None:
        """Record whether a connection that was reused after `idle_seconds` was reset."""
        bucket = _find_bucket(idle_seconds)
        self._reset_fractions[bucket] += MOVING_AVERAGE_WEIGHT * (was_reset - self._reset_fractions[bucket])

    def permits_reuse(self, idle_seconds: float) -> bool:
        """Return whether a connection may be reused after `idle_seconds`.

        Each refusal lowers the recorded reset fraction, so that reuse is eventually permitted again.
        """
        bucket = _find_bucket(idle_seconds)
        if self._reset_fractions[bucket] <= self._reset_fractions[0] + MAX_EXCESS_RESET_FRACTION:
            return True
        self._reset_fractions[bucket] *= 1 - DECAY_FRACTION_PER_REFUSAL
        return False


def _find_bucket(idle_seconds: float) -> int:
    doublings = math.log2(max(idle_seconds, MIN_IDLE_SECONDS) / FIRST_BUCKET_MAX_IDLE_SECONDS)
    return min(BUCKET_COUNT - 1, max(0, math.ceil(doublings)))
