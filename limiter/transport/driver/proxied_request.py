"""A client's request while it is proxied, and the table of all that are."""

from __future__ import annotations

import asyncio
import itertools
from typing import Protocol

from limiter.model.events import NOT_EXECUTED_OUTCOMES, ClientRequest, Outcome
from limiter.transport.servers.attempt import Attempt


class ResponseSink(Protocol):
    """Where the final response goes."""

    def write_response(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Write the final response."""

    def has_hung_up(self) -> bool:
        """Return whether the client has closed its connection."""

    def close(self) -> None:
        """Close the connection without a response."""


class ProxiedRequest:
    """A client's request from its last byte until it is finished and no attempt is in flight.

    It is finished once, by its final response or by its client's disconnecting: `finish` alone does that.
    Attempts in flight may outlive that; the request table releases the request after the last of them.
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
        "finished",
        "head",
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
        """Describe a request that was read and is not submitted yet.

        Args:
            client: Where its final response goes.
            event: What the policy decides on.
            client_request_id: The id that the client gave it.
            head: Request line and headers for the server, but for the deadline and the blank line.
            body: The body for the server.
        """
        self._client: ResponseSink | None = client
        self.event = event
        self.client_request_id = client_request_id
        self.head = head
        self.body = body
        # Its deadline, on the clock of the events.
        self._expires_at_ms = event.expires_at
        # How many attempts were begun, which is also the number of the next one.
        self.attempt_count = 0
        self.attempts_in_flight: list[Attempt] = []
        self.may_have_run = False  # An outcome of its attempts says that a server may have run it.
        self.finished = False
        self._deadline_timer: asyncio.TimerHandle | None = None

    # Its end

    def finish(self) -> ResponseSink | None:
        """Mark it finished; return where its response goes, None if it was finished before."""
        client = self._client
        self._client = None
        self.finished = True
        return client

    def finish_if_hung_up(self) -> bool:
        """Finish it if its client has hung up; return whether it is finished.

        Ask before anything is sent for it: after a long turn of the loop, or a wait for the processor, the
        client's end may be still unread.
        """
        client = self._client
        if client is not None and client.has_hung_up():
            self.finish()
            client.close()
        return self.finished

    # Its deadline

    def remaining_ms(self, now_ms: float) -> float:
        """Return the time until its deadline in milliseconds, below 0 after it."""
        return self._expires_at_ms - now_ms

    def expire(self, now_ms: float) -> None:
        """Bring its deadline forward to now, so that no time is left for another attempt."""
        self._expires_at_ms = now_ms

    def deadline_timer_started(self, timer: asyncio.TimerHandle) -> None:
        """Keep the timer that ends the request at its deadline."""
        self._deadline_timer = timer

    def deadline_timer_fired(self) -> None:
        """Let go of the timer, which cannot be cancelled any more."""
        self._deadline_timer = None

    def cancel_deadline_timer(self) -> None:
        """Cancel the timer; without effect if none is set."""
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
            self._deadline_timer = None

    # Its attempts

    def attempt_started(self, attempt: Attempt) -> None:
        """Note that an attempt was begun."""
        self.attempt_count += 1
        self.attempts_in_flight.append(attempt)

    def attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """Note that an attempt has ended."""
        self.attempts_in_flight.remove(attempt)
        if outcome not in NOT_EXECUTED_OUTCOMES:
            self.may_have_run = True


class RequestTable:
    """All requests that were submitted and not released, by number, and the clients' ids in use."""

    def __init__(self) -> None:
        """Make a table without requests."""
        self.by_number: dict[int, ProxiedRequest] = {}
        # The clients' ids of all requests that were read and are not released, submitted or not.
        self.client_request_ids: set[bytes] = set()
        self._numbers = itertools.count()

    def next_number(self) -> int:
        """Return a number for a new request."""
        return next(self._numbers)

    def claim_client_request_id(self, client_request_id: bytes) -> bool:
        """Take an id for a request that was read; return False if another request has it."""
        if client_request_id in self.client_request_ids:
            return False
        self.client_request_ids.add(client_request_id)
        return True

    def add(self, request: ProxiedRequest) -> None:
        """Enter a request that is submitted."""
        self.by_number[request.event.id] = request

    def is_submitted(self, request: ProxiedRequest) -> bool:
        """Return whether a request was submitted and is not released."""
        return request.event.id in self.by_number

    def list_unanswered(self) -> list[ProxiedRequest]:
        """Return the requests that are still owed a response."""
        return [request for request in self.by_number.values() if not request.finished]

    def respond(
        self,
        request: ProxiedRequest,
        status: int,
        body: bytes = b"",
        content_type: bytes = b"",
        retry_after_ms: float = 0.0,
    ) -> None:
        """Give the one final response; whatever comes after it for this request is dropped."""
        if request.finished:
            return
        client = request.finish()
        if client is not None:
            client.write_response(status, body, content_type, retry_after_ms)
        self.release_if_done(request)

    def release_if_done(self, request: ProxiedRequest) -> None:
        """Release what is finished and has no attempt in flight: no record or timer may outlive it."""
        if not request.finished or request.attempts_in_flight:
            return
        request.cancel_deadline_timer()
        self.by_number.pop(request.event.id, None)
        self.client_request_ids.discard(request.client_request_id)
