"""How often reused connections are reset, by the time for which they were idle."""

from __future__ import annotations

import math

YOUNGEST_SPAN_SECONDS = 0.05  # idle ages are grouped in spans: up to this one, and each twice the last
SPAN_COUNT = 16
RESET_SHARE_WEIGHT = 0.05  # of the newest reuse in the moving average of its span
MAX_EXCESS_RESET_SHARE = 0.15  # over the youngest span's; a span beyond that is not reused
DECAY_PER_SKIP = 0.02  # part of the reset share that each skipped reuse takes off, so that it is tried again


class ReuseHistory:
    """Moving average of the share of resets among reuses of idle connections, by idle age.

    Servers close idle connections after timeouts of their own, well before the keepalive that the settings
    name. A request written meanwhile is reset: it may have run, and costs its client one of its attempts.
    """

    __slots__ = ("_reset_shares",)

    def __init__(self) -> None:
        """Start with no reset in any span."""
        self._reset_shares = [0.0] * SPAN_COUNT

    def record(self, idle_seconds: float, was_reset: bool) -> None:
        """Count one reuse of a connection that was idle for so long."""
        span = _span_of(idle_seconds)
        self._reset_shares[span] += RESET_SHARE_WEIGHT * (was_reset - self._reset_shares[span])

    def permits_reuse(self, idle_seconds: float) -> bool:
        """Whether a connection idle for so long may be reused; each refusal makes the next less likely."""
        span = _span_of(idle_seconds)
        if self._reset_shares[span] <= self._reset_shares[0] + MAX_EXCESS_RESET_SHARE:
            return True
        self._reset_shares[span] *= 1 - DECAY_PER_SKIP
        return False


def _span_of(idle_seconds: float) -> int:
    span = math.ceil(math.log2(max(idle_seconds, 1e-3) / YOUNGEST_SPAN_SECONDS))
    return min(SPAN_COUNT - 1, max(0, span))
