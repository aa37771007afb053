"""A client's request while it is proxied, and the table of all that are."""

from __future__ import annotations

import asyncio
import itertools
from typing import Protocol

from limiter.model.events import ClientRequest
from limiter.transport.servers.attempt import Attempt


class ResponseSink(Protocol):
    """Where the final response goes."""

    def answer(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Write the final response."""

    def hung_up(self) -> bool:
        """Return whether the client has gone."""

    def close(self) -> None:
        """Close the connection without a response."""


class ProxiedRequest:
    """A client's request from its last byte until it is finished and no attempt is in flight.

    It is finished once, by its final response or by the client's leaving: `finish` alone does that. Attempts
    in flight may outlive that; the request table releases it after the last of them.
    """

    __slots__ = (
        "attempt_count",
        "body",
        "client",
        "client_request_id",
        "deadline_timer",
        "event",
        "expires_at",
        "finished",
        "head",
        "in_flight",
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
        """`head` is the request line and headers for the server, without the deadline and the blank line."""
        self.client: ResponseSink | None = client
        self.event = event
        self.client_request_id = client_request_id
        self.head = head
        self.body = body
        self.expires_at = event.expires_at  # ms, on the clock of the events
        self.attempt_count = 0
        self.in_flight: list[Attempt] = []
        self.may_have_run = False
        self.finished = False
        self.deadline_timer: asyncio.TimerHandle | None = None

    def finish(self) -> ResponseSink | None:
        """Mark it finished; return where its response goes, None where that is settled already."""
        client = self.client
        self.client = None
        self.finished = True
        return client


class RequestTable:
    """All requests that were submitted and not released, by number, and the clients' ids in use."""

    def __init__(self) -> None:
        """Start empty."""
        self.by_number: dict[int, ProxiedRequest] = {}
        self.client_request_ids: set[bytes] = set()  # of requests read and not yet released
        self._numbers = itertools.count()

    def next_number(self) -> int:
        """Return a number for a new request."""
        return next(self._numbers)

    def unanswered(self) -> list[ProxiedRequest]:
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
            client.answer(status, body, content_type, retry_after_ms)
        self.release_if_done(request)

    def release_if_done(self, request: ProxiedRequest) -> None:
        """Release what is finished and has no attempt in flight: no record or timer may outlive it."""
        if not request.finished or request.in_flight:
            return
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
            request.deadline_timer = None
        self.by_number.pop(request.event.id, None)
        self.client_request_ids.discard(request.client_request_id)
