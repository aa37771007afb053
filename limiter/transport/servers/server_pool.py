"""Pool of the connections to all servers. No attempt is ever written twice."""

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

# Shortest idle time before a connection is reused. A second response that a server sends some milliseconds
# after the first has arrived by then. Once the next request is written, it would be taken for its response.
MIN_IDLE_BEFORE_REUSE_SECONDS = 0.03
# Longest idle time after which a connection is reused, as a fraction of the servers' keepalive time. A server
# closes idle connections after its keepalive time at the latest, and resets requests written after that.
MAX_IDLE_FRACTION_OF_KEEPALIVE = 0.5
# Dial errors that are caused by this host and say nothing about the server.
LOCAL_FAILURE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class ServerPool:
    """Connections by server, each with at most one request in flight; reuses the most recently used first."""

    def __init__(self, *, dial_timeout_ms: float, keepalive_ms: float, max_connections: int) -> None:
        """Create a pool without servers.

        Args:
            dial_timeout_ms: Time after which a dial fails.
            keepalive_ms: Idle time after which servers close connections, at the latest.
            max_connections: Limit on the connections to all servers, including those being opened.
        """
        self._max_connections = max_connections
        self._dial_timeout_seconds = dial_timeout_ms / 1000
        self._max_idle_seconds = MAX_IDLE_FRACTION_OF_KEEPALIVE * keepalive_ms / 1000
        self._dials_in_progress = 0
        self.servers: dict[bytes, PooledServer] = {}
        self.connections = ConnectionTable()

    # Servers

    def add_or_replace(self, server_id: bytes, address: Address, started_at_ms: float) -> None:
        """Add a server, or replace it if its address or start time (Unix milliseconds) has changed."""
        server = self.servers.get(server_id)
        if server is None or server.address != address or server.started_at_ms != started_at_ms:
            # Connections to a process that has ended may still look open. A request written on one of them
            # could not be resent.
            self.remove(server_id)
            self.servers[server_id] = PooledServer(address, started_at_ms, self.connections)

    def drain(self, server_id: bytes) -> None:
        """Close the idle connections to a server, and fail the attempts that wait for a dial to it."""
        server = self.servers.get(server_id)
        if server is not None:
            server.drain()

    def drain_all(self) -> None:
        """Drain all servers."""
        for server in self.servers.values():
            server.drain()

    def remove(self, server_id: bytes) -> None:
        """Drain and remove a server; attempts in flight still get their responses."""
        server = self.servers.pop(server_id, None)
        if server is not None:
            server.drain()
            server.retire()

    def close_expired_connections(self) -> None:
        """Close connections that were idle for too long for reuse.

        A server resets requests that are written after its keepalive time.
        """
        now_seconds = time.monotonic()
        while (connection := self.connections.find_longest_idle()) is not None:
            if connection.idle_seconds(now_seconds) <= self._max_idle_seconds:
                return
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in list(self.connections.idle):
            connection.close()

    # Attempts

    def send(self, attempt: Attempt, timeout_seconds: float | None) -> None:
        """Send an attempt on an idle connection, or on a new one if none can be reused.

        Args:
            attempt: The attempt to send.
            timeout_seconds: Time after which the attempt is abandoned; None if the caller abandons it.
        """
        if timeout_seconds is not None:
            attempt.start_timeout(timeout_seconds)
        if attempt.request.remaining_write_seconds() <= 0:
            self._end_in_next_iteration(attempt, Outcome.REQUEST_ENDED)
            return
        server = self.servers.get(attempt.server_id)
        if server is None:
            self._end_in_next_iteration(attempt, Outcome.CONNECT_FAILED)
            return
        connection = self._take_reusable(server)
        if connection is not None:
            connection.start_attempt(attempt)
        elif self._make_room_for_dial():
            self._start_dial(server, attempt)
        else:
            self._end_in_next_iteration(attempt, Outcome.CONNECT_FAILED)

    def _end_in_next_iteration(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an unsent attempt in the next event loop iteration, once the caller has returned."""
        asyncio.get_running_loop().call_soon(attempt.end, outcome)

    def _take_reusable(self, server: PooledServer) -> ServerConnection | None:
        """Remove and return the most recently used reusable connection; close the unusable ones before it."""
        now_seconds = time.monotonic()
        for connection in server.list_idle_by_recency():
            idle_seconds = connection.idle_seconds(now_seconds)
            if idle_seconds < MIN_IDLE_BEFORE_REUSE_SECONDS:
                continue
            if self._can_reuse(connection, idle_seconds):
                server.remove_idle_connection(connection)
                return connection
            connection.close()
        return None

    def _can_reuse(self, connection: ServerConnection, idle_seconds: float) -> bool:
        return (
            connection.is_reusable
            and idle_seconds <= self._max_idle_seconds
            and self.connections.reuse_history.permits_reuse(idle_seconds)
        )

    # Dials

    def _make_room_for_dial(self) -> bool:
        """Return whether a dial is allowed; at the limit, close the longest idle connection to make room."""
        if len(self.connections.open) + self._dials_in_progress < self._max_connections:
            return True
        longest_idle = self.connections.find_longest_idle()
        if longest_idle is None:
            return False
        longest_idle.close()
        return True

    def _start_dial(self, server: PooledServer, attempt: Attempt) -> None:
        dial_task = asyncio.get_running_loop().create_task(self._dial(server, attempt))
        attempt.record_dial_start(dial_task)
        server.record_dial_start(attempt)
        self._dials_in_progress += 1
        # The cleanup is a callback rather than a part of the task, because a task that is cancelled before
        # its first step runs none of its code.
        dial_task.add_done_callback(partial(self._finish_dial, server, attempt))

    def _finish_dial(self, server: PooledServer, attempt: Attempt, _: asyncio.Task[None]) -> None:
        self._dials_in_progress -= 1
        server.record_dial_end(attempt)
        attempt.record_dial_end()

    async def _dial(self, server: PooledServer, attempt: Attempt) -> None:
        """Open a connection and start the attempt, unless that is too late or its client has disconnected."""
        connection = await self._open_connection(server, attempt.request.remaining_write_seconds())
        if connection is None or connection.transport is None or attempt.has_ended:
            if connection is not None:
                connection.close_immediately()
            attempt.end(Outcome.CONNECT_FAILED)
            return
        attempt.record_dial_end()
        self.connections.open.add(connection)
        if attempt.is_client_disconnected():
            connection.mark_idle()
            attempt.end(Outcome.CANCELLED)
        elif attempt.request.remaining_write_seconds() <= 0:
            connection.mark_idle()
            attempt.end(Outcome.REQUEST_ENDED)
        else:
            connection.start_attempt(attempt)

    async def _open_connection(self, server: PooledServer, max_seconds: float) -> ServerConnection | None:
        """Open a connection, or return None if that fails, times out or takes longer than `max_seconds`."""
        loop = asyncio.get_running_loop()
        try:
            # An unreachable host never responds, and the operating system's own timeout is minutes.
            async with asyncio.timeout(min(self._dial_timeout_seconds, max_seconds)):
                _, connection = await loop.create_connection(
                    lambda: ServerConnection(server), *server.address
                )
        except (OSError, TimeoutError) as error:
            if error.errno not in LOCAL_FAILURE_ERRNOS:
                server.close_idle_connections()
            return None
        return connection
