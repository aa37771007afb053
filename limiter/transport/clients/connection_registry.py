"""The client connections by state: which are closed, and when, so that they stay within their number."""

from __future__ import annotations

import time

from limiter.transport.clients.client_connection import OVERLOAD_RETRY_AFTER_MS, ClientConnection
from limiter.transport.clients.client_response import LocalResponse

# From connecting, or from a request's first byte, until a request must be complete.
READ_TIMEOUT_SECONDS = 2.0
IDLE_TIMEOUT_SECONDS = 20.0  # without a request
# That a connection with the response to bad input is kept, so that the client gets to read it.
LINGER_SECONDS = 0.75
# In which the request of a connection that was just opened is taken to be on its way.
FIRST_REQUEST_SECONDS = 0.25

REQUEST_TIMEOUT = LocalResponse(408, b"request not whole in time\n")
TOO_MANY_CONNECTIONS = LocalResponse(503, b"one connection too many\n", OVERLOAD_RETRY_AFTER_MS)

ConnectionSet = dict[ClientConnection, None]  # in the order of entry, which is that of `state_since`


class ConnectionRegistry:
    """All client connections; each of them is in one state at most.

    A connection with a request in hand is in none, for that has its own deadline.
    """

    def __init__(self, max_connections: int) -> None:
        """Keep up to `max_connections`; those beyond are overflow."""
        self._max_connections = max_connections
        self.connections: set[ClientConnection] = set()
        self.silent: ConnectionSet = {}  # nothing has come yet
        self.partial: ConnectionSet = {}  # part of a request has come, whatever else is in hand
        self.idle: ConnectionSet = {}  # between requests
        self.lingering: ConnectionSet = {}  # answered with an error, to be closed

    # Notifications of connections

    def connection_opened(self, connection: ClientConnection) -> None:
        """Add a connection; it is overflow where none other can be shed."""
        self.connections.add(connection)
        # Its request may be under way, so it is not closed but answered; idle, it is the next to be shed.
        connection.overflow = len(self.connections) > self._max_connections and not self.shed()
        self._enter(connection, self.silent)

    def request_started(self, connection: ClientConnection) -> None:
        """Note that part of a request has come. A new connection's time goes on from its connecting."""
        if connection in self.partial:
            return
        is_first = connection in self.silent
        opened_at = connection.state_since
        self._leave(connection)
        self._enter(connection, self.partial)
        if is_first:
            connection.state_since = opened_at

    def request_completed(self, connection: ClientConnection) -> None:
        """Note that a request has been read to its end."""
        self._leave(connection)

    def connection_idle(self, connection: ClientConnection) -> None:
        """Note that no request is in hand, but where the next one is being read."""
        if connection not in self.partial:
            self._leave(connection)
            self._enter(connection, self.idle)

    def connection_failed(self, connection: ClientConnection) -> None:
        """Keep a failed connection while its client reads the response."""
        self._leave(connection)
        self._enter(connection, self.lingering)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a connection."""
        self.connections.discard(connection)
        self._leave(connection)

    def _enter(self, connection: ClientConnection, state: ConnectionSet) -> None:
        connection.state_since = time.monotonic()
        state[connection] = None

    def _leave(self, connection: ClientConnection) -> None:
        for state in (self.idle, self.silent, self.partial, self.lingering):
            state.pop(connection, None)

    # Closing

    def shed(self) -> bool:
        """Close the connection that does least for its descriptor; False where all are at work."""
        # Those that never sent a byte go first, or many of them would displace working clients.
        for state in (self.lingering, self.silent, self.idle):
            for connection in state:
                if state is self.lingering or not connection.unread:
                    self._close(connection)
                    return True
        # Then the longest half read; the close follows when the next one is shed, or its response was read.
        for connection in self.partial:
            if not connection.failed and not connection.at_work and not connection.unread:
                connection.fail(TOO_MANY_CONNECTIONS)
                return True
        return False

    def close_expired(self) -> None:
        """Close the connections that have been in their state for too long."""
        now = time.monotonic()
        self._close_waiting(now - READ_TIMEOUT_SECONDS, now - IDLE_TIMEOUT_SECONDS)
        # Not quite in order: a new connection's time began before its first byte.
        read_limit = now - READ_TIMEOUT_SECONDS
        for connection in [entry for entry in self.partial if entry.state_since < read_limit]:
            connection.fail(REQUEST_TIMEOUT)
        linger_limit = now - LINGER_SECONDS
        for connection in [entry for entry in self.lingering if entry.state_since < linger_limit]:
            self.connection_closed(connection)
            connection.abort()

    def close_idle(self) -> None:
        """Close all connections that are between requests."""
        now = time.monotonic()
        self._close_waiting(now - FIRST_REQUEST_SECONDS, now)

    def abort_all(self) -> None:
        """Close all connections at once."""
        for connection in list(self.connections):
            connection.abort()

    def _close_waiting(self, silent_since: float, idle_since: float) -> None:
        """Close what has waited for a request since then, unless one waits in the kernel."""
        for state, since in ((self.silent, silent_since), (self.idle, idle_since)):
            for connection in [entry for entry in state if entry.state_since < since and not entry.unread]:
                self._close(connection)

    def _close(self, connection: ClientConnection) -> None:
        self.connection_closed(connection)
        connection.close()
