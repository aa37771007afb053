"""Attempts on servers for clients' requests, and the end of each request."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from functools import partial
from typing import assert_never

from limiter.model.actions import CancelAttempt, FailRequest, RejectRequest, SendAttempt
from limiter.model.events import NEVER_RAN, AttemptEnded, ClientDisconnected, Event, Outcome
from limiter.model.settings import Idempotency, Settings
from limiter.policy.throttle import UPDATE_INTERVAL_MS
from limiter.transport.clock import Clock
from limiter.transport.driver.proxied_request import ProxiedRequest, RequestTable
from limiter.transport.servers.attempt import Attempt
from limiter.transport.servers.server_pool import ServerPool

# A timer that is early by less counts as due; an attempt that would end within it is ended by its request.
TIMER_TOLERANCE_MS = 0.5


# Actions on a client's request.
RequestAction = SendAttempt | RejectRequest | FailRequest | CancelAttempt


class RequestForwarder:
    """Carries out the policy's attempts and reports their ends; ends requests at their deadlines."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        settings: Settings,
        pool: ServerPool,
        handle_event: Callable[[Event], None],
    ) -> None:
        """Report to the policy through `handle_event`."""
        self._loop = loop
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
        self.requests.by_number[request.event.id] = request
        delay_ms = max(0.0, request.expires_at - self._clock())
        request.deadline_timer = self._loop.call_later(delay_ms / 1000, self._deadline_reached, request)
        self._handle_event(request.event)

    def client_disconnected(self, request: ProxiedRequest) -> None:
        """Finish a request whose client has gone; attempts that have begun to leave go on."""
        is_submitted = request.event.id in self.requests.by_number
        if request.finished and not is_submitted:
            return  # noticed before, and released: its id may be another request's by now
        was_finished = request.finished
        request.finish()
        for attempt in request.in_flight:
            self._pool.cancel_unsent(attempt, Outcome.CANCELLED)
        if is_submitted and not was_finished:  # else the policy has not seen it, or has seen its end
            self._handle_event(ClientDisconnected(request.event.id))
        self.requests.release_if_done(request)

    def end(self, request: ProxiedRequest) -> None:
        """End a request now: its attempts time out, so that the policy responds; else it is done here."""
        request.expires_at = self._clock()  # no time for the attempt that the policy may want next
        for attempt in request.in_flight[:]:
            self._pool.abandon(attempt)
        if not request.finished:
            # 503 says that a retry is harmless: only where nothing ran or a repeat does no harm.
            idempotency = self._request_classes[request.event.request_class].idempotency
            is_retry_harmless = not request.may_have_run or idempotency is Idempotency.IDEMPOTENT
            if is_retry_harmless:
                self.requests.respond(request, 503, retry_after_ms=UPDATE_INTERVAL_MS)
            else:
                self.requests.respond(request, 504)
            self._handle_event(ClientDisconnected(request.event.id))
        self.requests.release_if_done(request)

    def _deadline_reached(self, request: ProxiedRequest) -> None:
        early_ms = request.expires_at - self._clock()
        if early_ms > TIMER_TOLERANCE_MS:
            request.deadline_timer = self._loop.call_later(early_ms / 1000, self._deadline_reached, request)
            return
        request.deadline_timer = None
        self.end(request)

    # Attempts

    def _send_attempt(self, request: ProxiedRequest, action: SendAttempt) -> None:
        """Send the request to a server."""
        remaining_ms = request.expires_at - self._clock()
        timeout_ms = min(action.timeout, remaining_ms) if action.timeout else remaining_ms
        data = b"%bX-Deadline-Ms: %d\r\n\r\n%b" % (request.head, max(1, int(timeout_ms)), request.body)
        attempt = Attempt(
            request,
            request.attempt_count,
            action.endpoint_id,
            data,
            self._attempt_ended,
            partial(self._finish_if_hung_up, request),
        )
        request.attempt_count += 1
        request.in_flight.append(attempt)
        is_over = self._finish_if_hung_up(request)
        if is_over or timeout_ms <= 0 or attempt.number >= self._max_attempts:
            self._loop.call_soon(attempt.end, Outcome.REQUEST_OVER)
            return
        # One that may last to the end of its request is ended by the request's own timer.
        has_own_timeout = timeout_ms < remaining_ms - TIMER_TOLERANCE_MS
        self._pool.send(attempt, timeout_ms / 1000 if has_own_timeout else None)

    def _cancel_attempt(self, request: ProxiedRequest, number: int) -> None:
        """Stop waiting for an attempt."""
        for attempt in request.in_flight:
            if attempt.number == number:
                self._loop.call_soon(self._pool.abandon, attempt, Outcome.CANCELLED)

    def _finish_if_hung_up(self, request: ProxiedRequest) -> bool:
        """Whether nothing more may be sent for it; asked where an attempt begins.

        After a turn that was long, or a wait for the processor, the client's end may be behind what led here.
        """
        if not request.finished and request.client is not None and request.client.hung_up():
            client = request.finish()
            if client is not None:
                client.close()
        return request.finished

    def _attempt_ended(self, attempt: Attempt, outcome: Outcome, body: bytes, content_type: bytes) -> None:
        request: ProxiedRequest = attempt.owner
        request.in_flight.remove(attempt)
        if outcome not in NEVER_RAN:
            request.may_have_run = True
        if outcome is Outcome.OK:
            self.requests.respond(request, 200, body, content_type)
        self._handle_event(
            AttemptEnded(
                request.event.id,
                attempt.number,
                attempt.server,
                outcome,
                latency=(time.monotonic() - attempt.started) * 1000,
                request_finished=request.finished,
                stale_connection=attempt.stale,
            )
        )
        self.requests.release_if_done(request)
