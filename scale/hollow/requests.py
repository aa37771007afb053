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

    def feed(self, event: Event) -> None:
        """Hand an event to the limiter's policy engine, and carry out the actions that it returns."""


class Request:
    """One request of a client, a first one or a retry, at one limiter."""

    __slots__ = (
        "arrived",
        "attempt_count",
        "event",
        "in_flight",
        "may_have_run",
        "outcome",
        "quota",
        "work",
    )

    def __init__(self, event: ClientRequest, arrived: float, quota: Quota, work: float) -> None:
        """Wait for the final outcome, with no attempt made; `work` in ms of one core."""
        self.event = event
        self.arrived = arrived
        self.quota = quota
        self.work = work
        self.outcome: RequestOutcome | None = None
        self.attempt_count = 0
        self.may_have_run = False
        self.in_flight: list[Attempt] = []

    def attempt_began(self, attempt: Attempt) -> None:
        """Enter the next attempt of the request."""
        self.attempt_count += 1
        self.in_flight.append(attempt)
        self.quota.record_attempt_start()

    def attempt_ended(self, attempt: Attempt) -> None:
        """Take an attempt that ended at the limiter off those in flight."""
        self.in_flight.remove(attempt)
        self.quota.attempt_ended()

    def ran(self) -> None:
        """Note that an attempt may have run at its server, so that another one might repeat its effect."""
        self.may_have_run = True

    def end(self, outcome: RequestOutcome) -> None:
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

    __slots__ = ("_on_reply", "is_ended", "limiter", "number", "request", "sent_at", "server")

    def __init__(
        self,
        request: Request,
        limiter: RequestOwner,
        server: Server,
        sent_at: float,
        on_reply: Callable[[Attempt, Outcome], None],
    ) -> None:
        """Make the next attempt of the request; `on_reply` takes the server's response."""
        super().__init__(request.work)
        self.request = request
        self.number = request.attempt_count
        self.limiter = limiter
        self.server = server
        self.sent_at = sent_at
        self.is_ended = False
        self._on_reply = on_reply

    def end(self) -> None:
        """End at the limiter, which passes over all that the server does from now on."""
        self.is_ended = True
        self.request.attempt_ended(self)

    def handle_reply(self, outcome: Outcome) -> None:
        """Take the server's response, which leaves the server now."""
        self._on_reply(self, outcome)


class RequestTracker:
    """Gives requests their final outcomes, counts them, and forgets requests that are over."""

    def __init__(self, context: Context) -> None:
        """Count into the context's tally."""
        self._clock = context.clock
        self._tally = context.tally

    def open(self, limiter: RequestOwner, request: Request) -> None:
        """Enter a request that a limiter takes."""
        limiter.requests[request.event.id] = request
        self._tally.request_opened()

    def end_request(self, request: Request, outcome: RequestOutcome) -> None:
        """End a request for its client.

        Raises:
            AssertionError: it had ended before.
        """
        request.end(outcome)
        self._tally.request_closed()
        self._tally.request_ended(request.arrived, self._clock.now, outcome, request.event.is_retry)

    def finish(self, limiter: RequestOwner, request_id: int, outcome: RequestOutcome) -> None:
        """Carry out the policy engine's final outcome; one for a request that has its outcome is dropped."""
        request = limiter.requests.get(request_id)
        if request is None or request.outcome is not None:
            return
        self.end_request(request, outcome)
        self.forget_if_over(limiter, request)

    def forget_if_over(self, limiter: RequestOwner, request: Request) -> None:
        """Forget a request that has its outcome and no attempt in flight."""
        if request.outcome is not None and not request.in_flight:
            limiter.requests.pop(request.event.id, None)
