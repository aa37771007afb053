"""Attempts on servers for clients' requests, and the end of each request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import assert_never

from limiter.model.actions import CancelAttempt, FailRequest, RejectRequest, SendAttempt
from limiter.model.events import AttemptEnded, ClientDisconnected, Event, Outcome
from limiter.model.settings import Idempotency, Settings
from limiter.policy.throttle import UPDATE_INTERVAL_MS
from limiter.transport.clock import Clock
from limiter.transport.driver.proxied_request import ProxiedRequest, RequestTable
from limiter.transport.servers.attempt import Attempt
from limiter.transport.servers.server_pool import ServerPool

# A timer that fires early by less than this counts as due. An attempt whose time-out is within it of the
# request's deadline gets no timer of its own: the request's timer ends it.
TIMER_TOLERANCE_MS = 0.5


# The actions of the policy on a client's request.
RequestAction = SendAttempt | RejectRequest | FailRequest | CancelAttempt


class RequestForwarder:
    """Carries out the policy's attempts and reports their ends; ends requests at their deadlines."""

    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        pool: ServerPool,
        handle_event: Callable[[Event], None],
    ) -> None:
        """Make a forwarder without requests.

        Args:
            clock: The clock of the events.
            settings: Request classes, and the limit of attempts for a request.
            pool: Carries the attempts.
            handle_event: Gives an event to the policy, and carries out its actions.
        """
        self._loop = asyncio.get_running_loop()
        self._clock = clock
        self._max_attempts = settings.max_attempts
        self._request_classes = settings.request_classes
        self._pool = pool
        self.requests = RequestTable()
        self._handle_event = handle_event

    def carry_out(self, action: RequestAction) -> None:
        """Carry out an action of the policy; without effect on a request that is released."""
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
        """Take a new request and let the policy decide on it."""
        self.requests.add(request)
        self._start_deadline_timer(request, max(0.0, request.remaining_ms(self._clock())))
        self._handle_event(request.event)

    def client_disconnected(self, request: ProxiedRequest) -> None:
        """Finish a request whose client has disconnected.

        Attempts that have begun to be written go on: they may run, and the policy is owed their outcomes.
        """
        is_submitted = self.requests.is_submitted(request)
        was_finished = request.finished
        if was_finished and not is_submitted:
            # It was noticed before and released: the client's id may be another request's by now.
            return
        request.finish()
        for attempt in request.attempts_in_flight:
            attempt.cancel_unsent(Outcome.CANCELLED)
        # The policy has not seen a request that is not submitted, and has seen the end of a finished one.
        if is_submitted and not was_finished:
            self._handle_event(ClientDisconnected(request.event.id))
        self.requests.release_if_done(request)

    def end_request(self, request: ProxiedRequest) -> None:
        """End a request now: its attempts time out, and it gets its response.

        The policy may respond as the attempts time out. If it does not, the response is made here.
        """
        request.expire(self._clock())
        for attempt in request.attempts_in_flight[:]:
            attempt.abandon()
        if not request.finished:
            self._respond_at_deadline(request)
            self._handle_event(ClientDisconnected(request.event.id))
        self.requests.release_if_done(request)

    def _respond_at_deadline(self, request: ProxiedRequest) -> None:
        # 503 promises that a retry does no harm: nothing ran, or the request is idempotent.
        idempotency = self._request_classes[request.event.request_class].idempotency
        is_retry_harmless = not request.may_have_run or idempotency is Idempotency.IDEMPOTENT
        if is_retry_harmless:
            self.requests.respond(request, 503, retry_after_ms=UPDATE_INTERVAL_MS)
        else:
            self.requests.respond(request, 504)

    def _start_deadline_timer(self, request: ProxiedRequest, delay_ms: float) -> None:
        timer = self._loop.call_later(delay_ms / 1000, self._deadline_reached, request)
        request.deadline_timer_started(timer)

    def _deadline_reached(self, request: ProxiedRequest) -> None:
        request.deadline_timer_fired()
        remaining_ms = request.remaining_ms(self._clock())
        if remaining_ms > TIMER_TOLERANCE_MS:
            self._start_deadline_timer(request, remaining_ms)
        else:
            self.end_request(request)

    # Attempts

    def _send_attempt(self, request: ProxiedRequest, action: SendAttempt) -> None:
        """Send the request to a server."""
        remaining_ms = request.remaining_ms(self._clock())
        timeout_ms = min(action.timeout, remaining_ms) if action.timeout else remaining_ms
        data = b"%bX-Deadline-Ms: %d\r\n\r\n%b" % (request.head, max(1, int(timeout_ms)), request.body)
        attempt = Attempt(
            request.attempt_count,
            action.endpoint_id,
            data,
            partial(self._attempt_ended, request),
            request.finish_if_hung_up,
        )
        request.attempt_started(attempt)
        if request.finish_if_hung_up() or timeout_ms <= 0 or attempt.number >= self._max_attempts:
            self._loop.call_soon(attempt.end, Outcome.REQUEST_ENDED)
            return
        # An attempt that may last until its request's deadline is ended by the request's timer.
        has_own_timeout = timeout_ms < remaining_ms - TIMER_TOLERANCE_MS
        self._pool.send(attempt, timeout_ms / 1000 if has_own_timeout else None)

    def _cancel_attempt(self, request: ProxiedRequest, number: int) -> None:
        """Stop waiting for an attempt."""
        for attempt in request.attempts_in_flight:
            if attempt.number == number:
                self._loop.call_soon(attempt.abandon, Outcome.CANCELLED)

    def _attempt_ended(
        self, request: ProxiedRequest, attempt: Attempt, outcome: Outcome, body: bytes, content_type: bytes
    ) -> None:
        request.attempt_ended(attempt, outcome)
        if outcome is Outcome.OK:
            self.requests.respond(request, 200, body, content_type)
        self._handle_event(
            AttemptEnded(
                request.event.id,
                attempt.number,
                attempt.server_id,
                outcome,
                latency=attempt.elapsed_ms(),
                request_finished=request.finished,
                stale_connection=attempt.is_connection_stale,
            )
        )
        self.requests.release_if_done(request)
