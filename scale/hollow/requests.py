"""Requests of clients and their attempts, from a request's arrival to its one final outcome."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from limiter.model.events import ClientRequest, Event, Outcome
from scale.hollow.context import Context
from scale.hollow.quota import Quota
from scale.hollow.server import Server, ServerJob
from scale.hollow.tally import RequestOutcome


class RequestOwner(Protocol):
    """The limiter that a request came in through, as far as requests and attempts know it."""

    @property
    def number(self) -> int:
        """Number of the limiter within the fleet."""

    @property
    def zone(self) -> int:
        """Zone that the limiter runs in."""

    @property
    def requests(self) -> dict[int, Request]:
        """Requests that are not over, by id."""

    def process_event(self, event: Event) -> None:
        """Hand an event to the limiter's policy engine, and carry out the actions that it returns."""


class Request:
    """One request of a client, a first one or a retry, at one limiter."""

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
        """Wait for the final outcome, with no attempt made; `work` in ms of one core."""
        self.event = event
        self.arrived_at = arrived_at
        self.quota = quota
        self.work_ms = work_ms
        self.outcome: RequestOutcome | None = None
        self.attempt_count = 0
        self.may_have_run = False
        self.attempts_in_flight: list[Attempt] = []

    def add_attempt(self, attempt: Attempt) -> None:
        """Enter the next attempt of the request."""
        self.attempt_count += 1
        self.attempts_in_flight.append(attempt)
        self.quota.record_attempt_start()

    def remove_attempt(self, attempt: Attempt) -> None:
        """Take an attempt that ended at the limiter off those in flight."""
        self.attempts_in_flight.remove(attempt)
        self.quota.record_attempt_end()

    def record_possible_execution(self) -> None:
        """Note that an attempt may have run at its server, so that another one might repeat its effect."""
        self.may_have_run = True

    def set_outcome(self, outcome: RequestOutcome) -> None:
        """Set the one final outcome.

        Raises:
            AssertionError: the request had ended before, which every simulation checks.
        """
        if self.outcome is not None:
            message = f"request {self.event.id}: {outcome.value} after {self.outcome.value}"
            raise AssertionError(message)
        self.outcome = outcome


class Attempt(ServerJob):
    """A request sent to a server: `is_over` if it ended there, `is_ended` if it ended at its limiter."""

    __slots__ = ("_on_reply", "is_ended_at_limiter", "limiter", "number", "request", "sent_at", "server")

    def __init__(
        self,
        request: Request,
        limiter: RequestOwner,
        server: Server,
        sent_at: float,
        on_reply: Callable[[Attempt, Outcome], None],
    ) -> None:
        """Make the next attempt of the request; `on_reply` takes the server's response."""
        super().__init__(request.work_ms)
        self.request = request
        self.number = request.attempt_count
        self.limiter = limiter
        self.server = server
        self.sent_at = sent_at
        self.is_ended_at_limiter = False
        self._on_reply = on_reply

    def end_at_limiter(self) -> None:
        """End at the limiter, which passes over all that the server does from now on."""
        self.is_ended_at_limiter = True
        self.request.remove_attempt(self)

    def handle_reply(self, outcome: Outcome) -> None:
        """Take the server's response, which leaves the server now."""
        self._on_reply(self, outcome)


class RequestTracker:
    """Gives requests their final outcomes, counts them, and forgets requests that are over."""

    def __init__(self, context: Context) -> None:
        """Count into the context's tally."""
        self._clock = context.clock
        self._tally = context.tally

    def add_request(self, limiter: RequestOwner, request: Request) -> None:
        """Enter a request that a limiter takes."""
        limiter.requests[request.event.id] = request
        self._tally.record_request_opened()

    def end_request(self, request: Request, outcome: RequestOutcome) -> None:
        """End a request for its client.

        Raises:
            AssertionError: it had ended before.
        """
        request.set_outcome(outcome)
        self._tally.record_request_closed()
        self._tally.record_request_outcome(
            request.arrived_at, self._clock.now, outcome, request.event.is_retry
        )

    def apply_engine_outcome(self, limiter: RequestOwner, request_id: int, outcome: RequestOutcome) -> None:
        """Carry out the policy engine's final outcome; one for a request that has its outcome is dropped."""
        request = limiter.requests.get(request_id)
        if request is None or request.outcome is not None:
            return
        self.end_request(request, outcome)
        self.remove_if_over(limiter, request)

    def remove_if_over(self, limiter: RequestOwner, request: Request) -> None:
        """Forget a request that has its outcome and no attempt in flight."""
        if request.outcome is not None and not request.attempts_in_flight:
            limiter.requests.pop(request.event.id, None)
