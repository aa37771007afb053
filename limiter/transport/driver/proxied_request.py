"""A client's request while it is proxied, and the table of all such requests."""

from __future__ import annotations

import asyncio
import itertools
from typing import Protocol

from limiter.model.events import NOT_EXECUTED_OUTCOMES, ClientRequest, Outcome
from limiter.transport.servers.attempt import Attempt


class ResponseSink(Protocol):
    """The client connection that receives the final response."""

    def write_response(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Write the final response."""

    def has_disconnected(self) -> bool:
        """Return whether the client has closed its connection."""

    def close(self) -> None:
        """Close the connection without a response."""


class ProxiedRequest:
    """A client's request, from its complete receipt until it is finished and has no attempt in flight.

    A request is finished exactly once, by its final response or because its client disconnects, and always by
    `finish`. Its attempts in flight may end later; the request table releases the request after the last one.
    """

    __slots__ = (
        "_client",
        "_deadline_timer",
        "_expires_at_ms",
        "attempt_count",
        "attempts_in_flight",
        "body",
        "client_request_id",
        "event",
        "head",
        "is_finished",
        "may_have_run",
    )

    def __init__(
        self,
        client: ResponseSink,
        event: ClientRequest,
        client_request_id: bytes,
        head: bytes,
        body: bytes,
    ) -> None:
        """Create a request that was read and is not submitted yet.

        Args:
            client: Receives the final response.
            event: The event that the policy handles for this request.
            client_request_id: The id that the client gave the request.
            head: Request line and headers for the server, without the deadline header and the blank line.
            body: The body for the server.
        """
        self._client: ResponseSink | None = client
        self.event = event
        self.client_request_id = client_request_id
        self.head = head
        self.body = body
        # The deadline, in milliseconds of the events' clock.
        self._expires_at_ms = event.expires_at
        # Number of attempts that were started, which is also the number of the next attempt.
        self.attempt_count = 0
        self.attempts_in_flight: list[Attempt] = []
        self.may_have_run = False  # The outcome of an attempt says that a server may have run it.
        self.is_finished = False
        self._deadline_timer: asyncio.TimerHandle | None = None

    # End of the request

    def finish(self) -> ResponseSink | None:
        """Mark the request as finished; return its client, or None if it was finished before."""
        client = self._client
        self._client = None
        self.is_finished = True
        return client

    def finish_if_client_disconnected(self) -> bool:
        """Finish the request if its client has disconnected; return whether the request is finished.

        Call this before anything is sent for the request: after a long iteration of the event loop, or a wait
        for the processor, the event loop may not have read the end of the client's stream yet.
        """
        client = self._client
        if client is not None and client.has_disconnected():
            self.finish()
            client.close()
        return self.is_finished

    # Deadline

    def remaining_ms(self, now_ms: float) -> float:
        """Return the time until the deadline in milliseconds; negative after the deadline."""
        return self._expires_at_ms - now_ms

    def expire(self, now_ms: float) -> None:
        """Set the deadline to now, so that no time is left for another attempt."""
        self._expires_at_ms = now_ms

    def set_deadline_timer(self, timer: asyncio.TimerHandle) -> None:
        """Store the timer that ends the request at its deadline."""
        self._deadline_timer = timer

    def clear_deadline_timer(self) -> None:
        """Remove the reference to the timer after it has fired."""
        self._deadline_timer = None

    def cancel_deadline_timer(self) -> None:
        """Cancel the deadline timer, if one is set."""
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
            self._deadline_timer = None

    # Attempts

    def record_attempt_started(self, attempt: Attempt) -> None:
        """Record that an attempt was started."""
        self.attempt_count += 1
        self.attempts_in_flight.append(attempt)

    def record_attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """Record that an attempt has ended."""
        self.attempts_in_flight.remove(attempt)
        if outcome not in NOT_EXECUTED_OUTCOMES:
            self.may_have_run = True


class RequestTable:
    """Holds the requests that were submitted and not released, and the client request ids in use."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.by_number: dict[int, ProxiedRequest] = {}
        # Client request ids of all requests that were read and are not released, submitted or not.
        self.client_request_ids: set[bytes] = set()
        self._numbers = itertools.count()

    def next_number(self) -> int:
        """Return a number for a new request."""
        return next(self._numbers)

    def claim_client_request_id(self, client_request_id: bytes) -> bool:
        """Reserve the id of a request that was read; return False if another request uses it."""
        if client_request_id in self.client_request_ids:
            return False
        self.client_request_ids.add(client_request_id)
        return True

    def add(self, request: ProxiedRequest) -> None:
        """Add a request that is submitted."""
        self.by_number[request.event.id] = request

    def is_submitted(self, request: ProxiedRequest) -> bool:
        """Return whether a request was submitted and is not released yet."""
        return request.event.id in self.by_number

    def list_unanswered(self) -> list[ProxiedRequest]:
        """Return the submitted requests whose clients still wait for a response."""
        return [request for request in self.by_number.values() if not request.is_finished]

    def respond(
        self,
        request: ProxiedRequest,
        status: int,
        body: bytes = b"",
        content_type: bytes = b"",
        retry_after_ms: float = 0.0,
    ) -> None:
        """Write the final response; has no effect on a request that is finished."""
        if request.is_finished:
            return
        client = request.finish()
        if client is not None:
            client.write_response(status, body, content_type, retry_after_ms)
        self.release_if_done(request)

    def release_if_done(self, request: ProxiedRequest) -> None:
        """Release a finished request without attempts in flight, so that no entry or timer outlives it."""
        if not request.is_finished or request.attempts_in_flight:
            return
        request.cancel_deadline_timer()
        self.by_number.pop(request.event.id, None)
        self.client_request_ids.discard(request.client_request_id)
