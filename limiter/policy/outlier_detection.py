"""Outlier detection: the health of each server by the outcomes of its attempts, its ejection and recovery.

A server that fails too often is ejected: no attempt is sent to it for a while. Then one probe attempt decides
whether the ejection ends or begins anew, twice as long (the half-open state of a circuit breaker). A server
that rejects attempts is paused. Types: limiter/model. All times and durations are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from limiter.model.events import AttemptEnded, Outcome
from limiter.policy.context import EngineContext
from limiter.policy.smoothing import decay_factor, update_ewma, update_or_start_ewma
from limiter.policy.throttle import SAMPLE_INTERVAL_MS

# Weight of the newest outcome in a server's own latency and failure rate.
OUTCOME_WEIGHT = 0.2

# Weight of the newest latency in the mean of the fleet, which has more samples.
FLEET_LATENCY_WEIGHT = OUTCOME_WEIGHT / 4

# Time constant with which the record of a server fades towards the mean of the fleet while nothing is
# heard of the server. A server that was left out for bad latency would otherwise stay unused long after
# its recovery.
RECORD_AGEING_MS = 3000.0

# A record that is older than this when the next outcome comes is aged before that outcome is added.
STALE_RECORD_MS = 1000.0

# First and longest pause of a server that rejects attempts. A pause is twice as long as the one before
# while no attempt succeeds: a server that drains rejects all.
FIRST_PAUSE_MS = SAMPLE_INTERVAL_MS
MAX_PAUSE_MS = 16 * SAMPLE_INTERVAL_MS

# Failure rate above which a server is ejected. Ejection guards against servers that fail fast; a lower rate
# would eject servers that fail by bad luck.
EJECTION_FAILURE_RATE = 0.5

# First and longest ejection. Each is twice as long as the one before; a probe that succeeds ends it, so
# that a recovery is noticed soon.
FIRST_EJECTION_MS = 1000.0
MAX_EJECTION_MS = 8 * FIRST_EJECTION_MS

# An ejection lasts this many times its nominal length, drawn evenly, so that limiters do not probe all at
# once.
MIN_EJECTION_JITTER = 0.8
MAX_EJECTION_JITTER = 1.2

# Outcomes that say nothing of a server's health.
UNINFORMATIVE = (Outcome.CANCELLED, Outcome.REQUEST_ENDED, Outcome.REJECTED)


@dataclass(slots=True, eq=False)
class Ejection:
    """The ejection of a server that fails too often.

    Attributes:
        ends_at: Time from which a probe attempt may be sent.
        length: Nominal length, without jitter.
        probe_in_flight: Whether an attempt was sent since the ejection that has not shown yet whether the
            server is well. One that was rejected or cancelled has not shown it.
    """

    ends_at: float
    length: float
    probe_in_flight: bool = False

    def accepts_probe(self, now: float) -> bool:
        """Whether the one probe attempt may be sent that may end the ejection."""
        return now >= self.ends_at and not self.probe_in_flight

    def start_probe(self) -> None:
        """Count an attempt to the server as the probe."""
        self.probe_in_flight = True

    def end_probe(self) -> None:
        """Forget the probe: another one may be sent."""
        self.probe_in_flight = False


@dataclass(slots=True, eq=False)
class RejectionPause:
    """The pause of a server that rejected an attempt.

    Attributes:
        ends_at: Time until which no attempt is sent to the server.
        next_length: How long the next pause will last.
    """

    ends_at: float
    next_length: float

    def reset_length(self) -> None:
        """Let the next pause be as short as the first: an attempt has succeeded."""
        self.next_length = FIRST_PAUSE_MS


@dataclass(slots=True, eq=False)
class ServerHealth:
    """What the outcomes of attempts say of one server.

    Attributes:
        latency: Moving average of the latency; 0 until it was measured for the first time.
        failure_rate: Moving average of the share of attempts that failed.
        last_outcome_at: Time of the newest outcome that said something of the server's health.
        ejection: The ejection until a probe succeeds; None while the server is not ejected.
        pause: The newest pause after a rejection, also when it is over; None if there was none.
    """

    latency: float = 0.0
    failure_rate: float = 0.0
    last_outcome_at: float = 0.0
    ejection: Ejection | None = None
    pause: RejectionPause | None = None

    def remaining_weight(self, now: float) -> float:
        """Return the weight that the record of this server still has against the mean of the fleet."""
        return decay_factor(now - self.last_outcome_at, RECORD_AGEING_MS)

    def record_attempt_sent(self) -> None:
        """Count an attempt that is sent to the server: the probe, if the server is ejected."""
        if self.ejection is not None:
            self.ejection.start_probe()

    def record_rejection(self, now: float) -> None:
        """Pause the server, each time for longer while no attempt succeeds."""
        length = FIRST_PAUSE_MS if self.pause is None else self.pause.next_length
        self.pause = RejectionPause(ends_at=now + length, next_length=min(MAX_PAUSE_MS, 2 * length))

    def record_acceptance(self) -> None:
        """Count a success, after which the pauses begin with the shortest again."""
        if self.pause is not None:
            self.pause.reset_length()

    def record_stale_connection(self) -> None:
        """Count an attempt that its connection ended, closed by the server while idle.

        It says nothing of the server. If it was the probe, another one may be sent.
        """
        if self.ejection is not None:
            self.ejection.end_probe()

    def age(self, now: float, fleet_latency: float) -> None:
        """Let an old record fade towards no failures and the mean latency of the fleet."""
        if self.latency and now - self.last_outcome_at > STALE_RECORD_MS:
            remaining = self.remaining_weight(now)
            self.failure_rate = remaining * self.failure_rate
            self.latency = update_ewma(fleet_latency, self.latency, remaining)

    def record_outcome(self, now: float, is_success: bool) -> None:
        """Count an outcome that says something of the server's health."""
        self.failure_rate = update_ewma(self.failure_rate, 0.0 if is_success else 1.0, OUTCOME_WEIGHT)
        self.last_outcome_at = now

    def record_latency(self, latency: float) -> None:
        """Add a latency to the moving average."""
        self.latency = update_or_start_ewma(self.latency, latency, OUTCOME_WEIGHT)

    def is_ejection_due(self) -> bool:
        """Whether a failure ejects the server, or ejects it again since the failed attempt was the probe."""
        is_probe = self.ejection is not None and self.ejection.probe_in_flight
        return is_probe or self.failure_rate > EJECTION_FAILURE_RATE

    def eject(self, now: float, jitter: float) -> None:
        """Eject the server, for twice the length of its last ejection if it has not recovered since.

        Args:
            now: Time of the failure that led to it.
            jitter: Factor of the length.
        """
        length = FIRST_EJECTION_MS
        if self.ejection is not None:
            length = min(MAX_EJECTION_MS, 2 * self.ejection.length)
        self.ejection = Ejection(now + length * jitter, length)

    def end_probe(self, is_success: bool) -> None:
        """Count an outcome that does not eject the server; a probe that succeeded ends the ejection."""
        if self.ejection is None:
            return
        if is_success and self.ejection.probe_in_flight:
            self.ejection = None
            self.failure_rate = min(self.failure_rate, OUTCOME_WEIGHT)
        else:
            self.ejection.end_probe()


@dataclass(eq=False)
class OutlierDetector:
    """Judges servers by how attempts end.

    Attributes:
        context: What the parts of the policy engine share.
        mean_latency: Moving average of the latency over all servers; 0 until one was measured.
    """

    context: EngineContext
    mean_latency: float = 0.0

    def record_outcome(self, now: float, health: ServerHealth, ended: AttemptEnded) -> bool:
        """Take in how an attempt ended.

        Args:
            now: Time of the end.
            health: Health of the server that the attempt was sent to.
            ended: How it ended.

        Returns:
            Whether the attempt counts as a success.
        """
        is_success = ended.outcome is Outcome.OK
        if ended.outcome is Outcome.REJECTED:
            health.record_rejection(now)
        elif is_success:
            health.record_acceptance()
        if ended.stale_connection:
            health.record_stale_connection()
            return False
        if ended.outcome in UNINFORMATIVE:
            return False
        self._judge(now, health, ended, is_success)
        return is_success

    def _judge(self, now: float, health: ServerHealth, ended: AttemptEnded, is_success: bool) -> None:
        """Take in an outcome that says something of the server's health: its record, then its ejection."""
        health.age(now, self.mean_latency)
        health.record_outcome(now, is_success)
        if is_success:
            self._record_latency(health, ended.latency)
        elif ended.outcome is Outcome.TIMEOUT:
            # How long the attempt was waited for is not how long the server would have taken.
            self._record_latency(health, min(ended.latency, self.context.min_latency_objective))
        if not is_success and health.is_ejection_due():
            health.eject(now, self.context.random.uniform(MIN_EJECTION_JITTER, MAX_EJECTION_JITTER))
        else:
            health.end_probe(is_success)

    def _record_latency(self, health: ServerHealth, latency: float) -> None:
        health.record_latency(latency)
        self.mean_latency = update_or_start_ewma(self.mean_latency, latency, FLEET_LATENCY_WEIGHT)
