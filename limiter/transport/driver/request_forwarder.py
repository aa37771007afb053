"""Sends attempts of clients' requests to servers, and ends each request."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from functools import partial
from typing import assert_never

from limiter.model.actions import CancelAttempt, FailRequest, RejectRequest, SendAttempt
from limiter.model.events import AttemptEnded, ClientDisconnected, Event, Outcome
from limiter.model.settings import Idempotency, Settings
from limiter.policy.throttle import UPDATE_INTERVAL_MS
from limiter.transport.clock import Clock
from limiter.transport.driver.proxied_request import ProxiedRequest, RequestTable
from limiter.transport.servers.attempt import Attempt, AttemptRequest
from limiter.transport.servers.server_pool import ServerPool

# A timer that fires early by no more than this is treated as due. An attempt whose timeout ends no more than
# this before the request's deadline gets no timer of its own: the request's timer ends it.
TIMER_TOLERANCE_MS = 0.5


# Policy actions that concern a client's request.
RequestAction = SendAttempt | RejectRequest | FailRequest | CancelAttempt


class RequestForwarder:
    """Executes the policy's request actions, reports ended attempts, and ends requests at their deadlines."""

    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        server_pool: ServerPool,
        requests: RequestTable,
        handle_event: Callable[[Event], None],
    ) -> None:
        """Create a forwarder without requests.

        Args:
            clock: The clock of the events.
            settings: Provides the request classes and the maximum number of attempts per request.
            server_pool: Sends the attempts.
            requests: Holds the requests.
            handle_event: Passes an event to the policy and executes the resulting actions.
        """
        self._loop = asyncio.get_running_loop()
        self._clock = clock
        self._max_attempts = settings.max_attempts
        self._request_classes = settings.request_classes
        self._server_pool = server_pool
        self.requests = requests
        self._handle_event = handle_event

    def execute_action(self, action: RequestAction) -> None:
        """Execute an action of the policy; has no effect on a request that was released."""
        request = self.requests.by_number.get(action.request_id)
        if request is None:
            return
        match action:
            case SendAttempt():
                self._send_attempt(request, action)
            case RejectRequest():
                status = 503 if request.attempt_count else 429
                self.requests.respond(request, status, retry_after_ms=action.retry_after)
            case FailRequest():
                self.requests.respond(request, 502)
            case CancelAttempt():
                self._cancel_attempt(request, action.attempt)
            case _:
                assert_never(action)

    # Requests

    def submit(self, request: ProxiedRequest) -> None:
        """Add a new request, start its deadline timer and pass its event to the policy."""
        self.requests.add(request)
        self._start_deadline_timer(request, max(0.0, request.remaining_ms(self._clock())))
        self._handle_event(request.event)

    def client_disconnected(self, request: ProxiedRequest) -> None:
        """Finish a request whose client has disconnected.

        Attempts whose write has begun continue: a server may run them, and the policy needs their outcomes.
        """
        if request.is_released:
            return
        is_submitted = self.requests.is_submitted(request)
        was_finished = request.is_finished
        request.finish()
        for attempt in request.attempts_in_flight:
            attempt.cancel_unsent(Outcome.CANCELLED)
        # The policy does not know a request that was not submitted, and knows that a finished one has ended.
        if is_submitted and not was_finished:
            self._handle_event(ClientDisconnected(request.event.id))
        self.requests.release_if_done(request)

    def end_request(self, request: ProxiedRequest) -> None:
        """End a request now: time out its attempts, and respond to it.

        The policy may respond as the attempts time out. If it does not, this method responds.
        """
        request.expire(self._clock())
        for attempt in request.attempts_in_flight[:]:
            attempt.abandon()
        if not request.is_finished:
            self._respond_at_deadline(request)
            self._handle_event(ClientDisconnected(request.event.id))
        self.requests.release_if_done(request)

    def _respond_at_deadline(self, request: ProxiedRequest) -> None:
        # 503 tells the client that a retry is safe: no server ran the request, or the request is idempotent.
        idempotency = self._request_classes[request.event.request_class].idempotency
        is_retry_safe = not request.may_have_run or idempotency is Idempotency.IDEMPOTENT
        if is_retry_safe:
            self.requests.respond(request, 503, retry_after_ms=UPDATE_INTERVAL_MS)
        else:
            self.requests.respond(request, 504)

    def _start_deadline_timer(self, request: ProxiedRequest, delay_ms: float) -> None:
        timer = self._loop.call_later(delay_ms / 1000, self._deadline_reached, request)
        request.set_deadline_timer(timer)

    def _deadline_reached(self, request: ProxiedRequest) -> None:
        request.clear_deadline_timer()
        remaining_ms = request.remaining_ms(self._clock())
        if remaining_ms > TIMER_TOLERANCE_MS:
            self._start_deadline_timer(request, remaining_ms)
        else:
            self.end_request(request)

    # Attempts

    def _send_attempt(self, request: ProxiedRequest, action: SendAttempt) -> None:
        """Start an attempt: send the request to a server."""
        now_seconds = time.monotonic()
        now_ms = self._clock()
        remaining_ms = request.remaining_ms(now_ms)
        timeout_ms = min(action.timeout, remaining_ms) if action.timeout else remaining_ms
        attempt = Attempt(
            request.attempt_count,
            action.endpoint_id,
            AttemptRequest(
                request.head,
                request.body,
                expires_at_seconds=now_seconds + timeout_ms / 1000,
                write_before_seconds=now_seconds + (action.write_before - now_ms) / 1000,
            ),
            partial(self._attempt_ended, request),
            request.finish_if_client_disconnected,
        )
        request.record_attempt_started(attempt)
        if request.finish_if_client_disconnected() or timeout_ms <= 0 or attempt.number >= self._max_attempts:
            self._loop.call_soon(attempt.end, Outcome.REQUEST_ENDED)
            return
        # An attempt that may last until the deadline of its request is ended by the request's timer.
        has_own_timeout = timeout_ms < remaining_ms - TIMER_TOLERANCE_MS
        self._server_pool.send(attempt, timeout_ms / 1000 if has_own_timeout else None)

    def _cancel_attempt(self, request: ProxiedRequest, number: int) -> None:
        """Stop waiting for an attempt."""
        for attempt in request.attempts_in_flight:
            if attempt.number == number:
                self._loop.call_soon(attempt.abandon, Outcome.CANCELLED)

    def _attempt_ended(
        self, request: ProxiedRequest, attempt: Attempt, outcome: Outcome, body: bytes, content_type: bytes
    ) -> None:
        request.record_attempt_ended(attempt, outcome)
        if outcome is Outcome.OK:
            self.requests.respond(request, 200, body, content_type)
        self._handle_event(
            AttemptEnded(
                request.event.id,
                attempt.number,
                attempt.server_id,
                outcome,
                latency=attempt.elapsed_ms(),
                request_finished=request.is_finished,
                stale_connection=attempt.is_connection_stale,
            )
        )
        self.requests.release_if_done(request)
