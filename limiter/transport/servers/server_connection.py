"""A connection to a server, which carries one attempt at a time."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from limiter.model.events import Outcome
from limiter.transport.http_response import ResponseProtocol
from limiter.transport.servers.attempt import Attempt
from limiter.transport.sockets import has_unread_input

MAX_BODY_BYTES = 65536
# Time within which more of a response that has begun must come. Servers send a response in one go, so one
# that stops in between is broken, and would otherwise hold its request until the deadline.
RESPONSE_STALL_TIMEOUT_SECONDS = 0.15
# Further time after that, in which what the kernel received while this process was paused is read.
STALL_RECHECK_SECONDS = 0.02


class ConnectionOwner(Protocol):
    """The server that a connection leads to, as known to the connection."""

    @property
    def is_retired(self) -> bool:
        """Whether nothing new is sent to this server."""

    def bytes_received(self, received_at_seconds: float) -> None:
        """Note that the server has sent something, on any connection."""

    def has_sent_since(self, moment_seconds: float) -> bool:
        """Return whether the server has sent anything since a moment of the monotonic clock."""

    def record_reuse(self, idle_seconds: float, *, was_reset: bool) -> None:
        """Note how the reuse of a connection that had been idle for so long ended."""

    def keep_idle(self, connection: ServerConnection) -> None:
        """Keep an open connection for the server's next attempt."""

    def forget(self, connection: ServerConnection) -> None:
        """Drop a connection from all lists; without effect if that was done before."""

    def close_idle(self) -> None:
        """Close the idle connections to the server."""


class ServerConnection(ResponseProtocol):
    """A connection that is idle, or carries an attempt, until it is closed.

    An attempt is carried from `start_attempt` until the response, the connection's end or `abandon_attempt`.
    """

    __slots__ = (
        "_attempt",
        "_idle_before_seconds",
        "_idle_since_seconds",
        "_last_received_seconds",
        "_owner",
        "_stall_timer",
    )

    def __init__(self, owner: ConnectionOwner) -> None:
        """Make the protocol of a connection that is being opened to the server `owner`."""
        super().__init__(MAX_BODY_BYTES)
        self._owner = owner
        self._attempt: Attempt | None = None
        # Monotonic time at which it last became idle; None as long as it has carried no attempt.
        self._idle_since_seconds: float | None = None
        # Idle time before the attempt that it carries; None on a new connection.
        self._idle_before_seconds: float | None = None
        # Monotonic time at which the last bytes were parsed.
        self._last_received_seconds = 0.0
        self._stall_timer: asyncio.TimerHandle | None = None  # Set while only a part of a response has come.

    @property
    def is_reusable(self) -> bool:
        """Whether it can take a request: open, with neither an end nor a second response left to read."""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and not has_unread_input(self.transport)
        )

    def idle_seconds(self, now_seconds: float) -> float:
        """Return for how long it has been idle; it must be idle."""
        assert self._idle_since_seconds is not None
        return now_seconds - self._idle_since_seconds

    def become_idle(self) -> None:
        """Wait for the next attempt to the same server."""
        self._idle_since_seconds = time.monotonic()
        self._owner.keep_idle(self)

    def start_attempt(self, attempt: Attempt) -> None:
        """Write the attempt's request; its response or the connection's end will end it."""
        transport = self.transport
        assert transport is not None
        self._attempt = attempt
        attempt.record_write_start(self)
        if self._idle_since_seconds is not None:
            self._idle_before_seconds = attempt.started_at_seconds - self._idle_since_seconds
        transport.write(attempt.request_bytes)
        # A write that fails leaves the transport closing with an empty buffer; it was not written completely.
        if not transport.is_closing() and transport.get_write_buffer_size() == 0:
            attempt.record_write_end()

    def abandon_attempt(self) -> None:
        """Close the connection without ending its attempt, which the caller ends."""
        attempt = self._attempt
        self._attempt = None
        self._fail()
        if attempt is None or not attempt.is_written:
            return
        if not self._owner.has_sent_since(attempt.started_at_seconds):
            # The other connections to a machine that has vanished stay open, and bring nothing either.
            self._owner.close_idle()

    def close(self) -> None:
        """Take an idle connection out of all lists, and close it."""
        self._owner.forget(self)
        self.close_immediately()

    # Callbacks of the event loop and of the response parser

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, and be called back whenever all bytes are with the kernel."""
        super().connection_made(transport)
        assert self.transport is not None
        # Without a buffer limit, `resume_writing` is called when the last byte has been written.
        self.transport.set_write_buffer_limits(0)

    def resume_writing(self) -> None:
        """Note that the request is with the kernel, since the write buffer is empty."""
        if self._attempt is not None and self.transport is not None and not self.transport.is_closing():
            self._attempt.record_write_end()

    def data_received(self, data: bytes) -> None:
        """Read a part of the response, and watch that the rest follows in time."""
        received_at_seconds = time.monotonic()
        self._owner.bytes_received(received_at_seconds)
        if self._attempt is None:
            # Nobody asked for this. What follows could be taken for the response to another request.
            self._fail()
            return
        super().data_received(data)
        self._last_received_seconds = received_at_seconds
        if self._attempt is None or not self.is_receiving:
            self._stop_stall_timer()
        elif self._stall_timer is None:
            self._start_stall_timer()

    def response_received(self, status: int, body: bytes, keep_alive: bool) -> None:
        """End the attempt with its response, and keep the connection if it can carry another."""
        attempt = self._attempt
        if attempt is None:  # This is a second response to one request.
            self.close_immediately()
            return
        self._attempt = None
        if self._idle_before_seconds is not None:
            self._owner.record_reuse(self._idle_before_seconds, was_reset=False)
        outcome = self._outcome_of(status)
        if keep_alive and attempt.is_written and not self._owner.is_retired:
            self.become_idle()
        else:
            self.close_immediately()
        attempt.end(outcome, body, self.content_type)

    def connection_failed(self) -> None:
        """Leave the lists of the server, and end the attempt that was in flight."""
        self._stop_stall_timer()
        self._owner.forget(self)
        attempt = self._attempt
        if attempt is None:
            return
        self._attempt = None
        is_stale = False
        if self._idle_before_seconds is not None:
            is_stale = self._last_received_seconds < attempt.started_at_seconds
            if is_stale:
                self._owner.record_reuse(self._idle_before_seconds, was_reset=True)
        attempt.end_on_connection_failure(is_stale=is_stale)

    def _outcome_of(self, status: int) -> Outcome:
        if status == 200:
            return Outcome.OK
        if status in (503, 504) and self.is_marked_not_run:
            return Outcome.REJECTED
        return Outcome.ERROR

    def _fail(self) -> None:
        self.close_immediately()
        self.connection_failed()

    def _start_stall_timer(self) -> None:
        self._stall_timer = asyncio.get_running_loop().call_later(
            RESPONSE_STALL_TIMEOUT_SECONDS, self._check_stall, self._last_received_seconds
        )

    def _check_stall(self, last_received_seconds: float) -> None:
        """Wait on if more has come since `last_received_seconds`; else have a last look in a while."""
        if self._last_received_seconds != last_received_seconds:
            self._start_stall_timer()
            return
        self._stall_timer = asyncio.get_running_loop().call_later(
            STALL_RECHECK_SECONDS, self._recheck_stall, last_received_seconds
        )

    def _recheck_stall(self, last_received_seconds: float) -> None:
        """Wait on if more has come since `last_received_seconds`; else fail."""
        if self._last_received_seconds != last_received_seconds:
            self._start_stall_timer()
        else:
            self._fail()

    def _stop_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
