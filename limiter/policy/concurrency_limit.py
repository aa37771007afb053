"""The concurrency limit: attempts in flight that the fleet of servers bears in good time.

The fleet's utilization is the mean latency of attempts as a share of what full load is taken to add; each
limiter holds an even part of the fleet-wide limit, which follows the throttle's update with bounded steps.
Types: limiter/model. Times are milliseconds.
"""

import math
from dataclasses import dataclass

from limiter.model.settings import Settings
from limiter.policy.context import PolicyContext
from limiter.policy.server_selection import ServerSelector
from limiter.policy.throttle import EWMA_WEIGHT, TARGET_UTILIZATION, UPDATE_INTERVAL_MS, clamped
from limiter.policy.usage_gossip import UsageGossip

FULL_LOAD_WAIT_SHARE = 0.2  # of the tightest objective beyond idle latency: waiting that counts as full load
UNSEEN_LOAD_WAIT_SHARE = 0.5  # the same where a limiter sees little of a server's load: attempts meet there
MIN_LIMIT = 2.0  # one attempt in flight is the ordinary thing at any limiter and no sign of load
INITIAL_PER_SERVER = 5.0  # attempts in flight at a warm server, of all limiters
MIN_PER_SERVER, MAX_PER_SERVER = 3.0, 48.0
MAX_DECREASE, MAX_INCREASE = 0.7, 1.25  # factors of the limit in one update
COMPLETED_SCALE = 4.0  # attempts in one update that weigh two thirds: fewer say less of the load
IDLE_LATENCY_GROWTH = 1.005  # of the least latency in an update: it is forgotten slowly


def unseen_load_share(settings: Settings) -> float:
    """How little of a server's load one limiter sees: 0 where it sees enough, 1 in an endless fleet."""
    return max(0.0, 1 - INITIAL_PER_SERVER / settings.limiter_count)


@dataclass
class ConcurrencyLimit:
    """Counts the attempts in flight from here and limits them while the fleet is under pressure."""

    context: PolicyContext
    selector: ServerSelector
    gossip: UsageGossip
    in_flight: int = 0
    stalled: int = 0  # of these, attempts that were lost or wait for silent servers
    limit: float = 0.0  # attempts in flight from here that the fleet takes in good time; 0: not known yet
    per_server: float = INITIAL_PER_SERVER  # attempts that a warm server takes, of all limiters
    utilization: float = 0.0
    busy_time: float = 0.0  # attempts in flight, summed over time since the last update
    measured_at: float = 0.0
    updated_at: float = 0.0
    completed: int = 0  # successful attempts since the last update
    latency: float = 0.0  # EWMA of the mean latency
    idle_latency: float = 0.0  # the least mean latency, forgotten slowly

    @property
    def working(self) -> int:
        """Attempts in flight that servers work on."""
        return max(0, self.in_flight - self.stalled)

    def start(self, now: float) -> None:
        """Begin to measure."""
        self.updated_at = self.measured_at = now

    def record_attempt_started(self) -> None:
        """Count an attempt that is sent from here."""
        self.in_flight += 1

    def record_attempt_ended(self, is_success: bool) -> None:
        """Count the end of an attempt that was sent from here."""
        self.in_flight -= 1
        self.completed += is_success

    def advance(self, now: float) -> None:
        """Measure up to now, and update the limit once in an update interval."""
        self.busy_time += self.working * (now - self.measured_at)
        self.measured_at = now
        if now - self.updated_at >= UPDATE_INTERVAL_MS:
            self.update(now)

    def mean_in_flight(self) -> float:
        """Attempts in flight from here, or from the mean limiter where the others gossip theirs."""
        if self.gossip.is_enabled and self.selector.slow_start.unseen_load_share:
            return self.gossip.peer_load.mean_in_flight(self.working)
        return self.working

    def admission_probability(self) -> float:
        """Probability with which a request is admitted: 1 up to half the limit, then falling."""
        return clamped(2 - 2 * self.mean_in_flight() / max(self.limit, 1e-9))

    def update(self, now: float) -> None:
        """Multiply the limit by target / utilization, clamped."""
        self.stalled = self._count_stalled(now)
        self._measure_utilization(now)
        step = min(MAX_INCREASE, max(MAX_DECREASE, TARGET_UTILIZATION / max(self.utilization, 1e-6)))
        if step < 1 or 2 * self.mean_in_flight() > self.limit:
            self.per_server = min(MAX_PER_SERVER, max(MIN_PER_SERVER, self.per_server * step))
        capacity = self.selector.slow_start.measure_fleet(now, self.selector.table.ready)
        least = min(MIN_LIMIT, max(1.0, MIN_LIMIT / max(self.utilization, 1e-6)))
        self.limit = max(least, self.per_server * capacity / self.context.settings.limiter_count)
        self.updated_at = now
        self.completed = 0
        self.busy_time = 0.0

    def _count_stalled(self, now: float) -> int:
        """Attempts that say nothing of the fleet: overtaken, or at silent servers unless these are many."""
        before = now - self.context.tightest_objective
        servers = self.selector.table.by_id.values() if self.in_flight else ()
        busy = [server.attempts_in_flight for server in servers if server.attempts_in_flight is not None]
        stalled = sum(attempts.count_overtaken(before) for attempts in busy)
        silent = [attempts for attempts in busy if attempts.waiting_since() < before]
        if 4 * len(silent) <= len(self.selector.table.by_id):
            stalled += sum(len(attempts.sent_at) - attempts.count_overtaken(before) for attempts in silent)
        return stalled

    def _measure_utilization(self, now: float) -> None:
        completed = max(self.completed, 1)
        newest = self.busy_time / completed
        weight = 1 - math.exp(-completed / COMPLETED_SCALE)
        self.latency += weight * (newest - self.latency) if self.latency else newest
        mean, gossip = self.latency, self.gossip
        unseen_share = self.selector.slow_start.unseen_load_share
        if gossip.is_enabled and unseen_share:
            peer_load = gossip.peer_load
            peer_load.decay(now)
            weight = 1 - math.exp(-completed * (1 + peer_load.weight) / COMPLETED_SCALE)
            newest = peer_load.mean_latency(newest)
            mean = peer_load.mean_latency(mean)
        if self.completed:
            self.idle_latency = min(mean, self.idle_latency * IDLE_LATENCY_GROWTH or mean)
        gossip.set_mean_latency(mean)
        objective = self.context.tightest_objective
        wait_share = FULL_LOAD_WAIT_SHARE + unseen_share * (UNSEEN_LOAD_WAIT_SHARE - FULL_LOAD_WAIT_SHARE)
        full_load = self.idle_latency + wait_share * max(0.0, objective - self.idle_latency)
        self.utilization += min(EWMA_WEIGHT, weight) * (newest / full_load - self.utilization)
