"""Connections to all servers, and the attempts on them. An attempt is never written twice."""

from __future__ import annotations

import asyncio
import errno
import time

from limiter.configuration.config import Address
from limiter.model.events import Outcome
from limiter.transport.servers.attempt import Attempt
from limiter.transport.servers.reuse_history import ReuseHistory
from limiter.transport.servers.server_connection import ServerConnection

SETTLE_SECONDS = 0.01  # before a connection is reused: bytes right behind a response must be seen by then
MAX_IDLE_SHARE_OF_KEEPALIVE = (
    0.5  # servers close "at the latest" after their keepalive, and reset later writes
)
# Causes of a failed dial that lie on this side, and say nothing of the server.
LOCAL_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class PooledServer:
    """One process of a server: its address, idle connections and dials in progress."""

    __slots__ = ("address", "dialling", "idle", "last_received", "retired", "started_at")

    def __init__(self, address: Address, started_at: float) -> None:
        """Describe a server process by its address and its start time in Unix milliseconds."""
        self.address = address
        self.started_at = started_at
        self.idle: list[ServerConnection] = []  # the most recently used last
        self.dialling: set[Attempt] = set()  # attempts whose connection is being opened
        self.last_received = 0.0  # monotonic seconds at which it last sent anything
        self.retired = False  # no longer listed, or replaced by another process


class ServerPool:
    """Connections by server, each with one request at a time; the most recently used is reused first."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dial_timeout_ms: float,
        keepalive_ms: float,
        max_connections: int,
    ) -> None:
        """Start without servers; `max_connections` bounds those open and being opened, of all servers."""
        self.loop = loop
        self.max_connections = max_connections
        self.dial_timeout = dial_timeout_ms / 1000  # seconds
        self.max_idle = MAX_IDLE_SHARE_OF_KEEPALIVE * keepalive_ms / 1000  # seconds
        self.servers: dict[bytes, PooledServer] = {}
        self.connections: set[ServerConnection] = set()
        self.idle: dict[ServerConnection, None] = {}  # in order: the longest idle first
        self.reuse_history = ReuseHistory()
        self.dial_count = 0

    # Servers

    def update(self, key: bytes, address: Address, started_at: float) -> None:
        """Add a server, or replace it where its address or start time (Unix milliseconds) has changed."""
        server = self.servers.get(key)
        if server is None or server.address != address or server.started_at != started_at:
            # Connections to a process that is gone may look open: a keyed request on one could not be resent.
            self.remove(key)
            self.servers[key] = PooledServer(address, started_at)

    def drain(self, key: bytes) -> None:
        """Send nothing new to a server: close what is idle, and fail the attempts that wait for a dial."""
        server = self.servers.get(key)
        if server is None:
            return
        self._close_idle(server)
        for attempt in list(server.dialling):
            self.cancel_unsent(attempt, Outcome.CONNECT_FAILED)

    def remove(self, key: bytes) -> None:
        """Drain and forget a server; attempts that are written still get their responses."""
        self.drain(key)
        server = self.servers.pop(key, None)
        if server is not None:
            server.retired = True

    def close_expired(self) -> None:
        """Close what was idle for too long: a server resets what is written after its keepalive."""
        oldest_allowed = time.monotonic() - self.max_idle
        while self.idle:
            longest_idle = next(iter(self.idle))
            if longest_idle.idle_since >= oldest_allowed:
                return
            self._close(longest_idle)

    def close(self) -> None:
        """Close all idle connections."""
        for connection in list(self.idle):
            self._close(connection)

    # Attempts

    def send(self, attempt: Attempt, timeout: float | None) -> None:
        """Start an attempt; `timeout` in seconds, None where the caller abandons it in time."""
        if timeout is not None:
            attempt.timeout_timer = self.loop.call_later(timeout, self.abandon, attempt)
        server = self.servers.get(attempt.server)
        if server is None:
            self.loop.call_soon(attempt.end, Outcome.CONNECT_FAILED)
            return
        connection = self._take_reusable(server)
        if connection is not None:
            connection.start(attempt)
        elif self._has_capacity_for_dial():
            self._start_dial(server, attempt)
        else:
            self.loop.call_soon(attempt.end, Outcome.CONNECT_FAILED)

    def abandon(self, attempt: Attempt, outcome: Outcome = Outcome.TIMEOUT) -> None:
        """End an attempt without its response.

        Its connection is closed: a later response on it would belong to no request. Where the request was not
        written completely it cannot run, and the outcome is CONNECT_FAILED whatever the caller says.
        """
        connection = attempt.connection
        if connection is not None:
            connection.abandon_attempt()
            if attempt.written and connection.server.last_received < attempt.started:
                # Silent ever since: a machine that vanished keeps its other connections open and silent too.
                self._close_idle(connection.server)
        elif attempt.dial_task is not None:
            attempt.dial_task.cancel()
        attempt.end(outcome if attempt.written else Outcome.CONNECT_FAILED)

    def cancel_unsent(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt that waits for a connection; one whose write has begun may run, and goes on."""
        if attempt.dial_task is not None:
            attempt.dial_task.cancel()  # from here on nothing of it is written
            # In a later turn: the caller may still be handling the event that led here.
            self.loop.call_soon(attempt.end, outcome)

    # Dials

    def _has_capacity_for_dial(self) -> bool:
        """Whether one more connection may be opened; closes the longest idle one to make room."""
        if len(self.connections) + self.dial_count < self.max_connections:
            return True
        if not self.idle:
            return False
        self._close(next(iter(self.idle)))
        return True

    def _start_dial(self, server: PooledServer, attempt: Attempt) -> None:
        attempt.dial_task = self.loop.create_task(self._dial(server, attempt))
        server.dialling.add(attempt)
        self.dial_count += 1
        # A callback, not the task's last step: a task cancelled before its first step runs none of its code.
        attempt.dial_task.add_done_callback(lambda _: self._end_dial(server, attempt))

    def _end_dial(self, server: PooledServer, attempt: Attempt) -> None:
        self.dial_count -= 1
        server.dialling.discard(attempt)
        attempt.dial_task = None

    async def _dial(self, server: PooledServer, attempt: Attempt) -> None:
        connection = await self._open_connection(server)
        if connection is None or connection.transport is None or attempt.is_over:
            if connection is not None:
                connection.drop()
            attempt.end(Outcome.CONNECT_FAILED)
            return
        attempt.dial_task = None  # it can no longer be cancelled unsent
        self.connections.add(connection)
        if attempt.is_client_gone():
            self.keep_idle(connection)
            attempt.end(Outcome.CANCELLED)
            return
        connection.start(attempt)

    async def _open_connection(self, server: PooledServer) -> ServerConnection | None:
        """Open a connection; None where it cannot be opened in time."""
        try:
            # A machine that vanished never answers: the system's own limit is minutes.
            async with asyncio.timeout(self.dial_timeout):
                _, connection = await self.loop.create_connection(
                    lambda: ServerConnection(self, server), *server.address
                )
        except (OSError, TimeoutError) as error:
            if error.errno not in LOCAL_ERRNOS:
                self._close_idle(server)
            return None
        return connection

    # Connections

    def keep_idle(self, connection: ServerConnection) -> None:
        """Keep an open connection for the next attempt on its server."""
        connection.idle_since = time.monotonic()
        connection.server.idle.append(connection)
        self.idle[connection] = None

    def forget(self, connection: ServerConnection) -> None:
        """Take a connection out of the pool; it is closed by its caller, or closed already."""
        self.connections.discard(connection)
        self._take(connection)

    def _take_reusable(self, server: PooledServer) -> ServerConnection | None:
        """Take the most recently used connection that can carry a request; close those that no longer can."""
        now = time.monotonic()
        for connection in reversed(server.idle[:]):
            if connection.idle_since > now - SETTLE_SECONDS:
                continue
            idle_seconds = now - connection.idle_since
            if (
                connection.is_reusable
                and idle_seconds <= self.max_idle
                and self.reuse_history.permits_reuse(idle_seconds)
            ):
                self._take(connection)
                return connection
            self._close(connection)
        return None

    def _take(self, connection: ServerConnection) -> None:
        if connection in self.idle:
            del self.idle[connection]
            connection.server.idle.remove(connection)

    def _close(self, connection: ServerConnection) -> None:
        self.forget(connection)
        connection.drop()

    def _close_idle(self, server: PooledServer) -> None:
        for connection in server.idle[:]:
            self._close(connection)
