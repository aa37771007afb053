"""Attempts on servers: sent for a limiter, and ended exactly once at it."""

from __future__ import annotations

from collections.abc import Mapping

from limiter.model.actions import SendAttempt
from limiter.model.events import NOT_EXECUTED_OUTCOMES, AttemptEnded, Outcome
from scale.hollow.context import Context
from scale.hollow.requests import Attempt, Request, RequestOwner, RequestTracker
from scale.hollow.server import Server
from scale.hollow.tally import RequestOutcome

# Time before a request's deadline in which no attempt times out by itself: the deadline ends it.
TIMEOUT_MARGIN_MS = 0.5


class AttemptDriver:
    """Sends attempts, carries servers' responses back, and reports to limiters how attempts ended."""

    def __init__(
        self,
        context: Context,
        servers: Mapping[bytes, Server],
        ledger: RequestTracker,
    ) -> None:
        """Take the servers by id, and the ledger of the requests that attempts are made for."""
        self._clock = context.clock
        self._network = context.network
        self._tally = context.tally
        self._gossip_ages = context.gossip_ages
        self._max_attempts = context.experiment.max_attempts
        self._servers = servers
        self._ledger = ledger

    def send(self, limiter: RequestOwner, action: SendAttempt) -> None:
        """Carry out SendAttempt; one for a request that is over ends at once with REQUEST_OVER."""
        request = limiter.requests.get(action.request_id)
        if request is None:
            return
        now = self._clock.now
        time_left = request.event.expires_at - now
        timeout = min(action.timeout, time_left) if action.timeout else time_left
        attempt = Attempt(request, limiter, self._servers[action.endpoint_id], now, self._server_replied)
        if request.outcome is not None or timeout <= 0 or attempt.number >= self._max_attempts:
            request.attempt_began(attempt)
            self._clock.call_at(now, self.end, attempt, Outcome.REQUEST_ENDED)
            return
        if attempt.number == 0:
            self._record_forwarded(attempt)
        request.attempt_began(attempt)
        self._tally.attempt_sent()
        server = attempt.server
        self._network.call_after_delay(limiter.zone, server.zone, server.receive_job, attempt)
        if timeout < time_left - TIMEOUT_MARGIN_MS:
            self._clock.call_at(now + timeout, self.end, attempt, Outcome.TIMEOUT)

    def cancel(self, request: Request, number: int) -> None:
        """Carry out CancelAttempt: the attempt ends at once; nothing if it has ended."""
        for attempt in request.in_flight:
            if attempt.number == number:
                self._clock.call_at(self._clock.now, self.end, attempt, Outcome.CANCELLED)

    def end(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt at its limiter and notify its policy engine; nothing if it has ended."""
        if attempt.is_ended:
            return
        self.release(attempt)
        self._tally.attempt_ended(outcome)
        request = attempt.request
        if outcome not in NOT_EXECUTED_OUTCOMES:
            request.ran()
        if outcome is Outcome.OK and request.outcome is None:
            self._ledger.end_request(request, RequestOutcome.SERVED)
        event = AttemptEnded(
            request_id=request.event.id,
            attempt=attempt.number,
            endpoint_id=attempt.server.id,
            outcome=outcome,
            latency=self._clock.now - attempt.sent_at,
            request_finished=request.outcome is not None,
        )
        attempt.limiter.feed(event)
        self._ledger.forget_if_over(attempt.limiter, request)

    def release(self, attempt: Attempt) -> None:
        """Take an attempt off its limiter; a server that still works on it is notified."""
        attempt.end()
        if not attempt.is_over:
            server = attempt.server
            self._network.call_after_delay(attempt.limiter.zone, server.zone, server.remove_job, attempt)

    def _server_replied(self, attempt: Attempt, outcome: Outcome) -> None:
        """Send a server's response to the limiter."""
        self._network.call_after_delay(attempt.limiter.zone, attempt.server.zone, self.end, attempt, outcome)

    def _record_forwarded(self, attempt: Attempt) -> None:
        """Count a request's units when it is forwarded for the first time."""
        request = attempt.request
        now = self._clock.now
        units = request.event.units
        self._tally.units_forwarded(now, units, request.quota.take_units(now, units))
        self._gossip_ages.record_usage(now, attempt.limiter.number, request.event.customer, units)
