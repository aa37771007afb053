"""A client's request as the policy knows it. Types: limiter/model. Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from limiter.model.events import ClientRequest, Endpoint, EndpointId
from limiter.model.settings import RequestClass
from limiter.policy.admission_state import AdmissionState
from limiter.policy.customer import Customer


@dataclass(slots=True)
class FirstAttempt:
    """The earliest attempt of a request that may have run.

    Attributes:
        number: Its number among the attempts of the request.
        endpoint: The server that it was sent to.
        sent_at: When it was sent.
    """

    number: int
    endpoint: Endpoint
    sent_at: float


@dataclass(slots=True, eq=False)
class RequestAttempts:
    """The attempts of one request.

    Attributes:
        sent_count: Attempts that were sent so far.
        in_flight: Those of them that have not ended.
        first_attempt: The earliest attempt that may have run; None while no attempt can have run.
        tried_endpoint_ids: Ids of the servers that attempts were sent to.
        is_streaming: Whether the client has got part of a response.
    """

    sent_count: int = 0
    in_flight: int = 0
    first_attempt: FirstAttempt | None = None
    tried_endpoint_ids: set[EndpointId] = field(default_factory=set)
    is_streaming: bool = False

    def record_sent(self, now: float, endpoint: Endpoint) -> None:
        """Count an attempt that is sent to the server at this endpoint now."""
        if self.first_attempt is None:
            self.first_attempt = FirstAttempt(self.sent_count, endpoint, now)
        self.tried_endpoint_ids.add(endpoint.id)
        self.sent_count += 1
        self.in_flight += 1

    def record_ended(self) -> None:
        """Count the end of an attempt."""
        self.in_flight -= 1

    def mark_not_executed(self, number: int) -> None:
        """Note that the attempt with this number did not run."""
        if self.first_attempt is not None and self.first_attempt.number == number:
            self.first_attempt = None

    def mark_streaming(self) -> None:
        """Note that the client has got part of a response."""
        self.is_streaming = True


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A client's request until its final response is out and no attempt is in flight.

    Attributes:
        request: The request as it arrived.
        request_class: Its class in the settings.
        customer: The customer who sent it.
        response_deadline: A response that is later than this is of no use.
        admission: What admission noted.
        attempts: The attempts that were sent.
    """

    request: ClientRequest
    request_class: RequestClass
    customer: Customer
    response_deadline: float
    admission: AdmissionState = field(default_factory=AdmissionState)
    attempts: RequestAttempts = field(default_factory=RequestAttempts)

    def start_attempt(self, now: float, endpoint: Endpoint) -> None:
        """Count an attempt that is sent to the server at this endpoint now."""
        self.attempts.record_sent(now, endpoint)
        self.customer.start_attempt()

    def end_attempt(self) -> None:
        """Count the end of an attempt."""
        self.attempts.record_ended()
        self.customer.end_attempts(1)
