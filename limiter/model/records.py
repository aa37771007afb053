"""The record that the policy keeps of a server. It decides nothing.

All times and durations are milliseconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from limiter.model.events import Endpoint
from limiter.model.settings import Settings


@dataclass(slots=True)
class ServerRecord:
    """A server's health, its slow start and the attempts in flight to it from here."""

    endpoint: Endpoint
    is_ready: bool = True
    latency: float = 0.0
    failure_rate: float = 0.0  # recent share of failed outcomes
    last_outcome_at: float = 0.0
    ejected_until: float = 0.0  # 0: not ejected
    ejection_length: float = 0.0
    trial_in_flight: bool = False  # an attempt is out that ends the ejection if it succeeds
    paused_until: float = 0.0  # nothing is sent until then, since the server rejected an attempt
    pause_length: float = 0.0  # of that, the last time
    last_sent_at: float = 0.0
    last_success_sent_at: float = 0.0  # when the newest of the successful attempts was sent
    credit: float = 0.0  # attempts that it may get from here while it warms up
    credit_at: float = 0.0  # even share up to which the credit was counted
    in_flight: dict[tuple[int, int], float] = field(default_factory=dict)  # (request, attempt): sent at

    def overtaken_attempts(self, sent_before: float) -> int:
        """Attempts sent before that time and overtaken by a success: they were lost, the server is well."""
        sent_before = min(sent_before, self.last_success_sent_at)
        return sum(sent_at < sent_before for sent_at in self.in_flight.values())

    def warmth(self, now: float, settings: Settings) -> float:
        """Share of its full capacity that the settings promise of it at this time after its start."""
        started_at = self.endpoint.started_at
        age = max(0.0, now - started_at) if started_at > 0 else math.inf
        at_start = settings.slow_start_capacity
        return min(1.0, at_start + (1 - at_start) * age / max(settings.slow_start_duration, 1e-9))

    def may_be_tried(self, now: float) -> bool:
        """Whether the server is not ejected, or due for the one trial that may end its ejection."""
        return self.ejected_until <= 0 or (now >= self.ejected_until and not self.trial_in_flight)

    def end_attempt(self, request_id: int, attempt: int, is_success: bool) -> bool:
        """Count the end of an attempt; False if it was not sent by this process."""
        sent_at = self.in_flight.pop((request_id, attempt), None)
        if sent_at is not None and is_success:
            self.last_success_sent_at = max(self.last_success_sent_at, sent_at)
        return sent_at is not None

    def waiting_since(self) -> float:
        """Since when the server has not answered, while attempts are in flight to it."""
        return max(next(iter(self.in_flight.values())), self.last_success_sent_at)
