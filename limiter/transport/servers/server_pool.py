"""Connections to all servers, and the attempts on them. An attempt is never written twice."""

from __future__ import annotations

import asyncio
import errno
import time
from functools import partial

from limiter.configuration.addresses import Address
from limiter.model.events import Outcome
from limiter.transport.servers.attempt import Attempt
from limiter.transport.servers.pooled_server import ConnectionTable, PooledServer
from limiter.transport.servers.server_connection import ServerConnection

# Idle time before a connection is reused. Bytes that follow a response immediately have been seen by then.
MIN_IDLE_BEFORE_REUSE_SECONDS = 0.01
# Longest idle time at which a connection is reused, as a share of the servers' keepalive. A server closes
# idle connections after its keepalive "at the latest", and resets what is written later.
MAX_IDLE_SHARE_OF_KEEPALIVE = 0.5
# Causes of a failed dial that lie on this side, and say nothing about the server.
LOCAL_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class ServerPool:
    """Connections by server, each with one request at a time; the most recently used is reused first."""

    def __init__(self, *, dial_timeout_ms: float, keepalive_ms: float, max_connections: int) -> None:
        """Begin without servers.

        Args:
            dial_timeout_ms: longest time in which a connection is opened.
            keepalive_ms: idle time after which servers close connections.
            max_connections: bound on the connections to all servers, those being opened included.
        """
        self._max_connections = max_connections
        self._dial_timeout_seconds = dial_timeout_ms / 1000
        self._max_idle_seconds = MAX_IDLE_SHARE_OF_KEEPALIVE * keepalive_ms / 1000
        self._dial_count = 0  # Connections that are being opened.
        self.servers: dict[bytes, PooledServer] = {}
        self.connections = ConnectionTable()

    # Servers

    def add_or_replace(self, server_id: bytes, address: Address, started_at_ms: float) -> None:
        """Add a server, or replace it where its address or start time (Unix milliseconds) has changed."""
        server = self.servers.get(server_id)
        if server is None or server.address != address or server.started_at_ms != started_at_ms:
            # Connections to a process that has ended may look open, and a request that was written on one
            # could not be resent.
            self.remove(server_id)
            self.servers[server_id] = PooledServer(address, started_at_ms, self.connections)

    def drain(self, server_id: bytes) -> None:
        """Send nothing new to a server: close what is idle, and fail the attempts that wait for a dial."""
        server = self.servers.get(server_id)
        if server is not None:
            server.drain()

    def remove(self, server_id: bytes) -> None:
        """Drain and forget a server; attempts that are written still get their responses."""
        server = self.servers.pop(server_id, None)
        if server is not None:
            server.drain()
            server.retire()

    def close_expired_connections(self) -> None:
        """Close what was idle for too long: a server resets what is written after its keepalive."""
        now_seconds = time.monotonic()
        while (connection := self.connections.longest_idle()) is not None:
            if connection.idle_seconds(now_seconds) <= self._max_idle_seconds:
                return
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in list(self.connections.idle):
            connection.close()

    # Attempts

    def send(self, attempt: Attempt, timeout_seconds: float | None) -> None:
        """Start an attempt.

        Args:
            attempt: what is sent, and where.
            timeout_seconds: time after which it is abandoned; None where the caller does that.
        """
        if timeout_seconds is not None:
            attempt.start_timeout(timeout_seconds)
        server = self.servers.get(attempt.server_id)
        if server is None:
            self._fail_in_next_turn(attempt)
            return
        connection = self._take_reusable(server)
        if connection is not None:
            connection.start_attempt(attempt)
        elif self._has_capacity_for_dial():
            self._start_dial(server, attempt)
        else:
            self._fail_in_next_turn(attempt)

    def _fail_in_next_turn(self, attempt: Attempt) -> None:
        """Fail an attempt that was not sent, once its caller has finished."""
        asyncio.get_running_loop().call_soon(attempt.end, Outcome.CONNECT_FAILED)

    def _take_reusable(self, server: PooledServer) -> ServerConnection | None:
        """Take the most recently used connection that can carry a request; close those that no longer can."""
        now_seconds = time.monotonic()
        for connection in server.most_recently_used():
            idle_seconds = connection.idle_seconds(now_seconds)
            if idle_seconds < MIN_IDLE_BEFORE_REUSE_SECONDS:
                continue
            if self._may_reuse(connection, idle_seconds):
                server.take(connection)
                return connection
            connection.close()
        return None

    def _may_reuse(self, connection: ServerConnection, idle_seconds: float) -> bool:
        return (
            connection.is_reusable
            and idle_seconds <= self._max_idle_seconds
            and self.connections.reuse_history.permits_reuse(idle_seconds)
        )

    # Dials

    def _has_capacity_for_dial(self) -> bool:
        """Whether one more connection may be opened; closes the longest idle one to make room."""
        if len(self.connections.open) + self._dial_count < self._max_connections:
            return True
        longest_idle = self.connections.longest_idle()
        if longest_idle is None:
            return False
        longest_idle.close()
        return True

    def _start_dial(self, server: PooledServer, attempt: Attempt) -> None:
        dial_task = asyncio.get_running_loop().create_task(self._dial(server, attempt))
        attempt.dial_begun(dial_task)
        server.dial_begun(attempt)
        self._dial_count += 1
        # A callback, not the task's last step: a task cancelled before its first step runs none of its code.
        dial_task.add_done_callback(partial(self._finish_dial, server, attempt))

    def _finish_dial(self, server: PooledServer, attempt: Attempt, _: asyncio.Task[None]) -> None:
        self._dial_count -= 1
        server.dial_finished(attempt)
        attempt.dial_finished()

    async def _dial(self, server: PooledServer, attempt: Attempt) -> None:
        """Open a connection and write the attempt on it, unless it is over or its client has disconnected."""
        connection = await self._open_connection(server)
        if connection is None or connection.transport is None or attempt.has_ended:
            if connection is not None:
                connection.close_immediately()
            attempt.end(Outcome.CONNECT_FAILED)
            return
        attempt.dial_finished()
        self.connections.open.add(connection)
        if attempt.is_client_disconnected():
            connection.become_idle()
            attempt.end(Outcome.CANCELLED)
            return
        connection.start_attempt(attempt)

    async def _open_connection(self, server: PooledServer) -> ServerConnection | None:
        """Open a connection; return None where it cannot be opened in time."""
        loop = asyncio.get_running_loop()
        try:
            # The timeout is needed since a machine that has vanished never responds, and the system's own
            # limit is minutes.
            async with asyncio.timeout(self._dial_timeout_seconds):
                _, connection = await loop.create_connection(
                    lambda: ServerConnection(server), *server.address
                )
        except (OSError, TimeoutError) as error:
            if error.errno not in LOCAL_ERRNOS:
                server.close_idle()
            return None
        return connection
