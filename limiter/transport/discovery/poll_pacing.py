"""How long calls to discovery wait for a change, and how soon a call without a response has failed."""

from __future__ import annotations

from dataclasses import dataclass

# Shortest long poll of a discovery that all limiters share. It is short enough that a discovery which no
# longer responds is noticed soon.
MIN_LONG_POLL_MS = 4000
# Longest long poll, in a fleet of any size: a discovery that has died must be noticed in the end.
MAX_LONG_POLL_MS = 20000
# Calls of all limiters together while nothing changes. Discovery's capacity does not grow with the fleet.
MAX_CALLS_PER_SECOND = 4.0
# Time beyond the long poll after which a call has failed. It is below 2 s, after which a change counts as
# known to every limiter.
GRACE_SECONDS = 1.5
# Longest delay between two failed calls to a shared discovery.
MAX_BACKOFF_SECONDS = 1.0

# Where lists are pushed, an agent on this machine responds at once and at no cost. Its changes count as known
# immediately, so an agent that no longer responds must be noticed well within 250 ms, the shortest time in
# which sends have to stop.
PUSHED_LONG_POLL_MS = 1000
PUSHED_GRACE_SECONDS = 0.15

# Delay between a failed call and the next. It doubles with each further failure, up to the pacing's bound.
FIRST_BACKOFF_SECONDS = 0.05
# Long poll of the first call after a failure: it asks for what discovery knows already, without a wait.
CATCH_UP_POLL_MS = 1


@dataclass(frozen=True, slots=True)
class PollPacing:
    """Durations of the calls to discovery.

    Attributes:
        long_poll_ms: how long a call waits for a change.
        grace_seconds: time beyond the long poll after which a call has failed; also bounds a dial.
        max_backoff_seconds: longest delay between two failed calls.
        uses_local_agent: whether an agent on this machine is called. Its calls cost nothing, a full list
            costs no more than its changes, and no other limiter uses it.
    """

    long_poll_ms: int
    grace_seconds: float
    max_backoff_seconds: float
    uses_local_agent: bool

    @classmethod
    def for_fleet(cls, limiter_count: int, *, uses_local_agent: bool) -> PollPacing:
        """Choose the pacing for a fleet.

        Args:
            limiter_count: number of limiters that call the same discovery.
            uses_local_agent: whether each limiter has an agent of its own instead.
        """
        if uses_local_agent:
            return cls(
                PUSHED_LONG_POLL_MS, PUSHED_GRACE_SECONDS, FIRST_BACKOFF_SECONDS, uses_local_agent=True
            )
        fair_share_ms = round(1000 * limiter_count / MAX_CALLS_PER_SECOND)
        long_poll_ms = min(MAX_LONG_POLL_MS, max(MIN_LONG_POLL_MS, fair_share_ms))
        return cls(long_poll_ms, GRACE_SECONDS, MAX_BACKOFF_SECONDS, uses_local_agent=False)
