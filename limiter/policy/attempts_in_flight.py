"""Attempts in flight from this limiter to one server, and what their waiting says of the server.

Uses the types in limiter/model. All times and durations are milliseconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class AttemptsInFlight:
    """The attempts in flight to one server.

    An attempt is overtaken once a later one has succeeded: it, or its response, was lost on the way, and the
    server is well.

    Attributes:
        sent_at: Time at which each attempt was sent, by request id and number of the attempt, in the
            order sent.
        last_sent_at: Time at which the newest attempt was sent; 0 if this process sent none to the server
            since the server started.
        last_success_sent_at: Time at which the newest of the successful attempts was sent; `-math.inf` if
            none of them has succeeded since there are attempts in flight.
    """

    sent_at: dict[tuple[int, int], float] = field(default_factory=dict)
    last_sent_at: float = 0.0
    last_success_sent_at: float = -math.inf

    def add(self, request_id: int, attempt: int, now: float) -> None:
        """Count an attempt that is sent to the server now."""
        self.sent_at[(request_id, attempt)] = now
        self.last_sent_at = now

    def remove(self, request_id: int, attempt: int, is_success: bool) -> bool:
        """Count the end of an attempt.

        Returns:
            Whether the attempt was in flight; False for one that another process sent.
        """
        sent_at = self.sent_at.pop((request_id, attempt), None)
        if sent_at is None:
            return False
        if is_success:
            self.last_success_sent_at = max(self.last_success_sent_at, sent_at)
        return True

    def copy_for_restarted_server(self) -> AttemptsInFlight:
        """Return the same attempts for a server that was started anew: they went to the process before it."""
        return AttemptsInFlight(self.sent_at)

    def count_presumed_lost(self, sent_before: float) -> int:
        """Return how many of the attempts that were sent before this time were overtaken."""
        overtaken_before = min(sent_before, self.last_success_sent_at)
        return sum(sent_at < overtaken_before for sent_at in self.sent_at.values())

    def unanswered_since(self) -> float:
        """Return the time since when the server has not answered. At least one attempt must be in flight."""
        oldest_sent_at = next(iter(self.sent_at.values()))
        return max(oldest_sent_at, self.last_success_sent_at)
