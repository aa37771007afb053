"""Outlier detection: health of servers by the outcomes of attempts, their ejection and their recovery.

Types: limiter/model. Times are milliseconds.
"""

import math
from dataclasses import dataclass

from limiter.model.events import AttemptEnded, Outcome
from limiter.model.records import ServerRecord
from limiter.policy.context import PolicyContext
from limiter.policy.throttle import SAMPLE_INTERVAL_MS

OUTCOME_WEIGHT = 0.2  # of the newest outcome in a server's record; a quarter of it in the fleet's
RECORD_AGEING_MS = 3000.0  # life of a record: a server left out for a while would stay unused long after
STALE_RECORD_MS = 1000.0  # a record untouched for longer than this is aged when the next outcome comes
MAX_PAUSE_MS = 16 * SAMPLE_INTERVAL_MS  # longest pause of a server that rejects attempts
EJECTION_FAILURE_RATE = 0.5  # that ejects: against fast failures; hurts a server that fails by bad luck
FIRST_EJECTION_MS = 1000.0  # doubles up to 8 times; one trial ends it, so that recovery is seen soon
UNINFORMATIVE = (Outcome.CANCELLED, Outcome.REQUEST_OVER, Outcome.REJECTED)  # of a server's health


@dataclass
class OutlierDetector:
    """Judges servers by how attempts end."""

    context: PolicyContext
    mean_latency: float = 0.0  # of the fleet

    def record_outcome(self, now: float, server: ServerRecord, ended: AttemptEnded) -> bool:
        """Take in how an attempt ended; whether it counts as a success."""
        outcome, is_success = ended.outcome, ended.outcome is Outcome.OK
        if outcome is Outcome.REJECTED:  # pause, longer each time: a draining server rejects all
            server.pause_length = min(MAX_PAUSE_MS, 2 * server.pause_length or SAMPLE_INTERVAL_MS)
            server.paused_until = now + server.pause_length
        elif is_success:
            server.pause_length = 0.0
        if outcome in UNINFORMATIVE or ended.stale_connection:
            server.trial_in_flight = server.trial_in_flight and not ended.stale_connection
            return False
        if now - server.last_outcome_at > STALE_RECORD_MS and server.latency:
            remaining = self.remaining_weight(now, server)
            server.failure_rate = remaining * server.failure_rate
            server.latency = self.mean_latency + remaining * (server.latency - self.mean_latency)
        server.failure_rate += OUTCOME_WEIGHT * ((0.0 if is_success else 1.0) - server.failure_rate)
        server.last_outcome_at = now
        if is_success:
            self._update_latency(server, ended.latency)
        elif outcome is Outcome.TIMEOUT:  # how long it was silent is not how long it takes
            self._update_latency(server, min(ended.latency, self.context.tightest_objective))
        self._update_ejection(now, server, is_success)
        return is_success

    @staticmethod
    def remaining_weight(now: float, server: ServerRecord) -> float:
        """Weight that a server's record still has against the fleet's mean."""
        return math.exp((server.last_outcome_at - now) / RECORD_AGEING_MS)

    def _update_latency(self, server: ServerRecord, latency: float) -> None:
        server.latency += OUTCOME_WEIGHT * (latency - server.latency) if server.latency else latency
        weight = OUTCOME_WEIGHT / 4
        self.mean_latency += weight * (latency - self.mean_latency) if self.mean_latency else latency

    def _update_ejection(self, now: float, server: ServerRecord, is_success: bool) -> None:
        if is_success and server.trial_in_flight:
            server.ejection_length = server.ejected_until = 0.0
            server.failure_rate = min(server.failure_rate, OUTCOME_WEIGHT)
        elif not is_success and (server.failure_rate > EJECTION_FAILURE_RATE or server.trial_in_flight):
            length = min(8 * FIRST_EJECTION_MS, server.ejection_length * 2 or FIRST_EJECTION_MS)
            server.ejection_length = length
            server.ejected_until = now + length * self.context.random.uniform(0.8, 1.2)
        server.trial_in_flight = False

    @staticmethod
    def without_outliers(now: float, servers: list[ServerRecord]) -> list[ServerRecord]:
        """Servers that are not ejected or due for a trial; all, where most are: none is at fault then."""
        sound = [server for server in servers if server.may_be_tried(now)]
        return servers if 2 * len(sound) < len(servers) else sound
