"""Server selection: chooses the ready server that an attempt is sent to.

Servers that are paused, ejected or without slow-start credit are excluded. The others are compared by cost,
which is the expected time of an attempt at the server. Types are defined in limiter/model. All times and
durations are in milliseconds.
"""

import math
from dataclasses import dataclass, field
from heapq import nsmallest

from limiter.model.events import EndpointsChanged
from limiter.model.settings import DedupScope, Idempotency
from limiter.policy.context import EngineContext
from limiter.policy.open_request import OpenRequest
from limiter.policy.outlier_detection import HEALTH_DECAY_TIME_MS, OutlierDetector
from limiter.policy.server_table import Server, ServerTable
from limiter.policy.slow_start import SlowStart

# Maximum number of servers, sampled at random from the fleet, that one choice compares. This bounds the
# processor time of a choice in a fleet of any size, and comparing these servers by what the limiter knows of
# them is better than choosing one uniformly at random.
MAX_CANDIDATES = 100

# After no attempt was sent to an unresponsive server for this long, its unanswered attempts no longer
# increase its cost, so that the next attempt can show whether the server responds again.
UNRESPONSIVE_RETRY_MS = 1000.0

# The cost is multiplied by a factor drawn uniformly from this range, so that limiters with the same
# information do not all choose the same server.
MIN_COST_NOISE = 1.0
MAX_COST_NOISE = 1.1

# Added to the latency in the cost, so that servers without a measured latency still differ by their load.
BASE_LATENCY_MS = 1.0

# Lower bound of the success rate that the cost is divided by; near 0 the cost would grow without limit.
MIN_SUCCESS_RATE = 0.05


@dataclass(eq=False)
class ServerSelector:
    """Chooses a server for each attempt among the ready servers.

    Attributes:
        context: State shared by the components of the engine.
        outlier_detector: Provides the mean latency of the fleet.
        slow_start: Limits the attempts to servers that are warming up.
        table: The known servers.
    """

    context: EngineContext
    outlier_detector: OutlierDetector
    slow_start: SlowStart
    table: ServerTable = field(default_factory=ServerTable)

    def update_endpoints(self, change: EndpointsChanged) -> None:
        """Apply a full endpoint list, or changes to the list, and register new servers for slow start."""
        for server in self.table.update(change):
            self.slow_start.register_server(server)

    def choose(self, now: float, request: OpenRequest) -> Server | None:
        """Return the server for the next attempt of a request, or None if no server may receive it.

        Servers that the request has not been sent to are preferred. Slow start draws one of the cheapest.
        """
        # The pause conditions are inline because they are checked for every candidate, and calls cost time.
        candidates = [
            server
            for server in self._list_candidates(request)
            if server.health.pause is None or now >= server.health.pause.ends_at
        ]
        untried = [
            server for server in candidates if server.endpoint.id not in request.attempts.tried_endpoint_ids
        ]
        candidates = self._exclude_ejected(now, untried or candidates)
        candidates = self.slow_start.filter_by_credit(now, candidates)
        max_cheapest_servers = max(1, int(self.context.settings.slow_start_overload))
        cheapest = nsmallest(max_cheapest_servers, candidates, lambda server: self.estimate_cost(now, server))
        return self.slow_start.draw_server(now, cheapest)

    def _list_candidates(self, request: OpenRequest) -> list[Server]:
        """Return the ready servers that the request may be sent to; in a large fleet, a random sample.

        If the idempotency key of a retry is recognized in one zone or cell only, these are all ready servers
        of that zone or cell.
        """
        candidates = self.table.ready
        if len(candidates) > MAX_CANDIDATES:
            candidates = self.context.random.sample(candidates, MAX_CANDIDATES)
        first_attempt_sent = request.attempts.first_attempt
        request_class = request.request_class
        if first_attempt_sent is not None and request_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
            if request_class.dedup_scope is DedupScope.ZONE:
                return [
                    server
                    for server in self.table.ready
                    if server.endpoint.zone == first_attempt_sent.endpoint.zone
                ]
            if request_class.dedup_scope is DedupScope.CELL:
                return [
                    server
                    for server in self.table.ready
                    if server.endpoint.cell == first_attempt_sent.endpoint.cell
                ]
        return candidates

    @staticmethod
    def _exclude_ejected(now: float, servers: list[Server]) -> list[Server]:
        """Return the servers that are not ejected or are due for a probe.

        If more than half of the servers would be excluded, the fault is unlikely to be theirs, and all
        servers are returned.
        """
        healthy = [
            server
            for server in servers
            if server.health.ejection is None or server.health.ejection.accepts_probe(now)
        ]
        most_are_ejected = 2 * len(healthy) < len(servers)
        return servers if most_are_ejected else healthy

    def estimate_cost(self, now: float, server: Server) -> float:
        """Return the expected time of an attempt, including retries after failures, with random noise.

        The cost grows with the server's latency and with the attempts in flight from this limiter to it, not
        counting those that are presumed lost. The latency of a server that does not respond is at least the
        time for which the limiter has been waiting for it.
        """
        health = server.health
        latency = self.outlier_detector.mean_latency
        health_weight = 0.0
        if health.average_latency:
            # Same value as `health.compute_remaining_weight`, without a call for each compared server.
            health_weight = math.exp((health.last_outcome_at - now) / HEALTH_DECAY_TIME_MS)
            latency += health_weight * (health.average_latency - latency)
        active_attempts = 0
        attempts = server.attempts_in_flight
        if attempts is not None:
            presumed_lost_attempts = attempts.count_presumed_lost(now - self.context.min_latency_objective)
            active_attempts = len(attempts.sent_at) - presumed_lost_attempts
            if active_attempts > 0 and now - attempts.last_sent_at < UNRESPONSIVE_RETRY_MS:
                latency = max(latency, now - attempts.unanswered_since())
        noise_factor = self.context.random.uniform(MIN_COST_NOISE, MAX_COST_NOISE)
        success_rate = max(MIN_SUCCESS_RATE, 1 - health_weight * health.failure_rate)
        return noise_factor * (latency + BASE_LATENCY_MS) * (1 + active_attempts) / success_rate**2
