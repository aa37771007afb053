"""A connection to a server, which carries one attempt at a time."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from limiter.model.events import Outcome
from limiter.transport.http_response import ResponseProtocol
from limiter.transport.servers.attempt import Attempt
from limiter.transport.sockets import has_unread_input

if TYPE_CHECKING:
    from limiter.transport.servers.server_pool import PooledServer, ServerPool

MAX_BODY_BYTES = 65536
STALL_SECONDS = 0.15  # for the rest of a response that has begun: servers send it in one go, or it is broken
STALL_RECHECK_SECONDS = 0.02  # more, in which what the kernel held while this process did not run is read


class ServerConnection(ResponseProtocol):
    """One connection: idle in its pool, or carrying an attempt until the response or the connection's end."""

    __slots__ = ("_stall_timer", "attempt", "idle_before", "idle_since", "last_received", "pool", "server")

    def __init__(self, pool: ServerPool, server: PooledServer) -> None:
        """Make the protocol of a connection that `pool` opens to `server`."""
        super().__init__(MAX_BODY_BYTES)
        self.pool = pool
        self.server = server
        self.attempt: Attempt | None = None
        self.idle_since = 0.0  # monotonic seconds; 0: it has not been idle yet
        self.idle_before: float | None = (
            None  # seconds idle before the current attempt; None: a new connection
        )
        self.last_received = 0.0  # monotonic seconds
        self._stall_timer: asyncio.TimerHandle | None = None  # set only while part of a response has come

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport."""
        super().connection_made(transport)
        assert self.transport is not None
        # No buffer: a write goes to the kernel at once, or resume_writing tells when its last byte did.
        self.transport.set_write_buffer_limits(0)

    @property
    def is_reusable(self) -> bool:
        """Whether it can take a request: open, with neither an end nor a second response left to read."""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and not has_unread_input(self.transport)
        )

    def start(self, attempt: Attempt) -> None:
        """Write the attempt's request; its response or the connection's end will end it."""
        transport = self.transport
        assert transport is not None
        self.attempt = attempt
        attempt.connection = self
        self.idle_before = attempt.started - self.idle_since if self.idle_since else None
        transport.write(attempt.data)
        # A write that fails leaves the transport closing and its buffer empty: it was not written completely.
        attempt.written = not transport.is_closing() and transport.get_write_buffer_size() == 0

    def resume_writing(self) -> None:
        """The write buffer is empty: the request is with the kernel."""
        if self.attempt is not None and self.transport is not None and not self.transport.is_closing():
            self.attempt.written = True

    def data_received(self, data: bytes) -> None:
        """Read a part of the response, and watch that the rest follows in time."""
        self.server.last_received = time.monotonic()
        if self.attempt is None:  # unsolicited: what follows could be taken for another request's response
            self._fail()
            return
        super().data_received(data)
        self.last_received = self.server.last_received
        if self.attempt is None or not self.is_receiving:
            self._stop_stall_timer()
        elif self._stall_timer is None:
            self._start_stall_timer()

    def response_received(self, status: int, body: bytes, keep_alive: bool) -> None:
        """End the attempt with its response, and keep the connection if it can carry another."""
        attempt = self.attempt
        if attempt is None:  # a second response to one request
            self.drop()
            return
        self.attempt = None
        if self.idle_before is not None:
            self.pool.reuse_history.record(self.idle_before, False)
        outcome = self._outcome_of(status)
        if keep_alive and attempt.written and not self.server.retired:
            self.pool.keep_idle(self)
        else:
            self.drop()
        attempt.end(outcome, body, self.content_type)

    def connection_failed(self) -> None:
        """Leave the pool, and end the attempt that was in flight."""
        self._stop_stall_timer()
        self.pool.forget(self)
        attempt = self.attempt
        if attempt is None:
            return
        self.attempt = None
        attempt.stale = self.idle_before is not None and self.last_received < attempt.started
        if self.idle_before is not None and attempt.stale:
            self.pool.reuse_history.record(self.idle_before, True)
        # Before the last byte was written the server cannot have begun it; after that it may have.
        attempt.end(Outcome.RESET if attempt.written else Outcome.CONNECT_FAILED)

    def abandon_attempt(self) -> None:
        """Close the connection without ending its attempt, which its caller ends."""
        self.attempt = None
        self._fail()

    def _outcome_of(self, status: int) -> Outcome:
        if status == 200:
            return Outcome.OK
        if status in (503, 504) and self.not_run:
            return Outcome.REJECTED
        return Outcome.ERROR

    def _fail(self) -> None:
        self.drop()
        self.connection_failed()

    def _start_stall_timer(self) -> None:
        self._stall_timer = self.pool.loop.call_later(
            STALL_SECONDS, self._check_stall, self.last_received, False
        )

    def _check_stall(self, received_at: float, is_recheck: bool) -> None:
        """Fail where nothing came since `received_at`.

        A response shorter than its stated length, say, would hold its request until the deadline.
        """
        if self.last_received != received_at:
            self._start_stall_timer()
        elif not is_recheck:
            self._stall_timer = self.pool.loop.call_later(
                STALL_RECHECK_SECONDS, self._check_stall, received_at, True
            )
        else:
            self._fail()

    def _stop_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
