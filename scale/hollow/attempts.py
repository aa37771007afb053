"""Attempts: sent from a limiter to a server, and ended exactly once at the limiter."""

from __future__ import annotations

from collections.abc import Mapping

from limiter.model.actions import SendAttempt
from limiter.model.events import NOT_EXECUTED_OUTCOMES, AttemptEnded, Outcome
from scale.hollow.context import SimulationContext
from scale.hollow.requests import Attempt, Request, RequestOwner, RequestTracker
from scale.hollow.server import Server
from scale.hollow.tally import RequestOutcome

# An attempt that would time out less than this before the request's deadline gets no timeout of its own,
# because the deadline ends it.
TIMEOUT_MARGIN_MS = 0.5


class AttemptDriver:
    """Sends attempts to servers, returns the responses, and reports the outcomes to the policy engines."""

    def __init__(
        self,
        context: SimulationContext,
        servers_by_id: Mapping[bytes, Server],
        request_tracker: RequestTracker,
    ) -> None:
        """Create a driver for all limiters.

        Args:
            context: The objects that all parts of the simulation share.
            servers_by_id: All servers, including those that are added later.
            request_tracker: Records the outcomes of the requests.
        """
        self._clock = context.clock
        self._network = context.network
        self._tally = context.tally
        self._gossip_ages = context.gossip_ages
        self._max_attempts = context.experiment.max_attempts
        self._servers_by_id = servers_by_id
        self._request_tracker = request_tracker

    def send_attempt(self, limiter: RequestOwner, action: SendAttempt) -> None:
        """Execute SendAttempt.

        The attempt ends at once with REQUEST_ENDED if the request has its final outcome, has no time left or
        has used up its attempts.
        """
        request = limiter.requests.get(action.request_id)
        if request is None:
            return
        now = self._clock.now
        time_left = request.event.expires_at - now
        timeout = min(action.timeout, time_left) if action.timeout else time_left
        attempt = Attempt(
            request, limiter, self._servers_by_id[action.endpoint_id], now, self._send_reply_to_limiter
        )
        if request.outcome is not None or timeout <= 0 or attempt.number >= self._max_attempts:
            request.add_attempt(attempt)
            self._clock.call_at(now, self.end_attempt, attempt, Outcome.REQUEST_ENDED)
            return
        if attempt.number == 0:
            self._record_forwarded_request(attempt)
        request.add_attempt(attempt)
        self._tally.record_attempt_sent()
        server = attempt.server
        self._network.call_after_delay(limiter.zone, server.zone, server.receive_job, attempt)
        if timeout < time_left - TIMEOUT_MARGIN_MS:
            self._clock.call_at(now + timeout, self.end_attempt, attempt, Outcome.TIMEOUT)

    def cancel_attempt(self, request: Request, number: int) -> None:
        """Execute CancelAttempt: end the attempt at once, unless it has already ended."""
        for attempt in request.attempts_in_flight:
            if attempt.number == number:
                self._clock.call_at(self._clock.now, self.end_attempt, attempt, Outcome.CANCELLED)

    def end_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt at its limiter and notify the policy engine, unless it has already ended."""
        if attempt.is_ended_at_limiter:
            return
        self.release_attempt(attempt)
        self._tally.record_attempt_outcome(outcome)
        request = attempt.request
        if outcome not in NOT_EXECUTED_OUTCOMES:
            request.record_possible_execution()
        if outcome is Outcome.OK and request.outcome is None:
            self._request_tracker.end_request(request, RequestOutcome.SERVED)
        event = AttemptEnded(
            request_id=request.event.id,
            attempt=attempt.number,
            endpoint_id=attempt.server.id,
            outcome=outcome,
            latency=self._clock.now - attempt.sent_at,
            request_finished=request.outcome is not None,
        )
        attempt.limiter.process_event(event)
        self._request_tracker.remove_if_over(attempt.limiter, request)

    def release_attempt(self, attempt: Attempt) -> None:
        """End an attempt at its limiter without an event; a server that still has it is told to drop it."""
        attempt.end_at_limiter()
        if not attempt.is_ended_at_server:
            server = attempt.server
            self._network.call_after_delay(attempt.limiter.zone, server.zone, server.remove_job, attempt)

    def _send_reply_to_limiter(self, attempt: Attempt, outcome: Outcome) -> None:
        """Send a server's response to the limiter, which receives it after the network delay."""
        self._network.call_after_delay(
            attempt.limiter.zone, attempt.server.zone, self.end_attempt, attempt, outcome
        )

    def _record_forwarded_request(self, attempt: Attempt) -> None:
        """Record the units of a request that is forwarded for the first time."""
        request = attempt.request
        now = self._clock.now
        units = request.event.units
        self._tally.record_forwarded_units(now, units, request.quota.take_units(now, units))
        self._gossip_ages.record_usage(now, attempt.limiter.number, request.event.customer, units)
