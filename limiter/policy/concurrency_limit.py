"""The concurrency limit: attempts in flight that the fleet of servers bears in good time.

The fleet's utilization is the mean latency of attempts as a share of what full load is taken to add; each
limiter holds an even part of the fleet-wide limit, which follows the throttle's update with bounded steps.
Types: limiter/model. Times are milliseconds.
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

# Waiting that counts as full load, as a share of the tightest objective beyond the idle latency; and the
# same where a limiter sees little of a server's load, since attempts of several limiters meet there by
# chance.
FULL_LOAD_QUEUEING_FRACTION = 0.2
UNOBSERVED_LOAD_QUEUEING_FRACTION = 0.5

# Lowest limit while the fleet is not overloaded: one attempt in flight is ordinary and no sign of load.
MIN_CONCURRENCY_LIMIT = 2.0

# Lowest limit however much the fleet is overloaded: without any attempt a limiter would not see it recover.
MIN_OVERLOADED_CONCURRENCY_LIMIT = 1.0

# Attempts in flight from all limiters together to a server with full capacity: at first, least and most.
INITIAL_ATTEMPTS_PER_SERVER = 5.0
MIN_ATTEMPTS_PER_SERVER = 3.0
MAX_ATTEMPTS_PER_SERVER = 48.0

# Bounds of the factor by which one update changes the attempts per server.
MIN_ADJUSTMENT_FACTOR = 0.7
MAX_ADJUSTMENT_FACTOR = 1.25

# Completed attempts in one update interval that give its latency a weight of 1 - 1/e (about two thirds).
# Fewer say less of the load.
COMPLETED_ATTEMPTS_CONSTANT = 4.0

# Growth of the idle latency in an update: the least mean latency is forgotten slowly.
IDLE_LATENCY_GROWTH_FACTOR = 1.005

# Servers that do not answer, as a share of all, up to which the fault is taken to be theirs. With more of
# them the fleet is loaded.
MAX_UNRESPONSIVE_SERVERS_FRACTION = 1 / 4

# Least utilization, or limit, that is divided by.
MIN_UTILIZATION = 1e-6
MIN_LIMIT_DIVISOR = 1e-9


def unobserved_load_fraction(settings: Settings) -> float:
    """Return how little of a server's load one limiter sees: 0 if enough, towards 1 in an endless fleet."""
    return max(0.0, 1 - INITIAL_ATTEMPTS_PER_SERVER / settings.limiter_count)


@dataclass(eq=False)
class ConcurrencyLimit:
    """Counts the attempts in flight from here and limits them while the fleet is under pressure.

    Attributes:
        context: What the parts of the policy engine share.
        server_selector: Knows the servers and the attempts in flight to each.
        usage_gossip: Knows the load of the other limiters.
        in_flight: Attempts in flight from here.
        stalled_attempts: Of these, the attempts that were lost or wait for unresponsive servers, by the last
            update.
        max_in_flight: Attempts in flight from here that the fleet answers in good time; 0 until there is an
            endpoint list.
        max_attempts_per_server: Attempts in flight from all limiters that a server with full capacity takes.
        utilization: Moving average of the mean latency beyond idle, as a share of what full load adds.
        accumulated_attempt_time: Attempts in flight times their duration, summed up since the last update.
        accumulated_until: Time up to which `busy_time` is summed up.
        updated_at: Time of the last update.
        successful_attempts: Successful attempts since the last update.
        smoothed_latency: Moving average of the mean latency; 0 until one was measured.
        idle_latency: The least mean latency, forgotten slowly; 0 until an attempt has succeeded.
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
        """Attempts in flight that servers work on."""
        return max(0, self.in_flight - self.stalled_attempts)

    @property
    def has_been_computed(self) -> bool:
        """Whether the limit was worked out at least once."""
        return self.max_in_flight > 0

    def start_measuring(self, now: float) -> None:
        """Measure from now on: this is the time of the first event."""
        self.updated_at = now
        self.accumulated_until = now

    def record_attempt_started(self) -> None:
        """Count an attempt that is sent from here."""
        self.in_flight += 1

    def record_attempt_ended(self, is_success: bool) -> None:
        """Count the end of an attempt that was sent from here."""
        self.in_flight -= 1
        if is_success:
            self.successful_attempts += 1

    def advance(self, now: float) -> None:
        """Measure up to now, and update the limit once in an update interval."""
        self.accumulated_attempt_time += self.active_attempts * (now - self.accumulated_until)
        self.accumulated_until = now
        if now - self.updated_at >= UPDATE_INTERVAL_MS:
            self.update(now)

    def mean_in_flight(self) -> float:
        """Return the attempts in flight from here, or from the mean limiter where others gossip theirs."""
        if self.usage_gossip.is_enabled and self.server_selector.slow_start.unobserved_load_fraction:
            return self.usage_gossip.peer_load.mean_in_flight(self.active_attempts)
        return self.active_attempts

    def admission_probability(self) -> float:
        """Return the probability with which a request is admitted: 1 up to half the limit, then falling."""
        return clamp_probability(2 - 2 * self.mean_in_flight() / max(self.max_in_flight, MIN_LIMIT_DIVISOR))

    def update(self, now: float) -> None:
        """Work out the limit anew, and begin the next interval."""
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
        """Multiply the attempts per server by target / utilization, within bounds.

        They rise only while the limit is made use of.
        """
        target_ratio = TARGET_UTILIZATION / max(self.utilization, MIN_UTILIZATION)
        factor = clamp(target_ratio, MIN_ADJUSTMENT_FACTOR, MAX_ADJUSTMENT_FACTOR)
        is_limit_used = 2 * self.mean_in_flight() > self.max_in_flight
        if factor < 1 or is_limit_used:
            self.max_attempts_per_server = clamp(
                self.max_attempts_per_server * factor, MIN_ATTEMPTS_PER_SERVER, MAX_ATTEMPTS_PER_SERVER
            )

    def _count_stalled_attempts(self, now: float) -> int:
        """Return how many of the attempts in flight say nothing of the fleet's load.

        These are the attempts that were overtaken, and those at unresponsive servers unless such servers are
        many.
        """
        if not self.in_flight:
            return 0
        servers = self.server_selector.table.by_id.values()
        busy = [server.attempts_in_flight for server in servers if server.attempts_in_flight is not None]
        sent_before = now - self.context.min_latency_objective
        stalled = sum(attempts.count_presumed_lost(sent_before) for attempts in busy)
        unresponsive = [attempts for attempts in busy if attempts.unanswered_since() < sent_before]
        if len(unresponsive) <= MAX_UNRESPONSIVE_SERVERS_FRACTION * len(servers):
            for attempts in unresponsive:
                stalled += len(attempts.sent_at) - attempts.count_presumed_lost(sent_before)
        return stalled

    def _update_utilization(self, now: float) -> None:
        """Take the mean latency since the last update into the utilization.

        By Little's law the mean latency is the busy time over the number of attempts completed.
        """
        attempt_count = max(self.successful_attempts, 1)
        interval_latency = self.accumulated_attempt_time / attempt_count
        weight = newest_sample_weight(attempt_count, COMPLETED_ATTEMPTS_CONSTANT)
        self.smoothed_latency = update_or_start_ewma(self.smoothed_latency, interval_latency, weight)
        average_latency = self.smoothed_latency
        unobserved_fraction = self.server_selector.slow_start.unobserved_load_fraction
        if self.usage_gossip.is_enabled and unobserved_fraction:
            peer_load = self.usage_gossip.peer_load
            peer_load.decay(now)
            weight = newest_sample_weight(
                attempt_count * (1 + peer_load.message_weight), COMPLETED_ATTEMPTS_CONSTANT
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
        """Return the mean latency at which the fleet counts as fully loaded."""
        objective = self.context.min_latency_objective
        queueing_fraction = FULL_LOAD_QUEUEING_FRACTION + unobserved_fraction * (
            UNOBSERVED_LOAD_QUEUEING_FRACTION - FULL_LOAD_QUEUEING_FRACTION
        )
        return self.idle_latency + queueing_fraction * max(0.0, objective - self.idle_latency)
