"""Attempt dispatch: sends attempts to servers, handles their outcomes, and retries or finishes requests.

Types are defined in limiter/model. Times and durations are in milliseconds.
"""

import math
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

# Retries that each request adds to the budget. A small ratio prevents retries from multiplying the load of a
# failing fleet. Its drawback is that too few retries are available when many servers fail at once.
RETRIES_PER_REQUEST = 0.2

# Maximum number of retries that the budget accumulates.
MAX_AVAILABLE_RETRIES = 10.0

# Minimum time before the response deadline for a retry to be useful, as a fraction of the latency objective.
MIN_RETRY_TIME_FRACTION = 0.1

# Utilization of the fleet at and above which attempts do not time out early, because the retries that follow
# would add to the load.
MAX_EARLY_TIMEOUT_UTILIZATION = 0.5

# An attempt that may be retried times out early, after this fraction of the latency objective, but not before
# this multiple of the mean latency of the fleet.
EARLY_TIMEOUT_OBJECTIVE_FRACTION = 0.5
MIN_EARLY_TIMEOUT_MEAN_LATENCIES = 4

# The last retry of a request with an idempotency key is sent this long before the servers may forget the key.
# The process may be held up for this long between reading the clock and writing.
DEDUP_WINDOW_MARGIN_MS = 150.0


class RetrySafety(Enum):
    """What a further attempt of a request could cause."""

    # The request has not run, or it is idempotent.
    SAFE = auto()
    # The request may have run, but servers still detect a duplicate by its idempotency key.
    DEDUPLICATED = auto()
    # The request may run twice, and no server would detect that.
    UNSAFE = auto()


@dataclass(eq=False)
class RetryBudget:
    """The number of retries that may be made; each request adds a fraction of a retry."""

    available_retries: float = 1.0

    @property
    def has_available_retry(self) -> bool:
        """Whether a retry may be made now."""
        return self.available_retries >= 1

    def record_request(self) -> None:
        """Add the fraction of a retry that one request grants."""
        self.available_retries = min(MAX_AVAILABLE_RETRIES, self.available_retries + RETRIES_PER_REQUEST)

    def record_retry(self) -> None:
        """Deduct one retry."""
        self.available_retries -= 1


@dataclass(eq=False)
class AttemptDispatcher:
    """Sends the attempts of open requests, retries failed ones and finishes the requests.

    Attributes:
        context: State shared by the components of the engine.
        customers: The customers with recent requests.
        server_selector: Chooses the server of each attempt.
        concurrency_limit: Counts the attempts in flight from this limiter.
        usage_gossip: Reports the attempts in flight to the other limiters.
        open_requests: Open requests by id, including those that are held for a reply of the counter.
        retry_budget: Limits the number of retries.
    """

    context: EngineContext
    customers: CustomerRegistry
    server_selector: ServerSelector
    concurrency_limit: ConcurrencyLimit
    usage_gossip: UsageGossip
    open_requests: dict[int, OpenRequest] = field(default_factory=dict)
    retry_budget: RetryBudget = field(default_factory=RetryBudget)

    def add_open_request(self, request: OpenRequest) -> None:
        """Add a request that is held or forwarded; adding it again after a hold has no effect."""
        self.open_requests[request.request.id] = request

    def discard_open_request(self, request_id: int) -> None:
        """Remove a request that is rejected without an attempt, if it is among the open requests."""
        self.open_requests.pop(request_id, None)

    def send_attempt(self, now: float, request: OpenRequest) -> bool:
        """Send the next attempt of a request.

        Returns:
            Whether it was sent; False if the response deadline has passed, no attempt is left, or no server
            can take it.
        """
        time_left = request.response_deadline - now
        if time_left <= 0 or not self._has_remaining_attempt(request):
            return False
        server = self.server_selector.choose(now, request)
        if server is None:
            return False
        write_before = _compute_dedup_end(request)
        self.server_selector.slow_start.record_attempt(server)
        server.start_attempt(request.request.id, request.attempts.sent_count, now)
        request.start_attempt(now, server.endpoint)
        self.concurrency_limit.record_attempt_started()
        self.usage_gossip.schedule()
        timeout = self._compute_attempt_timeout(now, request, time_left)
        self.context.actions.append(
            SendAttempt(request.request.id, server.endpoint.id, timeout, write_before)
        )
        return True

    def _has_remaining_attempt(self, request: OpenRequest) -> bool:
        return request.attempts.sent_count < self.context.settings.max_attempts

    def _compute_attempt_timeout(self, now: float, request: OpenRequest, time_left: float) -> float:
        """Return the timeout of the attempt that was just started.

        Args:
            now: The current time.
            request: The request.
            time_left: Time until the response deadline of the request.

        Returns:
            The time left, or a shorter timeout that leaves time for a retry.
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
        early_timeout = max(objective_timeout, min_early_timeout)
        if now + early_timeout >= _compute_dedup_end(request):
            return time_left  # It would be too late for a retry.
        return min(time_left, early_timeout)

    def handle_attempt_ended(self, now: float, ended: AttemptEnded) -> None:
        """Record the outcome of an attempt, then retry or finish its request."""
        server = self.server_selector.table.by_id.get(ended.endpoint_id)
        is_ok = ended.outcome is Outcome.OK
        if server is None or not server.end_attempt(ended.request_id, ended.attempt, is_ok):
            return  # This process did not send the attempt.
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
            attempts.mark_not_executed(ended.attempt)
        if not attempts.in_flight and not attempts.is_streaming:
            self._retry_or_finish(now, request)

    def _retry_or_finish(self, now: float, request: OpenRequest) -> None:
        """Retry a request that has no attempt in flight, or finish it as rejected or failed."""
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
        if has_key and now < _compute_dedup_end(request):
            return RetrySafety.DEDUPLICATED
        return RetrySafety.UNSAFE

    def _retry(self, now: float, request: OpenRequest) -> bool:
        """Retry a request if the retry budget and the time left allow it.

        Returns:
            Whether an attempt was sent.
        """
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
        """Remove a request whose client has disconnected; its attempts in flight end by themselves."""
        request = self.open_requests.pop(disconnected.request_id, None)
        if request is not None:
            request.customer.end_attempts(request.attempts.in_flight)

    def handle_stream_start(self, _now: float, started: StreamStarted) -> None:
        """Record that the client has received part of the response, so that the request is not retried."""
        request = self.open_requests.get(started.request_id)
        if request is not None:
            request.attempts.mark_streaming()


def _compute_dedup_end(request: OpenRequest) -> float:
    """Return the time from which on a retry of a request might not be recognized by its idempotency key.

    It is infinite if no attempt may have been executed, and for requests without a key.
    """
    first = request.attempts.first_attempt
    request_class = request.request_class
    if first is None or request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
        return math.inf
    return first.sent_at + request_class.dedup_window - DEDUP_WINDOW_MARGIN_MS
