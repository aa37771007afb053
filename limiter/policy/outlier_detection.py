"""Outlier detection: tracks the health of each server, ejects failing servers and readmits recovered ones.

A server whose failure rate is too high is ejected: it receives no attempts until the ejection period is over.
Then one probe attempt decides whether the ejection ends or starts again with twice the duration, as in the
half-open state of a circuit breaker. A server that rejects attempts is paused. Types are defined in
limiter/model. All times and durations are in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from limiter.model.events import AttemptEnded, Outcome
from limiter.policy.context import EngineContext
from limiter.policy.smoothing import decay_factor, update_ewma, update_or_start_ewma
from limiter.policy.throttle import SAMPLE_INTERVAL_MS

# EWMA weight of the newest outcome in the latency and failure rate of one server.
OUTCOME_WEIGHT = 0.2

# EWMA weight of the newest latency in the fleet's mean latency; lower, since the fleet has more samples.
FLEET_LATENCY_WEIGHT = OUTCOME_WEIGHT / 4

# Time constant with which a server's health statistics decay toward the fleet's mean while the server
# reports no outcome. Without the decay, a server avoided for high latency would stay unused long after it
# has recovered.
HEALTH_DECAY_TIME_MS = 3000.0

# If the last outcome is older than this when the next one arrives, the statistics decay before it is added.
STALE_HEALTH_AGE_MS = 1000.0

# Durations of the first and the longest pause of a server that rejects attempts. Each pause is twice as long
# as the previous one until an attempt succeeds, because a draining server rejects every attempt.
FIRST_PAUSE_MS = SAMPLE_INTERVAL_MS
MAX_PAUSE_MS = 16 * SAMPLE_INTERVAL_MS

# Failure rate above which a server is ejected. Ejection protects against servers that fail fast; a lower
# threshold would eject servers because of a few random failures.
EJECTION_FAILURE_RATE = 0.5

# Durations of the first and the longest ejection. Each ejection is twice as long as the previous one. A
# successful probe ends the ejection, so that a recovered server is used again soon.
FIRST_EJECTION_MS = 1000.0
MAX_EJECTION_MS = 8 * FIRST_EJECTION_MS

# The nominal duration of an ejection is multiplied by a factor drawn uniformly from this range, so that the
# limiters do not all send their probes at the same time.
MIN_EJECTION_JITTER = 0.8
MAX_EJECTION_JITTER = 1.2

# Outcomes that give no information about a server's health.
UNINFORMATIVE_OUTCOMES = (Outcome.CANCELLED, Outcome.REQUEST_ENDED, Outcome.REJECTED)


@dataclass(slots=True, eq=False)
class Ejection:
    """The ejection of a server whose failure rate is too high.

    Attributes:
        ends_at: Time from which a probe attempt may be sent.
        nominal_duration: Duration without jitter.
        is_probe_in_flight: Whether an attempt sent since the ejection started has not yet shown whether the
            server is healthy. The flag stays set if that attempt is rejected or cancelled, because these
            outcomes do not show it.
    """

    ends_at: float
    nominal_duration: float
    is_probe_in_flight: bool = False

    def accepts_probe(self, now: float) -> bool:
        """Return whether the server may be sent a probe attempt now."""
        return now >= self.ends_at and not self.is_probe_in_flight

    def record_probe_sent(self) -> None:
        """Treat an attempt sent to the ejected server as its probe."""
        self.is_probe_in_flight = True

    def clear_probe(self) -> None:
        """Clear the probe in flight, so that another one may be sent."""
        self.is_probe_in_flight = False


@dataclass(slots=True, eq=False)
class RejectionPause:
    """The pause of a server that rejected an attempt.

    Attributes:
        ends_at: Time until which no attempt is sent to the server.
        next_duration: Duration of the next pause.
    """

    ends_at: float
    next_duration: float

    def reset_next_duration(self) -> None:
        """Reset the duration of the next pause to that of the first, after an attempt has succeeded."""
        self.next_duration = FIRST_PAUSE_MS


@dataclass(slots=True, eq=False)
class ServerHealth:
    """Health statistics of one server, computed from the outcomes of its attempts.

    Attributes:
        average_latency: Moving average of the attempt latency; 0 before the first measurement.
        failure_rate: Moving average of the fraction of attempts that failed.
        last_outcome_at: Time of the latest outcome that gave information about the server's health.
        ejection: The current ejection, until a probe succeeds; None while the server is not ejected.
        pause: The latest pause after a rejection, kept after it has ended; None if there was none.
    """

    average_latency: float = 0.0
    failure_rate: float = 0.0
    last_outcome_at: float = 0.0
    ejection: Ejection | None = None
    pause: RejectionPause | None = None

    def compute_remaining_weight(self, now: float) -> float:
        """Return the weight of this server's statistics against the fleet's mean; it decays from 1."""
        return decay_factor(now - self.last_outcome_at, HEALTH_DECAY_TIME_MS)

    def record_attempt_sent(self) -> None:
        """Record that an attempt is sent to the server; if the server is ejected, this is its probe."""
        if self.ejection is not None:
            self.ejection.record_probe_sent()

    def record_rejection(self, now: float) -> None:
        """Pause the server, for twice as long as the last time if no attempt has succeeded since."""
        duration = FIRST_PAUSE_MS if self.pause is None else self.pause.next_duration
        self.pause = RejectionPause(ends_at=now + duration, next_duration=min(MAX_PAUSE_MS, 2 * duration))

    def record_success(self) -> None:
        """Record a successful attempt, after which the next pause has the shortest duration again."""
        if self.pause is not None:
            self.pause.reset_next_duration()

    def record_stale_connection(self) -> None:
        """Record an attempt that failed because the server had closed the idle connection that it used.

        This gives no information about the server's health. If the attempt was the probe, another probe may
        be sent.
        """
        if self.ejection is not None:
            self.ejection.clear_probe()

    def decay_toward_fleet_mean(self, now: float, fleet_latency: float) -> None:
        """Decay old statistics toward a failure rate of 0 and the mean latency of the fleet."""
        if self.average_latency and now - self.last_outcome_at > STALE_HEALTH_AGE_MS:
            remaining_fraction = self.compute_remaining_weight(now)
            self.failure_rate = remaining_fraction * self.failure_rate
            self.average_latency = update_ewma(fleet_latency, self.average_latency, remaining_fraction)

    def record_outcome(self, now: float, is_success: bool) -> None:
        """Add an outcome that gives information about the server's health to the failure rate."""
        self.failure_rate = update_ewma(self.failure_rate, 0.0 if is_success else 1.0, OUTCOME_WEIGHT)
        self.last_outcome_at = now

    def record_latency(self, latency: float) -> None:
        """Add a measured latency to the moving average."""
        self.average_latency = update_or_start_ewma(self.average_latency, latency, OUTCOME_WEIGHT)

    def is_ejection_due(self) -> bool:
        """Return whether a failed attempt ejects the server (failed probe, or failure rate too high)."""
        has_probe_in_flight = self.ejection is not None and self.ejection.is_probe_in_flight
        return has_probe_in_flight or self.failure_rate > EJECTION_FAILURE_RATE

    def eject(self, now: float, jitter_factor: float) -> None:
        """Eject the server, for twice the duration of its last ejection if it has not recovered since.

        Args:
            now: Time of the failure that causes the ejection.
            jitter_factor: Factor by which the nominal duration is multiplied.
        """
        duration = FIRST_EJECTION_MS
        if self.ejection is not None:
            duration = min(MAX_EJECTION_MS, 2 * self.ejection.nominal_duration)
        self.ejection = Ejection(now + duration * jitter_factor, duration)

    def update_ejection(self, is_success: bool) -> None:
        """Update the ejection after an outcome that does not eject the server.

        A successful probe ends the ejection; otherwise another probe may be sent.
        """
        if self.ejection is None:
            return
        if is_success and self.ejection.is_probe_in_flight:
            self.ejection = None
            self.failure_rate = min(self.failure_rate, OUTCOME_WEIGHT)
        else:
            self.ejection.clear_probe()


@dataclass(eq=False)
class OutlierDetector:
    """Updates the health of servers from the outcomes of attempts.

    Attributes:
        context: State shared by the components of the engine.
        mean_latency: Moving average of the attempt latency over all servers; 0 before the first measurement.
    """

    context: EngineContext
    mean_latency: float = 0.0

    def record_outcome(self, now: float, health: ServerHealth, ended: AttemptEnded) -> bool:
        """Update a server's health after one of its attempts has ended.

        Args:
            now: Time at which the attempt ended.
            health: Health of the server that the attempt was sent to.
            ended: The end of the attempt.

        Returns:
            Whether the attempt counts as a success.
        """
        is_success = ended.outcome is Outcome.OK
        if ended.outcome is Outcome.REJECTED:
            health.record_rejection(now)
        elif is_success:
            health.record_success()
        if ended.stale_connection:
            health.record_stale_connection()
            return False
        if ended.outcome in UNINFORMATIVE_OUTCOMES:
            return False
        self._update_health(now, health, ended, is_success)
        return is_success

    def _update_health(self, now: float, health: ServerHealth, ended: AttemptEnded, is_success: bool) -> None:
        """Update the statistics, then the ejection, after an outcome that is informative about the health."""
        health.decay_toward_fleet_mean(now, self.mean_latency)
        health.record_outcome(now, is_success)
        if is_success:
            self._record_latency(health, ended.latency)
        elif ended.outcome is Outcome.TIMEOUT:
            # The time waited for a timed-out attempt is not the latency that the server would have had.
            self._record_latency(health, min(ended.latency, self.context.min_latency_objective))
        if not is_success and health.is_ejection_due():
            health.eject(now, self.context.random.uniform(MIN_EJECTION_JITTER, MAX_EJECTION_JITTER))
        else:
            health.update_ejection(is_success)

    def _record_latency(self, health: ServerHealth, latency: float) -> None:
        health.record_latency(latency)
        self.mean_latency = update_or_start_ewma(self.mean_latency, latency, FLEET_LATENCY_WEIGHT)
