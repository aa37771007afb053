"""The concurrency limit: how many attempts this limiter may have in flight to the fleet of servers.

The load of the fleet is derived from latency: its utilization is the mean latency of attempts, divided by the
mean latency at which the fleet counts as fully loaded. At each update the fleet-wide limit is multiplied by
target / utilization, like the admission probability in `throttle.py`, with a bounded factor. Each limiter
gets an even share of it. Types are defined in limiter/model. Times are in milliseconds.
"""

from dataclasses import dataclass

from limiter.model.settings import Settings
from limiter.policy.context import EngineContext
from limiter.policy.server_selection import ServerSelector
from limiter.policy.smoothing import clamp, newest_sample_weight, update_ewma, update_or_start_ewma
from limiter.policy.throttle import (
    TARGET_UTILIZATION,
    UPDATE_INTERVAL_MS,
    UTILIZATION_EWMA_WEIGHT,
    clamp_probability,
)
from limiter.policy.usage_gossip import UsageGossip

# Queueing delay at which the fleet counts as fully loaded, as a fraction of the difference between the
# shortest latency objective and the idle latency. The less of a server's load one limiter observes, the
# closer the fraction is to the second value: attempts of several limiters then coincide at a server by
# chance, which adds delay.
FULL_LOAD_QUEUEING_FRACTION = 0.2
UNOBSERVED_LOAD_QUEUEING_FRACTION = 0.5

# Minimum limit while the fleet is not overloaded: a single attempt in flight is normal and no sign of load.
MIN_CONCURRENCY_LIMIT = 2.0

# Minimum limit, however overloaded the fleet is: without any attempt a limiter would not notice the recovery.
MIN_OVERLOADED_CONCURRENCY_LIMIT = 1.0

# Limit on the attempts in flight from all limiters to one server at full capacity: initial value and bounds.
INITIAL_ATTEMPTS_PER_SERVER = 5.0
MIN_ATTEMPTS_PER_SERVER = 3.0
MAX_ATTEMPTS_PER_SERVER = 48.0

# Bounds of the factor by which one update changes the limit per server.
MIN_ADJUSTMENT_FACTOR = 0.7
MAX_ADJUSTMENT_FACTOR = 1.25

# Number of successful attempts in one update interval that gives the interval's mean latency a weight of
# 1 - 1/e (about two thirds). The mean over fewer attempts is weaker evidence of load and weighs less.
LATENCY_WEIGHT_ATTEMPTS = 4.0

# Factor by which the idle latency grows at each update, so that an old minimum expires slowly.
IDLE_LATENCY_GROWTH_FACTOR = 1.005

# Maximum fraction of servers without responses for which these servers count as faulty. If more servers do
# not respond, the fleet counts as loaded.
MAX_UNRESPONSIVE_SERVERS_FRACTION = 1 / 4

# Lower bounds of a utilization and of a limit that are used as divisors.
MIN_UTILIZATION = 1e-6
MIN_LIMIT_DIVISOR = 1e-9


def unobserved_load_fraction(settings: Settings) -> float:
    """Return the fraction of a server's load that one limiter cannot observe.

    The fraction is 0 with up to `INITIAL_ATTEMPTS_PER_SERVER` limiters, because each of them has enough
    attempts at a server to observe its load. It approaches 1 as the number of limiters grows.
    """
    return max(0.0, 1 - INITIAL_ATTEMPTS_PER_SERVER / settings.limiter_count)


@dataclass(eq=False)
class ConcurrencyLimit:
    """Counts the attempts in flight from this limiter and limits them while the fleet is loaded.

    Attributes:
        context: State shared by the components of the engine.
        server_selector: Has the servers and the attempts in flight to each of them.
        usage_gossip: Has the load that the other limiters report.
        in_flight: Number of attempts in flight from this limiter.
        stalled_attempts: Number of these attempts that give no information about the load of the fleet, as of
            the last update: they are presumed lost or were sent to unresponsive servers.
        max_in_flight: Limit on the attempts in flight from this limiter; 0 until an endpoint list was
            received.
        max_attempts_per_server: Limit on the attempts in flight from all limiters to one server at full
            capacity.
        utilization: Moving average of the mean latency of attempts, as a fraction of the mean latency at
            which the fleet counts as fully loaded.
        accumulated_attempt_time: Integral of the active attempts over time since the last update, in
            milliseconds times attempts.
        accumulated_until: Time up to which `accumulated_attempt_time` is computed.
        updated_at: Time of the last update.
        successful_attempts: Number of attempts that succeeded since the last update.
        smoothed_latency: Moving average of the mean latency of attempts from this limiter; 0 before the first
            measurement.
        idle_latency: Minimum of the mean latency, which grows slowly at each update; 0 until an attempt has
            succeeded.
    """

    context: EngineContext
    server_selector: ServerSelector
    usage_gossip: UsageGossip
    in_flight: int = 0
    stalled_attempts: int = 0
    max_in_flight: float = 0.0
    max_attempts_per_server: float = INITIAL_ATTEMPTS_PER_SERVER
    utilization: float = 0.0
    accumulated_attempt_time: float = 0.0
    accumulated_until: float = 0.0
    updated_at: float = 0.0
    successful_attempts: int = 0
    smoothed_latency: float = 0.0
    idle_latency: float = 0.0

    @property
    def active_attempts(self) -> int:
        """Number of attempts in flight that are not stalled."""
        return max(0, self.in_flight - self.stalled_attempts)

    @property
    def has_been_computed(self) -> bool:
        """Whether the limit was computed at least once."""
        return self.max_in_flight > 0

    def start_measuring(self, now: float) -> None:
        """Start to measure at the time of the first event."""
        self.updated_at = now
        self.accumulated_until = now

    def record_attempt_started(self) -> None:
        """Count an attempt that this limiter sends."""
        self.in_flight += 1

    def record_attempt_ended(self, is_success: bool) -> None:
        """Count the end of an attempt that this limiter sent."""
        self.in_flight -= 1
        if is_success:
            self.successful_attempts += 1

    def advance(self, now: float) -> None:
        """Accumulate the attempt time up to `now`, and update the limit once per update interval."""
        self.accumulated_attempt_time += self.active_attempts * (now - self.accumulated_until)
        self.accumulated_until = now
        if now - self.updated_at >= UPDATE_INTERVAL_MS:
            self.update(now)

    def mean_in_flight(self) -> float:
        """Return the number of active attempts, averaged over the limiters if their gossip is needed.

        The average is used if gossip is enabled and this limiter does not observe all of a server's load.
        """
        if self.usage_gossip.is_enabled and self.server_selector.slow_start.unobserved_load_fraction:
            return self.usage_gossip.peer_load.mean_in_flight(self.active_attempts)
        return self.active_attempts

    def admission_probability(self) -> float:
        """Return the probability of admitting a request: 1 up to half of the limit, then falling linearly."""
        return clamp_probability(2 - 2 * self.mean_in_flight() / max(self.max_in_flight, MIN_LIMIT_DIVISOR))

    def update(self, now: float) -> None:
        """Recompute the limit, and start the next interval."""
        self.stalled_attempts = self._count_stalled_attempts(now)
        self._update_utilization(now)
        self._update_max_attempts_per_server()
        capacity = self.server_selector.slow_start.update_fleet_capacity(
            now, self.server_selector.table.ready
        )
        min_limit = clamp(
            MIN_CONCURRENCY_LIMIT / max(self.utilization, MIN_UTILIZATION),
            MIN_OVERLOADED_CONCURRENCY_LIMIT,
            MIN_CONCURRENCY_LIMIT,
        )
        even_share = self.max_attempts_per_server * capacity / self.context.settings.limiter_count
        self.max_in_flight = max(min_limit, even_share)
        self.updated_at = now
        self.successful_attempts = 0
        self.accumulated_attempt_time = 0.0

    def _update_max_attempts_per_server(self) -> None:
        """Multiply the limit per server by target / utilization, within bounds.

        The limit per server is raised only while more than half of `max_in_flight` is in use.
        """
        target_ratio = TARGET_UTILIZATION / max(self.utilization, MIN_UTILIZATION)
        factor = clamp(target_ratio, MIN_ADJUSTMENT_FACTOR, MAX_ADJUSTMENT_FACTOR)
        is_limit_used = 2 * self.mean_in_flight() > self.max_in_flight
        if factor < 1 or is_limit_used:
            self.max_attempts_per_server = clamp(
                self.max_attempts_per_server * factor, MIN_ATTEMPTS_PER_SERVER, MAX_ATTEMPTS_PER_SERVER
            )

    def _count_stalled_attempts(self, now: float) -> int:
        """Return how many of the attempts in flight give no information about the load of the fleet.

        These are the attempts that are presumed lost. The attempts at unresponsive servers count as well,
        unless the fraction of such servers exceeds `MAX_UNRESPONSIVE_SERVERS_FRACTION`.
        """
        if not self.in_flight:
            return 0
        servers = self.server_selector.table.by_id.values()
        attempts_by_server = [
            server.attempts_in_flight for server in servers if server.attempts_in_flight is not None
        ]
        sent_before = now - self.context.min_latency_objective
        stalled_count = sum(attempts.count_presumed_lost(sent_before) for attempts in attempts_by_server)
        unresponsive = [
            attempts for attempts in attempts_by_server if attempts.unanswered_since() < sent_before
        ]
        if len(unresponsive) <= MAX_UNRESPONSIVE_SERVERS_FRACTION * len(servers):
            for attempts in unresponsive:
                stalled_count += len(attempts.sent_at) - attempts.count_presumed_lost(sent_before)
        return stalled_count

    def _update_utilization(self, now: float) -> None:
        """Update the utilization with the mean latency since the last update.

        By Little's law, the mean latency is the accumulated attempt time divided by the number of attempts
        that have succeeded.
        """
        attempt_count = max(self.successful_attempts, 1)
        interval_latency = self.accumulated_attempt_time / attempt_count
        weight = newest_sample_weight(attempt_count, LATENCY_WEIGHT_ATTEMPTS)
        self.smoothed_latency = update_or_start_ewma(self.smoothed_latency, interval_latency, weight)
        average_latency = self.smoothed_latency
        unobserved_fraction = self.server_selector.slow_start.unobserved_load_fraction
        if self.usage_gossip.is_enabled and unobserved_fraction:
            peer_load = self.usage_gossip.peer_load
            peer_load.decay(now)
            weight = newest_sample_weight(
                attempt_count * (1 + peer_load.message_weight), LATENCY_WEIGHT_ATTEMPTS
            )
            interval_latency = peer_load.mean_latency(interval_latency)
            average_latency = peer_load.mean_latency(average_latency)
        if self.successful_attempts:
            self.idle_latency = min(
                average_latency, self.idle_latency * IDLE_LATENCY_GROWTH_FACTOR or average_latency
            )
        self.usage_gossip.set_mean_latency(average_latency)
        full_load = self._compute_full_load_latency(unobserved_fraction)
        self.utilization = update_ewma(
            self.utilization, interval_latency / full_load, min(UTILIZATION_EWMA_WEIGHT, weight)
        )

    def _compute_full_load_latency(self, unobserved_fraction: float) -> float:
        """Return the mean latency at which the fleet counts as fully loaded.

        Args:
            unobserved_fraction: Fraction of a server's load that this limiter cannot observe.
        """
        objective = self.context.min_latency_objective
        queueing_fraction = FULL_LOAD_QUEUEING_FRACTION + unobserved_fraction * (
            UNOBSERVED_LOAD_QUEUEING_FRACTION - FULL_LOAD_QUEUEING_FRACTION
        )
        return self.idle_latency + queueing_fraction * max(0.0, objective - self.idle_latency)
