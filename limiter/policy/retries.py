"""Attempts and retries: sending a request to a server, the retry budget, what may be repeated, and the end.

Types: limiter/model. Times are milliseconds.
"""

from dataclasses import dataclass, field

from limiter.model.actions import FailRequest, RejectRequest, SendAttempt
from limiter.model.events import NEVER_RAN, AttemptEnded, ClientDisconnected, Outcome, StreamStarted
from limiter.model.settings import Idempotency
from limiter.policy.concurrency_limit import ConcurrencyLimit
from limiter.policy.context import PolicyContext
from limiter.policy.customer_registry import CustomerRegistry
from limiter.policy.open_request import OpenRequest
from limiter.policy.server_selection import ServerSelector
from limiter.policy.throttle import UPDATE_INTERVAL_MS
from limiter.policy.usage_gossip import UsageGossip

RETRIES_PER_REQUEST = 0.2  # earned: against retry storms; hurts where many servers fail at once
MAX_RETRY_BUDGET = 10.0
LAST_RETRY_SHARE = 0.1  # of the objective: with less time left a retry is of no use
PRESSURED_UTILIZATION = 0.5  # of the fleet, from which on an attempt is not given up early


@dataclass
class AttemptManager:
    """Owns the open requests: sends their attempts and ends them."""

    context: PolicyContext
    customers: CustomerRegistry
    selector: ServerSelector
    limit: ConcurrencyLimit
    gossip: UsageGossip
    requests: dict[int, OpenRequest] = field(default_factory=dict)
    retry_budget: float = 1.0

    def earn_retries(self) -> None:
        """Add one request's part to the retry budget."""
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRIES_PER_REQUEST)

    def send(self, now: float, request: OpenRequest) -> bool:
        """Send the next attempt of a request, if a server may take it; whether it was sent."""
        time_left = request.useful_until - now
        if time_left <= 0 or request.attempts >= self.context.settings.max_attempts:
            return False
        server = self.selector.choose(now, request)
        if server is None:
            return False
        self.selector.slow_start.record_attempt(server)
        server.start_attempt(request.request.id, request.attempts, now)
        request.start_attempt(now, server.endpoint)
        self.limit.in_flight += 1
        self.gossip.schedule()
        timeout = min(time_left, self._patience(request, time_left))
        self.context.actions.append(SendAttempt(request.request.id, server.endpoint.id, timeout))
        return True

    def _patience(self, request: OpenRequest, time_left: float) -> float:
        """Time after which an attempt is given up: early enough for a retry, where one may be made."""
        request_class = request.request_class
        repeatable = (
            request_class.idempotency is not Idempotency.NOT_IDEMPOTENT and not request_class.streaming
        )
        may_repeat = repeatable and request.attempts < self.context.settings.max_attempts
        if may_repeat and self.limit.utilization < PRESSURED_UTILIZATION and self.retry_budget >= 1:
            return max(request_class.latency_objective / 2, 4 * self.selector.outliers.mean_latency)
        return time_left

    def handle_end(self, now: float, ended: AttemptEnded) -> None:
        """Take in how an attempt ended; retry its request or end that."""
        server = self.selector.table.by_id.get(ended.endpoint_id)
        is_success = ended.outcome is Outcome.OK
        if server is None or not server.end_attempt(ended.request_id, ended.attempt, is_success):
            return  # not an attempt of this process
        self.limit.in_flight -= 1
        self.limit.completed += self.selector.outliers.record_outcome(now, server.health, ended)
        request = self.requests.get(ended.request_id)
        if request is None:
            return
        request.end_attempt()
        self.customers.advance(request.customer, now)
        billable_units = request.request.units if request.admission.within_quota else None
        self.customers.settle(now, request.customer, ended, billable_units)
        if ended.request_finished:
            del self.requests[ended.request_id]
            return
        if ended.outcome in NEVER_RAN and request.first_attempt == ended.attempt:
            request.first_endpoint = None
        if not request.in_flight and not request.is_streaming:
            self._retry_or_end(now, request)

    def _retry_or_end(self, now: float, request: OpenRequest) -> None:
        request_class, request_id = request.request_class, request.request.id
        idempotency = request_class.idempotency
        is_harmless = request.first_endpoint is None or idempotency is Idempotency.IDEMPOTENT
        in_window = now < request.first_sent_at + request_class.dedup_window
        may_repeat = is_harmless or (idempotency is Idempotency.IDEMPOTENCY_KEY and in_window)
        latest = request.useful_until - LAST_RETRY_SHARE * request_class.latency_objective
        if may_repeat and self.retry_budget >= 1 and now < latest and self.send(now, request):
            self.retry_budget -= 1
            return
        del self.requests[request_id]
        answer = RejectRequest(request_id, UPDATE_INTERVAL_MS) if is_harmless else FailRequest(request_id)
        self.context.actions.append(answer)

    def handle_disconnect(self, _now: float, gone: ClientDisconnected) -> None:
        """The client is gone: attempts in flight end by themselves, and nothing more is sent."""
        if (request := self.requests.pop(gone.request_id, None)) is not None:
            request.customer.end_attempts(request.in_flight)

    def handle_stream_start(self, _now: float, started: StreamStarted) -> None:
        """Part of an answer is with the client: the request may not be sent again."""
        if (request := self.requests.get(started.request_id)) is not None:
            request.is_streaming = True
