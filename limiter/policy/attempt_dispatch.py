"""Dispatch of attempts: sends them to servers, handles their ends, and retries or ends their requests.

Types: limiter/model. All times and durations are milliseconds.
"""

from dataclasses import dataclass, field
from enum import Enum, auto

from limiter.model.actions import FailRequest, RejectRequest, SendAttempt
from limiter.model.events import (
    NOT_EXECUTED_OUTCOMES,
    AttemptEnded,
    ClientDisconnected,
    Outcome,
    StreamStarted,
)
from limiter.model.settings import Idempotency
from limiter.policy.concurrency_limit import ConcurrencyLimit
from limiter.policy.context import EngineContext
from limiter.policy.customer_registry import CustomerRegistry
from limiter.policy.open_request import OpenRequest
from limiter.policy.server_selection import ServerSelector
from limiter.policy.throttle import UPDATE_INTERVAL_MS
from limiter.policy.usage_gossip import UsageGossip

# Retries that each request adds to the budget. A small share keeps retries from multiplying the load of a
# fleet that fails; it hurts where many servers fail at once.
RETRIES_PER_REQUEST = 0.2

# Retries that can be saved up.
MAX_AVAILABLE_RETRIES = 10.0

# With less than this share of the latency objective left, a retry comes too late to be of use.
MIN_RETRY_TIME_FRACTION = 0.1

# Utilization of the fleet from which on an attempt is not given up early: retries would add to the load.
MAX_EARLY_TIMEOUT_UTILIZATION = 0.5

# An attempt that may be repeated is given up after this share of the latency objective, but not before this
# many times the mean latency of the fleet.
EARLY_TIMEOUT_OBJECTIVE_FRACTION = 0.5
MIN_EARLY_TIMEOUT_MEAN_LATENCIES = 4


class RetrySafety(Enum):
    """What could happen if a request were sent once more."""

    SAFE = auto()  # It has not run yet, or running it twice does no harm.
    DEDUPLICATED = auto()  # It may have run, but servers still recognise a repeat by its idempotency key.
    UNSAFE = auto()  # It may run twice, and nobody would notice.


@dataclass(eq=False)
class RetryBudget:
    """Retries that may be made: each request earns a part of one."""

    available_retries: float = 1.0

    @property
    def has_available_retry(self) -> bool:
        """Whether a retry may be made now."""
        return self.available_retries >= 1

    def record_request(self) -> None:
        """Add one request's part."""
        self.available_retries = min(MAX_AVAILABLE_RETRIES, self.available_retries + RETRIES_PER_REQUEST)

    def record_retry(self) -> None:
        """Take a retry that is made."""
        self.available_retries -= 1


@dataclass(eq=False)
class AttemptDispatcher:
    """Owns the open requests and the retry budget: sends attempts, and ends the requests.

    Attributes:
        context: What the parts of the policy engine share.
        customers: The customers whose requests these are.
        server_selector: Chooses the server of an attempt.
        concurrency_limit: Counts the attempts in flight from here.
        usage_gossip: Tells the other limiters of them.
        open_requests: Open requests by id, those that are held for a counter reply included.
        retry_budget: Retries that may be made.
    """

    context: EngineContext
    customers: CustomerRegistry
    server_selector: ServerSelector
    concurrency_limit: ConcurrencyLimit
    usage_gossip: UsageGossip
    open_requests: dict[int, OpenRequest] = field(default_factory=dict)
    retry_budget: RetryBudget = field(default_factory=RetryBudget)

    def add_open_request(self, request: OpenRequest) -> None:
        """Enter a request that is held or forwarded; one that was held before stays entered."""
        self.open_requests[request.request.id] = request

    def discard_open_request(self, request_id: int) -> None:
        """Forget a request that is rejected without an attempt, if it was entered."""
        self.open_requests.pop(request_id, None)

    def send_attempt(self, now: float, request: OpenRequest) -> bool:
        """Send the next attempt of a request; return False if it is too late or no server may take it."""
        time_left = request.response_deadline - now
        if time_left <= 0 or not self._has_remaining_attempt(request):
            return False
        server = self.server_selector.choose(now, request)
        if server is None:
            return False
        self.server_selector.slow_start.record_attempt(server)
        server.start_attempt(request.request.id, request.attempts.sent_count, now)
        request.start_attempt(now, server.endpoint)
        self.concurrency_limit.record_attempt_started()
        self.usage_gossip.schedule()
        timeout = self._compute_attempt_timeout(request, time_left)
        self.context.actions.append(SendAttempt(request.request.id, server.endpoint.id, timeout))
        return True

    def _has_remaining_attempt(self, request: OpenRequest) -> bool:
        return request.attempts.sent_count < self.context.settings.max_attempts

    def _compute_attempt_timeout(self, request: OpenRequest, time_left: float) -> float:
        """Return the time after which the attempt just begun is given up.

        Args:
            request: The request.
            time_left: Time in which a response to the request is of use.

        Returns:
            The time left, or less where that makes room for a retry.
        """
        request_class = request.request_class
        is_idempotent = request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
        is_retryable = (
            is_idempotent and not request_class.streams_response and self._has_remaining_attempt(request)
        )
        is_fleet_loaded = self.concurrency_limit.utilization >= MAX_EARLY_TIMEOUT_UTILIZATION
        if not is_retryable or is_fleet_loaded or not self.retry_budget.has_available_retry:
            return time_left
        objective_timeout = request_class.latency_objective * EARLY_TIMEOUT_OBJECTIVE_FRACTION
        min_early_timeout = (
            MIN_EARLY_TIMEOUT_MEAN_LATENCIES * self.server_selector.outlier_detector.mean_latency
        )
        return min(time_left, max(objective_timeout, min_early_timeout))

    def handle_attempt_ended(self, now: float, ended: AttemptEnded) -> None:
        """Take in how an attempt ended; retry its request or end that."""
        server = self.server_selector.table.by_id.get(ended.endpoint_id)
        is_ok = ended.outcome is Outcome.OK
        if server is None or not server.end_attempt(ended.request_id, ended.attempt, is_ok):
            return  # The attempt was not sent by this process.
        is_success = self.server_selector.outlier_detector.record_outcome(now, server.health, ended)
        self.concurrency_limit.record_attempt_ended(is_success)
        request = self.open_requests.get(ended.request_id)
        if request is None:
            return
        request.end_attempt()
        self.customers.advance(request.customer, now)
        billable_units = request.request.units if request.admission.within_quota else None
        self.customers.record_attempt_end(now, request.customer, ended, billable_units)
        if ended.request_finished:
            del self.open_requests[ended.request_id]
            return
        attempts = request.attempts
        if ended.outcome in NOT_EXECUTED_OUTCOMES:
            attempts.mark_never_ran(ended.attempt)
        if not attempts.in_flight and not attempts.is_streaming:
            self._retry_or_end(now, request)

    def _retry_or_end(self, now: float, request: OpenRequest) -> None:
        """Retry a request without an attempt in flight, or give it its final response."""
        retry_safety = self._determine_retry_safety(now, request)
        if retry_safety is not RetrySafety.UNSAFE and self._retry(now, request):
            return
        request_id = request.request.id
        del self.open_requests[request_id]
        if retry_safety is RetrySafety.SAFE:
            self.context.actions.append(RejectRequest(request_id, UPDATE_INTERVAL_MS))
        else:
            self.context.actions.append(FailRequest(request_id))

    @staticmethod
    def _determine_retry_safety(now: float, request: OpenRequest) -> RetrySafety:
        first = request.attempts.first_attempt
        request_class = request.request_class
        if first is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return RetrySafety.SAFE
        has_key = request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
        if has_key and now < first.sent_at + request_class.dedup_window:
            return RetrySafety.DEDUPLICATED
        return RetrySafety.UNSAFE

    def _retry(self, now: float, request: OpenRequest) -> bool:
        """Send a request once more, if there is budget and time for it; return whether it was sent."""
        latest_retry_time = (
            request.response_deadline - MIN_RETRY_TIME_FRACTION * request.request_class.latency_objective
        )
        if (
            not self.retry_budget.has_available_retry
            or now >= latest_retry_time
            or not self.send_attempt(now, request)
        ):
            return False
        self.retry_budget.record_retry()
        return True

    def handle_disconnect(self, _now: float, disconnected: ClientDisconnected) -> None:
        """Forget a request whose client has left; its attempts in flight end by themselves."""
        request = self.open_requests.pop(disconnected.request_id, None)
        if request is not None:
            request.customer.end_attempts(request.attempts.in_flight)

    def handle_stream_start(self, _now: float, started: StreamStarted) -> None:
        """Note that the client has part of the response: the request may not be sent again."""
        request = self.open_requests.get(started.request_id)
        if request is not None:
            request.attempts.mark_streaming()
