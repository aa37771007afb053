"""A connection to a server, with at most one attempt in flight."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from limiter.model.events import Outcome
from limiter.transport.http_response import HttpResponse, ResponseProtocol
from limiter.transport.servers.attempt import Attempt
from limiter.transport.sockets import has_unread_input

MAX_RESPONSE_BODY_BYTES = 65536
# Longest time without further bytes of a partly received response. Servers send a response without pauses, so
# a response that stalls is broken. Without this timeout its request would wait until its deadline.
RESPONSE_STALL_TIMEOUT_SECONDS = 0.15
# Additional time after a stall is detected. If this process was paused, the bytes that the kernel received in
# the meantime are read within it.
RESPONSE_STALL_RECHECK_SECONDS = 0.02


class ConnectionOwner(Protocol):
    """The part of a server's interface that its connections use."""

    @property
    def is_retired(self) -> bool:
        """Whether connections to this server must not be kept for reuse."""

    def record_bytes_received(self, received_at_seconds: float) -> None:
        """Record the time at which bytes arrived from the server, on any connection."""

    def has_sent_since(self, since_seconds: float) -> bool:
        """Return whether bytes have arrived from the server since a monotonic time."""

    def record_reuse(self, idle_seconds: float, *, was_reset: bool) -> None:
        """Record whether a connection reused after `idle_seconds` was reset."""

    def add_idle_connection(self, connection: ServerConnection) -> None:
        """Keep an open connection for later attempts on this server."""

    def remove_connection(self, connection: ServerConnection) -> None:
        """Remove a connection from the open and the idle ones; has no effect if it was removed before."""

    def close_idle_connections(self) -> None:
        """Close the idle connections to the server."""


class ServerConnection(ResponseProtocol):
    """A connection that is either idle or has one attempt in flight, until it is closed.

    An attempt is in flight from `start_attempt` until its response, the end of the connection or
    `abandon_attempt`.
    """

    __slots__ = (
        "_attempt",
        "_idle_seconds_before_attempt",
        "_idle_since_seconds",
        "_last_received_seconds",
        "_owner",
        "_stall_timer",
    )

    def __init__(self, owner: ConnectionOwner) -> None:
        """Create the protocol object for a connection that is being opened to the server `owner`."""
        super().__init__(MAX_RESPONSE_BODY_BYTES)
        self._owner = owner
        self._attempt: Attempt | None = None
        # Monotonic time at which the connection last became idle; None if it never was.
        self._idle_since_seconds: float | None = None
        # Idle time before the attempt in flight; None on a connection that has not been idle yet.
        self._idle_seconds_before_attempt: float | None = None
        # Monotonic time at which the most recent bytes of a response arrived.
        self._last_received_seconds = 0.0
        self._stall_timer: asyncio.TimerHandle | None = None  # Set while a response is incomplete.

    @property
    def is_reusable(self) -> bool:
        """Whether a request can be written: the connection is open, with no unread bytes or end of stream."""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and not has_unread_input(self.transport)
        )

    def idle_seconds(self, now_seconds: float) -> float:
        """Return how long the connection has been idle, in seconds; it must be idle."""
        assert self._idle_since_seconds is not None
        return now_seconds - self._idle_since_seconds

    def mark_idle(self) -> None:
        """Make the connection available for later attempts on the same server."""
        self._idle_since_seconds = time.monotonic()
        self._owner.add_idle_connection(self)

    def start_attempt(self, attempt: Attempt) -> None:
        """Write the attempt's request; the response or the end of the connection ends the attempt."""
        transport = self.transport
        assert transport is not None
        self._attempt = attempt
        attempt.record_write_start(self)
        if self._idle_since_seconds is not None:
            self._idle_seconds_before_attempt = attempt.started_at_seconds - self._idle_since_seconds
        transport.writelines(attempt.request.encode())
        # After a failed write the transport is closing and its buffer is empty, although the request was not
        # written completely.
        if not transport.is_closing() and transport.get_write_buffer_size() == 0:
            attempt.record_write_end()

    def abandon_attempt(self) -> None:
        """Close the connection without ending its attempt; the caller ends it."""
        attempt = self._attempt
        self._attempt = None
        self._fail_connection()
        if attempt is None or not attempt.is_written:
            return
        if not self._owner.has_sent_since(attempt.started_at_seconds):
            # The server may have become unreachable. Its other connections then stay open but never deliver a
            # response, so the idle ones must not be reused.
            self._owner.close_idle_connections()

    def close(self) -> None:
        """Remove an idle connection from the pool and close it."""
        self._owner.remove_connection(self)
        self.close_immediately()

    # Callbacks of the event loop and of the response parser

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and request a callback whenever its write buffer becomes empty."""
        super().connection_made(transport)
        assert self.transport is not None
        # With a high-water mark of 0, `resume_writing` is called once the kernel has accepted the last byte.
        self.transport.set_write_buffer_limits(0)

    def resume_writing(self) -> None:
        """Record that the kernel has accepted the whole request, because the write buffer is empty."""
        if self._attempt is not None and self.transport is not None and not self.transport.is_closing():
            self._attempt.record_write_end()

    def data_received(self, data: bytes) -> None:
        """Parse a part of a response, and start the stall timer if the response is incomplete."""
        received_at_seconds = time.monotonic()
        self._owner.record_bytes_received(received_at_seconds)
        if self._attempt is None:
            # No attempt is in flight. Reading on could match these bytes to the next request.
            self._fail_connection()
            return
        self._last_received_seconds = received_at_seconds
        super().data_received(data)
        if self._attempt is None or not self.is_receiving:
            self._stop_stall_timer()
        elif self._stall_timer is None:
            self._start_stall_timer()

    def response_received(self, response: HttpResponse) -> None:
        """End the attempt with its response, and keep the connection if it can be reused."""
        attempt = self._attempt
        if attempt is None:  # A second response to the same request.
            self.close_immediately()
            return
        if response.has_surplus:
            # The server may have stated too short a length, so that only a part of the body was received.
            self._fail_connection()
            return
        self._attempt = None
        if self._idle_seconds_before_attempt is not None:
            self._owner.record_reuse(self._idle_seconds_before_attempt, was_reset=False)
        if response.keep_alive and attempt.is_written and not self._owner.is_retired:
            self.mark_idle()
        else:
            self.close_immediately()
        attempt.end(_classify_response(response), response.body, response.content_type)

    def connection_failed(self) -> None:
        """Remove the connection from the pool, and end the attempt that was in flight."""
        self._stop_stall_timer()
        self._owner.remove_connection(self)
        attempt = self._attempt
        if attempt is None:
            return
        self._attempt = None
        is_stale = False
        if self._idle_seconds_before_attempt is not None:
            is_stale = self._last_received_seconds < attempt.started_at_seconds
            if is_stale:
                self._owner.record_reuse(self._idle_seconds_before_attempt, was_reset=True)
        attempt.end_on_connection_failure(is_stale=is_stale)

    def _fail_connection(self) -> None:
        self.close_immediately()
        self.connection_failed()

    def _start_stall_timer(self) -> None:
        self._stall_timer = asyncio.get_running_loop().call_later(
            RESPONSE_STALL_TIMEOUT_SECONDS, self._check_stall, self._last_received_seconds
        )

    def _check_stall(self, last_received_seconds: float) -> None:
        """Restart the timer if bytes have arrived since `last_received_seconds`; else schedule a recheck."""
        if self._last_received_seconds != last_received_seconds:
            self._start_stall_timer()
            return
        self._stall_timer = asyncio.get_running_loop().call_later(
            RESPONSE_STALL_RECHECK_SECONDS, self._recheck_stall, last_received_seconds
        )

    def _recheck_stall(self, last_received_seconds: float) -> None:
        """Restart the timer if bytes have arrived since `last_received_seconds`; else fail the connection."""
        if self._last_received_seconds != last_received_seconds:
            self._start_stall_timer()
        else:
            self._fail_connection()

    def _stop_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None


def _classify_response(response: HttpResponse) -> Outcome:
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504) and response.is_marked_not_run:
        return Outcome.REJECTED
    return Outcome.ERROR
