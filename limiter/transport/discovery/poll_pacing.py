"""Timing of the calls to discovery: long poll duration, timeouts and backoff."""

from __future__ import annotations

from dataclasses import dataclass

# Shortest long poll to a discovery that all limiters share. It is short enough to detect an unresponsive
# discovery quickly.
MIN_LONG_POLL_MS = 4000
# Longest long poll, regardless of the size of the fleet: a dead discovery has to be detected eventually.
MAX_LONG_POLL_MS = 20000
# Limit on the calls of all limiters together while the list does not change. Discovery's capacity does not
# grow with the fleet.
MAX_FLEET_CALLS_PER_SECOND = 4.0
# Time after the end of the long poll after which a call has failed. It is below 2 s, the time after which a
# change is considered known to every limiter.
RESPONSE_GRACE_SECONDS = 1.5
# The same for a call that does not follow a successful one. It is longer, so that the list is received from a
# discovery whose responses take longer than RESPONSE_GRACE_SECONDS. Together with the backoff before the next
# call and the time of its response, it is below 6 s, within which a change has to be known after an outage.
CATCH_UP_RESPONSE_GRACE_SECONDS = 2.5
# Longest backoff after a failed call to a shared discovery.
MAX_BACKOFF_SECONDS = 1.0

# If lists are pushed, an agent on this host responds immediately and at no cost. Its changes are considered
# known immediately, so an unresponsive agent has to be detected well within 250 ms, the shortest time within
# which sending to a server has to stop.
LOCAL_AGENT_LONG_POLL_MS = 1000
LOCAL_AGENT_RESPONSE_GRACE_SECONDS = 0.15

# Backoff after a first failed call. It doubles with each further failure, up to the maximum of the pacing.
FIRST_BACKOFF_SECONDS = 0.05
# Long poll of the first call after a failure: it returns what discovery already knows without waiting for a
# change.
CATCH_UP_POLL_MS = 1


@dataclass(frozen=True, slots=True)
class PollPacing:
    """Long poll duration, timeouts and backoff of the calls to discovery.

    Attributes:
        long_poll_ms: How long discovery holds a call while there is no change.
        grace_seconds: Time after the end of the long poll after which a call has failed; also limits a dial.
        catch_up_grace_seconds: The same for a call that does not follow a successful one.
        max_backoff_seconds: Longest backoff after a failed call.
        uses_local_agent: Whether an agent on this host is called. Its calls cost nothing, a full list costs
            no more than the changes, and no other limiter uses it.
    """

    long_poll_ms: int
    grace_seconds: float
    catch_up_grace_seconds: float
    max_backoff_seconds: float
    uses_local_agent: bool

    @classmethod
    def for_fleet(cls, limiter_count: int, *, uses_local_agent: bool) -> PollPacing:
        """Return the pacing for a fleet of limiters.

        Args:
            limiter_count: Number of limiters that call the same discovery.
            uses_local_agent: Whether each limiter calls an agent on its own host instead.
        """
        if uses_local_agent:
            return cls(
                LOCAL_AGENT_LONG_POLL_MS,
                LOCAL_AGENT_RESPONSE_GRACE_SECONDS,
                LOCAL_AGENT_RESPONSE_GRACE_SECONDS,
                FIRST_BACKOFF_SECONDS,
                uses_local_agent=True,
            )
        min_poll_for_call_rate_ms = round(1000 * limiter_count / MAX_FLEET_CALLS_PER_SECOND)
        long_poll_ms = min(MAX_LONG_POLL_MS, max(MIN_LONG_POLL_MS, min_poll_for_call_rate_ms))
        return cls(
            long_poll_ms,
            RESPONSE_GRACE_SECONDS,
            CATCH_UP_RESPONSE_GRACE_SECONDS,
            MAX_BACKOFF_SECONDS,
            uses_local_agent=False,
        )
