"""A client's request as the policy knows it. Types: limiter/model. Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from limiter.model.events import ClientRequest, Endpoint, EndpointId
from limiter.model.settings import RequestClass
from limiter.policy.admission_notes import AdmissionNotes
from limiter.policy.customer import Customer


@dataclass(slots=True)
class OpenRequest:
    """A client's request until its final answer is out and no attempt is in flight."""

    request: ClientRequest
    request_class: RequestClass
    customer: Customer
    useful_until: float  # an answer later than this is of no use
    attempts: int = 0
    in_flight: int = 0
    first_attempt: int = 0  # number of the earliest attempt that may have run,
    first_sent_at: float = 0.0  # when it was sent
    first_endpoint: Endpoint | None = None  # and where to
    is_streaming: bool = False
    admission: AdmissionNotes = field(default_factory=AdmissionNotes)
    tried: set[EndpointId] = field(default_factory=set)

    def start_attempt(self, now: float, endpoint: Endpoint) -> None:
        """Count an attempt that is sent to the server at this endpoint now."""
        if self.first_endpoint is None:
            self.first_endpoint = endpoint
            self.first_sent_at = now
            self.first_attempt = self.attempts
        self.tried.add(endpoint.id)
        self.attempts += 1
        self.in_flight += 1
        self.customer.start_attempt()

    def end_attempt(self) -> None:
        """Count the end of an attempt."""
        self.in_flight -= 1
        self.customer.end_attempts(1)
