"""A client's request while it is proxied, and the table of all such requests."""

from __future__ import annotations

import asyncio
import itertools
from typing import Protocol

from limiter.model.events import NOT_EXECUTED_OUTCOMES, ClientRequest, Outcome
from limiter.transport.request_memory import RequestMemory
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
        "is_released",
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
        self.is_released = False  # The request table holds nothing for it any more.
        self._deadline_timer: asyncio.TimerHandle | None = None

    @property
    def held_bytes(self) -> int:
        """The length of the parts that are kept for further attempts."""
        return len(self.head) + len(self.body)

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

    def mark_released(self) -> None:
        """Record that the request table holds nothing for the request any more."""
        self.is_released = True

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
    """Holds the requests that were submitted and not released, and the client request ids in use.

    Attributes:
        by_number: The submitted requests.
        client_request_ids: Client request ids of all requests that were read and are not released.
    """

    def __init__(self, memory: RequestMemory) -> None:
        """Create an empty table.

        Args:
            memory: Counts the bytes of the requests that were read and are not released.
        """
        self._memory = memory
        self.by_number: dict[int, ProxiedRequest] = {}
        self.client_request_ids: set[bytes] = set()
        self._numbers = itertools.count()

    def next_number(self) -> int:
        """Return a number for a new request."""
        return next(self._numbers)

    def claim(self, request: ProxiedRequest) -> bool:
        """Reserve the id and the memory of a request that was read; return False if another uses the id."""
        if request.client_request_id in self.client_request_ids:
            return False
        self.client_request_ids.add(request.client_request_id)
        self._memory.add(request.held_bytes)
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
        if request.is_released or not request.is_finished or request.attempts_in_flight:
            return
        request.mark_released()
        request.cancel_deadline_timer()
        self._memory.remove(request.held_bytes)
        self.by_number.pop(request.event.id, None)
        self.client_request_ids.discard(request.client_request_id)
