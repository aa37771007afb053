"""Server selection: the servers that may be sent to, their slow start, and the cheapest one for an attempt.

Types: limiter/model. Times are milliseconds.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import nsmallest

from limiter.model.events import EndpointsChanged
from limiter.model.records import ServerRecord
from limiter.model.settings import DedupScope, Idempotency
from limiter.model.tables import ServerTable
from limiter.policy.context import PolicyContext
from limiter.policy.open_request import OpenRequest
from limiter.policy.outlier_detection import OutlierDetector

MAX_CANDIDATES = 100  # that one choice looks at: what is known of few servers beats an even draw
SILENCE_TRIAL_MS = 1000.0  # after this without an attempt, one shows whether a silence lasts
CREDIT_SHARE = 0.75  # of a warming server's budget that its even share of attempts may fill: room for chance
MIN_EVEN_SHARE = 2.0  # attempts from here, as even share of a warm-up: below, credits only cost connections


@dataclass
class SlowStart:
    """How much a server may get while it warms up.

    What all limiters send to it adds up, and by cost alone it ranks first at each of them, since little is in
    flight there. So it earns a credit for its even share of attempts, and is drawn by its warmth.
    """

    context: PolicyContext
    unseen_load_share: float
    fleet_warmth: float = 1.0  # in warm servers
    even_share: float = 0.0  # attempts from here so far, each over the fleet's warmth at the time

    def measure_fleet(self, now: float, servers: list[ServerRecord]) -> float:
        """Warmth of all these servers together, in warm servers."""
        starting = (server for server in servers if server.endpoint.started_at > 0)
        warmth = len(servers) - sum(1 - server.warmth(now, self.context.settings) for server in starting)
        self.fleet_warmth = max(1.0, warmth)
        return warmth

    def register(self, server: ServerRecord) -> None:
        """Begin the credit of a server; drawn, so that not all limiters turn to it in the same moment."""
        server.credit_at = self.even_share
        server.credit = self.context.random.random() if self.unseen_load_share else 1.0

    def record_attempt(self, server: ServerRecord) -> None:
        """Count an attempt that is sent from here to this server."""
        self.even_share += 1 / self.fleet_warmth
        server.credit -= 1

    def with_credit(self, now: float, servers: list[ServerRecord]) -> list[ServerRecord]:
        """Those of the servers that may get an attempt by their credit, where credits are of use."""
        least = MIN_EVEN_SHARE * (now - self.context.started_at)
        if not self.unseen_load_share or self.even_share * self.context.settings.slow_start_duration < least:
            return servers
        return [server for server in servers if self._credit(now, server) >= 1]

    def _credit(self, now: float, server: ServerRecord) -> float:
        """Attempts that a server may get: its even share by warmth, one saved up at most."""
        if (warmth := server.warmth(now, self.context.settings)) >= 1:
            return 1.0
        per_share = CREDIT_SHARE / self.unseen_load_share * self.context.settings.slow_start_overload * warmth
        server.credit = min(1.0, server.credit + per_share * (self.even_share - server.credit_at))
        server.credit_at = self.even_share
        return server.credit

    def choose(self, now: float, servers: Iterable[ServerRecord]) -> ServerRecord | None:
        """The first that a draw by its warmth passes: right in sum at any number of limiters."""
        random, settings = self.context.random.random, self.context.settings
        return next((server for server in servers if random() < server.warmth(now, settings)), None)


@dataclass
class ServerSelector:
    """Chooses among the servers that are ready."""

    context: PolicyContext
    outliers: OutlierDetector
    slow_start: SlowStart
    table: ServerTable = field(default_factory=ServerTable)

    def update_endpoints(self, change: EndpointsChanged) -> None:
        """Take in the endpoint list, or what changed of it."""
        for server in self.table.update(change):
            self.slow_start.register(server)

    def choose(self, now: float, request: OpenRequest) -> ServerRecord | None:
        """The server for the next attempt; None where none may take it."""
        candidates = [server for server in self._candidates(request) if now >= server.paused_until]
        untried = [server for server in candidates if server.endpoint.id not in request.tried]
        sound = self.outliers.without_outliers(now, untried or candidates)
        sound = self.slow_start.with_credit(now, sound)
        count = max(1, int(self.context.settings.slow_start_overload))
        cheapest = nsmallest(count, sound, lambda server: self.cost(now, server))
        return self.slow_start.choose(now, cheapest)

    def _candidates(self, request: OpenRequest) -> list[ServerRecord]:
        """All ready servers of a small fleet, some drawn of a large one; a retry may be bound to a scope."""
        candidates = self.table.ready
        if len(candidates) > MAX_CANDIDATES:
            candidates = self.context.random.sample(candidates, MAX_CANDIDATES)
        first, request_class = request.first_endpoint, request.request_class
        if first is not None and request_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
            if request_class.dedup_scope is DedupScope.ZONE:
                return [server for server in self.table.ready if server.endpoint.zone == first.zone]
            if request_class.dedup_scope is DedupScope.CELL:
                return [server for server in self.table.ready if server.endpoint.cell == first.cell]
        return candidates

    def cost(self, now: float, server: ServerRecord) -> float:
        """Expected time of an attempt: latency, own attempts in flight, and what failures add in retries."""
        latency, remaining = self.outliers.mean_latency, 0.0
        if server.latency:
            remaining = self.outliers.remaining_weight(now, server)
            latency += remaining * (server.latency - latency)
        in_flight, overtaken = len(server.in_flight), 0
        if in_flight:
            overtaken = server.overtaken_attempts(now - self.context.tightest_objective)
            if in_flight > overtaken and now - server.last_sent_at < SILENCE_TRIAL_MS:
                latency = max(latency, now - server.waiting_since())
        noise = self.context.random.uniform(1.0, 1.1)  # limiters that know the same must not choose the same
        success_rate = max(0.05, 1 - remaining * server.failure_rate)
        return noise * (latency + 1.0) * (1 + in_flight - overtaken) / success_rate**2
