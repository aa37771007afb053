"""Server selection: which of the ready servers gets an attempt.

Servers that are paused, ejected or without a credit are left out; the others are compared by the time that an
attempt is expected to take there. Types: limiter/model. All times and durations are milliseconds.
"""

import math
from dataclasses import dataclass, field
from heapq import nsmallest

from limiter.model.events import EndpointsChanged
from limiter.model.settings import DedupScope, Idempotency
from limiter.policy.context import EngineContext
from limiter.policy.open_request import OpenRequest
from limiter.policy.outlier_detection import RECORD_AGEING_MS, OutlierDetector
from limiter.policy.server_table import Server, ServerTable
from limiter.policy.slow_start import SlowStart

# Servers that one choice compares at most, drawn from all. The cost of a choice is bounded so in any
# fleet, and what a limiter knows of few servers tells more than an even draw.
MAX_CANDIDATES = 100

# Once no attempt was sent to an unresponsive server for this long, its waiting attempts no longer raise its
# cost: the next attempt shows whether it still does not answer.
UNRESPONSIVE_RETRY_MS = 1000.0

# The cost is multiplied by a factor drawn from this range: limiters that know the same must not all
# choose the same server.
MIN_COST_NOISE = 1.0
MAX_COST_NOISE = 1.1

# Added to the latency in the cost, so that servers of which no latency is known yet differ by their load.
BASE_LATENCY_MS = 1.0

# Least success rate that the cost reckons with: below it an attempt would seem endlessly expensive.
MIN_SUCCESS_RATE = 0.05


@dataclass(eq=False)
class ServerSelector:
    """Chooses among the servers that are ready.

    Attributes:
        context: What the parts of the policy engine share.
        outlier_detector: Judges servers by how attempts end.
        slow_start: Limits what a server gets while it warms up.
        table: The servers.
    """

    context: EngineContext
    outlier_detector: OutlierDetector
    slow_start: SlowStart
    table: ServerTable = field(default_factory=ServerTable)

    def update_endpoints(self, change: EndpointsChanged) -> None:
        """Take in the endpoint list, or what changed of it."""
        for server in self.table.update(change):
            self.slow_start.register(server)

    def choose(self, now: float, request: OpenRequest) -> Server | None:
        """Return the server for the next attempt of a request; None where none may take it."""
        # Both conditions stand here without a call, since they are asked of every candidate.
        candidates = [
            server
            for server in self._candidates(request)
            if server.health.pause is None or now >= server.health.pause.ends_at
        ]
        untried = [
            server for server in candidates if server.endpoint.id not in request.attempts.tried_endpoint_ids
        ]
        candidates = self._without_ejected(now, untried or candidates)
        candidates = self.slow_start.with_credit(now, candidates)
        count = max(1, int(self.context.settings.slow_start_overload))
        cheapest = nsmallest(count, candidates, lambda server: self.estimate_cost(now, server))
        return self.slow_start.choose(now, cheapest)

    def _candidates(self, request: OpenRequest) -> list[Server]:
        """Return the servers that the request may be sent to, some of them drawn in a large fleet.

        A retry that only one zone or cell knows as a repeat is bound to that.
        """
        candidates = self.table.ready
        if len(candidates) > MAX_CANDIDATES:
            candidates = self.context.random.sample(candidates, MAX_CANDIDATES)
        first = request.attempts.first_attempt
        request_class = request.request_class
        if first is not None and request_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
            if request_class.dedup_scope is DedupScope.ZONE:
                return [server for server in self.table.ready if server.endpoint.zone == first.endpoint.zone]
            if request_class.dedup_scope is DedupScope.CELL:
                return [server for server in self.table.ready if server.endpoint.cell == first.endpoint.cell]
        return candidates

    @staticmethod
    def _without_ejected(now: float, servers: list[Server]) -> list[Server]:
        """Return the servers that are not ejected, or due for a probe.

        Where most are ejected the fault is not theirs, and all are returned.
        """
        healthy = [
            server
            for server in servers
            if server.health.ejection is None or server.health.ejection.accepts_probe(now)
        ]
        most_are_ejected = 2 * len(healthy) < len(servers)
        return servers if most_are_ejected else healthy

    def estimate_cost(self, now: float, server: Server) -> float:
        """Return the expected time of an attempt, retries after failures included, with noise.

        It grows with the server's latency and the attempts in flight to it from here; overtaken attempts are
        left out. A server that does not answer has at least the latency for which it has been waited for.
        """
        health = server.health
        latency = self.outlier_detector.mean_latency
        record_weight = 0.0
        if health.latency:
            # What `health.remaining_weight` returns, without a call for each candidate of each choice.
            record_weight = math.exp((health.last_outcome_at - now) / RECORD_AGEING_MS)
            latency += record_weight * (health.latency - latency)
        working = 0
        attempts = server.attempts_in_flight
        if attempts is not None:
            overtaken = attempts.count_presumed_lost(now - self.context.min_latency_objective)
            working = len(attempts.sent_at) - overtaken
            if working > 0 and now - attempts.last_sent_at < UNRESPONSIVE_RETRY_MS:
                latency = max(latency, now - attempts.unanswered_since())
        noise = self.context.random.uniform(MIN_COST_NOISE, MAX_COST_NOISE)
        success_rate = max(MIN_SUCCESS_RATE, 1 - record_weight * health.failure_rate)
        return noise * (latency + BASE_LATENCY_MS) * (1 + working) / success_rate**2
