"""The state of an open client request and its attempts.

Types are defined in limiter/model. Times are in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from limiter.model.events import ClientRequest, Endpoint, EndpointId
from limiter.model.settings import RequestClass
from limiter.policy.admission_state import AdmissionState
from limiter.policy.customer import Customer


@dataclass(slots=True)
class FirstAttempt:
    """The earliest attempt of a request that a server may have executed.

    Attributes:
        number: Number of the attempt; the attempts of a request are numbered from 0 in the order of sending.
        endpoint: Endpoint of the server to which it was sent.
        sent_at: Time at which it was sent.
    """

    number: int
    endpoint: Endpoint
    sent_at: float


@dataclass(slots=True, eq=False)
class RequestAttempts:
    """The attempts of one request.

    Attributes:
        sent_count: Number of attempts sent.
        in_flight: Number of attempts that have not ended.
        first_attempt: The earliest attempt that a server may have executed; None if there is no such attempt.
        tried_endpoint_ids: Ids of the servers to which attempts were sent.
        is_streaming: Whether the client has received part of a response.
    """

    sent_count: int = 0
    in_flight: int = 0
    first_attempt: FirstAttempt | None = None
    tried_endpoint_ids: set[EndpointId] = field(default_factory=set)
    is_streaming: bool = False

    def record_sent(self, now: float, endpoint: Endpoint) -> None:
        """Record an attempt that is sent to the server at this endpoint now."""
        if self.first_attempt is None:
            self.first_attempt = FirstAttempt(self.sent_count, endpoint, now)
        self.tried_endpoint_ids.add(endpoint.id)
        self.sent_count += 1
        self.in_flight += 1

    def record_ended(self) -> None:
        """Record the end of an attempt."""
        self.in_flight -= 1

    def mark_not_executed(self, number: int) -> None:
        """Record that the server did not execute the attempt with this number."""
        if self.first_attempt is not None and self.first_attempt.number == number:
            self.first_attempt = None

    def mark_streaming(self) -> None:
        """Record that the client has received part of a response."""
        self.is_streaming = True


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A client's request, from its arrival to its final response.

    Attributes:
        request: The request as it arrived.
        request_class: Class of the request, from the settings.
        customer: The customer that sent the request.
        response_deadline: Time after which a response has no value.
        admission: Admission state of the request.
        attempts: Attempts of the request.
    """

    request: ClientRequest
    request_class: RequestClass
    customer: Customer
    response_deadline: float
    admission: AdmissionState = field(default_factory=AdmissionState)
    attempts: RequestAttempts = field(default_factory=RequestAttempts)

    def start_attempt(self, now: float, endpoint: Endpoint) -> None:
        """Record an attempt that is sent to the server at this endpoint now, also for the customer."""
        self.attempts.record_sent(now, endpoint)
        self.customer.start_attempt()

    def end_attempt(self) -> None:
        """Record the end of an attempt, also for the customer."""
        self.attempts.record_ended()
        self.customer.end_attempts(1)
