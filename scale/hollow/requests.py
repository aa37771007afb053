"""Client requests and their attempts, from the arrival of a request to its one final outcome."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from limiter.model.events import ClientRequest, Event, Outcome
from scale.hollow.context import SimulationContext
from scale.hollow.quota import Quota
from scale.hollow.server import Server, ServerJob
from scale.hollow.tally import RequestOutcome


class RequestOwner(Protocol):
    """The limiter that received a request, with the members that requests and attempts use."""

    @property
    def number(self) -> int:
        """Return the number of the limiter within the fleet."""

    @property
    def zone(self) -> int:
        """Return the zone that the limiter runs in."""

    @property
    def requests(self) -> dict[int, Request]:
        """Return, by id, the requests that have no final outcome or have attempts in flight."""

    def process_event(self, event: Event) -> None:
        """Pass an event to the limiter's policy engine and execute the actions that it returns."""


class Request:
    """A request of a client, either a first request or a retry, at one limiter."""

    __slots__ = (
        "arrived_at",
        "attempt_count",
        "attempts_in_flight",
        "event",
        "may_have_run",
        "outcome",
        "quota",
        "work_ms",
    )

    def __init__(self, event: ClientRequest, arrived_at: float, quota: Quota, work_ms: float) -> None:
        """Create a request without attempts or final outcome; `work_ms` is in ms of one core."""
        self.event = event
        self.arrived_at = arrived_at
        self.quota = quota
        self.work_ms = work_ms
        self.outcome: RequestOutcome | None = None
        self.attempt_count = 0
        self.may_have_run = False
        self.attempts_in_flight: list[Attempt] = []

    def add_attempt(self, attempt: Attempt) -> None:
        """Add the next attempt of the request to those in flight."""
        self.attempt_count += 1
        self.attempts_in_flight.append(attempt)
        self.quota.record_attempt_start()

    def remove_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt that ended at the limiter from those in flight."""
        self.attempts_in_flight.remove(attempt)
        self.quota.record_attempt_end()

    def record_possible_execution(self) -> None:
        """Record that a server may have executed the request, so that a retry might repeat its effect."""
        self.may_have_run = True

    def set_outcome(self, outcome: RequestOutcome) -> None:
        """Set the final outcome.

        Raises:
            AssertionError: The request already has a final outcome. All simulations rely on this check.
        """
        if self.outcome is not None:
            message = f"request {self.event.id}: second outcome {outcome.value} after {self.outcome.value}"
            raise AssertionError(message)
        self.outcome = outcome


class Attempt(ServerJob):
    """A request sent to a server. An attempt ends separately at the server and at its limiter."""

    __slots__ = ("_on_reply", "is_ended_at_limiter", "limiter", "number", "request", "sent_at", "server")

    def __init__(
        self,
        request: Request,
        limiter: RequestOwner,
        server: Server,
        sent_at: float,
        on_reply: Callable[[Attempt, Outcome], None],
    ) -> None:
        """Create the next attempt of the request; `on_reply` is called with the server's response."""
        super().__init__(request.work_ms)
        self.request = request
        self.number = request.attempt_count
        self.limiter = limiter
        self.server = server
        self.sent_at = sent_at
        self.is_ended_at_limiter = False
        self._on_reply = on_reply

    def end_at_limiter(self) -> None:
        """End the attempt at the limiter, which ignores any later response of the server."""
        self.is_ended_at_limiter = True
        self.request.remove_attempt(self)

    def handle_reply(self, outcome: Outcome) -> None:
        """Handle the server's response, which the server sends now."""
        self._on_reply(self, outcome)


class RequestTracker:
    """Sets the final outcomes of requests, counts them, and removes requests that are over from limiters."""

    def __init__(self, context: SimulationContext) -> None:
        """Create a tracker that counts in the tally of the context."""
        self._clock = context.clock
        self._tally = context.tally

    def add_request(self, limiter: RequestOwner, request: Request) -> None:
        """Add a request that a limiter receives."""
        limiter.requests[request.event.id] = request
        self._tally.record_request_opened()

    def end_request(self, request: Request, outcome: RequestOutcome) -> None:
        """End a request for its client with a final outcome.

        Raises:
            AssertionError: The request already has a final outcome.
        """
        request.set_outcome(outcome)
        self._tally.record_request_closed()
        self._tally.record_request_outcome(
            request.arrived_at, self._clock.now, outcome, request.event.is_retry
        )

    def apply_engine_outcome(self, limiter: RequestOwner, request_id: int, outcome: RequestOutcome) -> None:
        """End a request with the policy engine's outcome, unless the request already has a final outcome."""
        request = limiter.requests.get(request_id)
        if request is None or request.outcome is not None:
            return
        self.end_request(request, outcome)
        self.remove_if_over(limiter, request)

    def remove_if_over(self, limiter: RequestOwner, request: Request) -> None:
        """Remove a request from its limiter if it has a final outcome and no attempt in flight."""
        if request.outcome is not None and not request.attempts_in_flight:
            limiter.requests.pop(request.event.id, None)
