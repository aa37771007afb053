"""Attempts in flight from this limiter to one server, and how long the server has not answered them.

Types are defined in limiter/model. Times and durations are in milliseconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class AttemptsInFlight:
    """The attempts in flight to one server.

    An attempt is presumed lost if an attempt that was sent later has succeeded and the attempt has waited for
    longer than the caller allows: the request or its response was lost on the network, and the server works.

    Attributes:
        sent_at: Time at which each attempt was sent, by request id and attempt number, in the order of
            sending.
        last_sent_at: Time at which the latest attempt was sent; 0 if this process has sent none since the
            server started.
        last_success_sent_at: Time at which the latest of the successful attempts was sent; `-math.inf` if
            none has succeeded since the server last had no attempts in flight.
    """

    sent_at: dict[tuple[int, int], float] = field(default_factory=dict)
    last_sent_at: float = 0.0
    last_success_sent_at: float = -math.inf

    def add(self, request_id: int, attempt: int, now: float) -> None:
        """Add an attempt that is sent to the server now."""
        self.sent_at[(request_id, attempt)] = now
        self.last_sent_at = now

    def remove(self, request_id: int, attempt: int, is_success: bool) -> bool:
        """Remove an attempt that has ended.

        Returns:
            Whether the attempt was in flight; False if another process sent it.
        """
        sent_at = self.sent_at.pop((request_id, attempt), None)
        if sent_at is None:
            return False
        if is_success:
            self.last_success_sent_at = max(self.last_success_sent_at, sent_at)
        return True

    def copy_for_restarted_server(self) -> AttemptsInFlight:
        """Return a new record of the same attempts for a restarted server.

        The times of the latest attempt and success are reset, because those attempts went to the previous
        server process.
        """
        return AttemptsInFlight(self.sent_at)

    def count_presumed_lost(self, sent_before: float) -> int:
        """Return how many attempts that were sent before this time are presumed lost."""
        presumed_lost_before = min(sent_before, self.last_success_sent_at)
        return sum(sent_at < presumed_lost_before for sent_at in self.sent_at.values())

    def unanswered_since(self) -> float:
        """Return the time since which the server has not answered.

        At least one attempt must be in flight.
        """
        oldest_sent_at = next(iter(self.sent_at.values()))
        return max(oldest_sent_at, self.last_success_sent_at)
