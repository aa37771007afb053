"""How often reused connections are reset, by the time for which they were idle."""

from __future__ import annotations

import math

# Idle times are grouped in spans: the first ends at this time, each further one at twice the end of the last.
FIRST_SPAN_SECONDS = 0.05
SPAN_COUNT = 16
# Weight of the newest reuse in the moving average of its span.
NEWEST_REUSE_WEIGHT = 0.05
# By how much the reset share of a span may exceed that of the first span. Beyond that it is not reused.
MAX_EXCESS_RESET_SHARE = 0.15
# Part of a span's reset share that each refused reuse takes off, so that the span is tried again in the end.
DECAY_PER_REFUSAL = 0.02
# Shorter idle times count as this one, which keeps the logarithm finite.
MIN_IDLE_SECONDS = 1e-3


class ReuseHistory:
    """Moving average of the share of resets among reuses of idle connections, by idle time.

    Servers close idle connections after timeouts of their own, well before the keepalive that the settings
    name. A request written meanwhile is reset: it may have run, and costs its client one of its attempts.
    """

    __slots__ = ("_reset_shares",)

    def __init__(self) -> None:
        """Assume no resets until some are recorded."""
        self._reset_shares = [0.0] * SPAN_COUNT

    def record(self, idle_seconds: float, was_reset: bool) -> None:
        """Count one reuse of a connection that was idle for so long."""
        span = _span_of(idle_seconds)
        self._reset_shares[span] += NEWEST_REUSE_WEIGHT * (was_reset - self._reset_shares[span])

    def permits_reuse(self, idle_seconds: float) -> bool:
        """Whether a connection idle for so long may be reused; each refusal makes the next less likely."""
        span = _span_of(idle_seconds)
        if self._reset_shares[span] <= self._reset_shares[0] + MAX_EXCESS_RESET_SHARE:
            return True
        self._reset_shares[span] *= 1 - DECAY_PER_REFUSAL
        return False


def _span_of(idle_seconds: float) -> int:
    doublings = math.log2(max(idle_seconds, MIN_IDLE_SECONDS) / FIRST_SPAN_SECONDS)
    return min(SPAN_COUNT - 1, max(0, math.ceil(doublings)))
