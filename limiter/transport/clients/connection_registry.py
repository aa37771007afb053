"""Tracks client connections by state, and closes them on timeouts or to stay within the limit."""

from __future__ import annotations

import time

from limiter.transport.clients.client_connection import (
    FAILED_FOR_PIPELINED_REQUESTS,
    MEMORY_EXHAUSTED,
    ClientConnection,
)
from limiter.transport.clients.client_response import OVERLOAD_RETRY_AFTER_MS, LocalResponse
from limiter.transport.request_memory import RequestMemory

# Maximum time until a request is received completely, counted from the opening of its connection, or from its
# first byte if the connection carried other requests before.
READ_TIMEOUT_SECONDS = 2.0
# A connection is closed after it has been without a request for this time.
IDLE_TIMEOUT_SECONDS = 20.0
# A connection is closed after its client has not read a response completely for this time.
SEND_TIMEOUT_SECONDS = 20.0
# A connection whose client has not read a response completely for this time may be closed for another one.
MIN_BLOCKED_SECONDS_BEFORE_SHEDDING = 1.0
# A shorter incomplete request is not failed to make room in memory: that would make little room, and most
# requests are shorter.
MIN_HELD_BYTES_BEFORE_SHEDDING = 4096
# After the response to invalid input, a connection stays open this long, so that the client can read it.
LINGER_TIMEOUT_SECONDS = 0.75
# While a shutdown closes idle connections, a connection that was opened less than this ago stays open, since
# its first request is assumed to be on its way.
FIRST_REQUEST_GRACE_SECONDS = 0.25

REQUEST_TIMEOUT = LocalResponse(408, b"request not received completely in time\n")
TOO_MANY_CONNECTIONS = LocalResponse(503, b"one connection too many\n", OVERLOAD_RETRY_AFTER_MS)

# Connections in one state and the monotonic time in seconds at which each entered it, in order of entry.
StateEntryTimes = dict[ClientConnection, float]


class ConnectionRegistry:
    """Holds all client connections; each of them is in at most one state.

    A connection that only waits for responses is in no state, because its requests have their own deadlines.

    Attributes:
        connections: All connections, in any state.
        new: Connections on which nothing has been received yet.
        reading: Connections on which a part of a request has been received, even if other requests are open.
            Their times are not strictly in order: a new connection keeps the time at which it was opened.
        idle: Connections between requests.
        blocked: Connections whose client does not read its response. Nothing is read from them.
        lingering: Connections whose response to invalid input was written. They are closed once the client
            has had time to read it.
    """

    def __init__(self, max_connections: int, memory: RequestMemory) -> None:
        """Create a registry without connections.

        Args:
            max_connections: Limit on the connections; those beyond it are overflow connections.
            memory: Counts the bytes that are held for all clients.
        """
        self._max_connections = max_connections
        self._memory = memory
        self.connections: set[ClientConnection] = set()
        self.new: StateEntryTimes = {}
        self.reading: StateEntryTimes = {}
        self.idle: StateEntryTimes = {}
        self.blocked: StateEntryTimes = {}
        self.lingering: StateEntryTimes = {}

    # Notifications of connections

    def connection_opened(self, connection: ClientConnection) -> bool:
        """Add a connection; return False for an overflow connection: no other can be shed for it.

        The request of an overflow connection may be on its way, so the connection is not closed but gets a
        response. Once it is idle, it is the next to be shed.
        """
        self.connections.add(connection)
        has_room = len(self.connections) <= self._max_connections or self.shed_connection()
        self.new[connection] = time.monotonic()
        return has_room

    def request_started(self, connection: ClientConnection) -> None:
        """Record that a part of a request has been received."""
        if connection not in self.reading:
            opened_at = self.new.get(connection)
            self._remove_from_states(connection)
            self.reading[connection] = time.monotonic() if opened_at is None else opened_at
        self.make_room(0)

    def held_bytes_changed(self, byte_count: int) -> None:
        """Record by how many bytes an incomplete request or an unread response has grown or shrunk."""
        self._memory.add(byte_count)

    def request_completed(self, connection: ClientConnection) -> None:
        """Record that a request has been received completely."""
        self._remove_from_states(connection)

    def connection_idle(self, connection: ClientConnection) -> None:
        """Record that no request is open, and no part of the next one has been received."""
        self._remove_from_states(connection)
        self.idle[connection] = time.monotonic()

    def response_blocked(self, connection: ClientConnection) -> None:
        """Record that the client does not read its response."""
        self._remove_from_states(connection)
        self.blocked[connection] = time.monotonic()

    def response_unblocked(self, connection: ClientConnection) -> None:
        """Record that the rest of the response was sent."""
        self.blocked.pop(connection, None)

    def connection_failed(self, connection: ClientConnection) -> None:
        """Keep a failed connection open while its client reads the response."""
        self._remove_from_states(connection)
        self.lingering[connection] = time.monotonic()

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a connection."""
        self.connections.discard(connection)
        self._remove_from_states(connection)

    def _remove_from_states(self, connection: ClientConnection) -> None:
        for state in (self.idle, self.new, self.reading, self.blocked, self.lingering):
            state.pop(connection, None)

    # Closing

    def make_room(self, byte_count: int) -> bool:
        """Make room in memory for further bytes: fail the incomplete requests that take most of it.

        Returns:
            Whether there is room; False if the complete requests and the unread responses take too much.
        """
        if self._memory.has_room_for(byte_count):
            return True
        for connection in sorted(self.reading, key=lambda each: each.held_bytes, reverse=True):
            if connection.held_bytes < MIN_HELD_BYTES_BEFORE_SHEDDING:
                break
            in_use = connection.has_unanswered_requests
            connection.fail(FAILED_FOR_PIPELINED_REQUESTS if in_use else MEMORY_EXHAUSTED)
            if self._memory.has_room_for(byte_count):
                return True
        return False

    def shed_connection(self) -> bool:
        """Close or fail the connection that is least in use; return False if none can be shed."""
        # New connections without input are shed before idle ones, since otherwise many new connections would
        # displace active clients.
        longest_lingering = next(iter(self.lingering), None)
        if longest_lingering is not None:
            self._close_connection(longest_lingering)
            return True
        for state in (self.new, self.idle):
            for connection in state:
                # An unread end of stream is no request: its client has gone.
                if not connection.has_unread_input or connection.has_disconnected():
                    self._close_connection(connection)
                    return True
        return self._abort_longest_blocked() or self._fail_longest_reading()

    def _abort_longest_blocked(self) -> bool:
        """Abort the connection whose client has not read its response for the longest time, if for long."""
        blocked_before = time.monotonic() - MIN_BLOCKED_SECONDS_BEFORE_SHEDDING
        for connection in _connections_entered_before(self.blocked, blocked_before):
            self._abort_connection(connection)
            return True
        return False

    def _fail_longest_reading(self) -> bool:
        """Fail the connection that has been receiving its request for the longest time.

        It is closed when the next connection is shed, or once its client has had time to read the response.
        """
        for connection in self.reading:
            is_in_use = connection.has_failed or connection.has_unanswered_requests
            if not is_in_use and not connection.has_unread_input:
                connection.fail(TOO_MANY_CONNECTIONS)
                return True
        return False

    def close_expired_connections(self) -> None:
        """Close the connections that have been in their state for longer than the timeout of the state."""
        now = time.monotonic()
        self._close_connections_without_input(self.new, now - READ_TIMEOUT_SECONDS)
        self._close_connections_without_input(self.idle, now - IDLE_TIMEOUT_SECONDS)
        for connection in _connections_entered_before(self.reading, now - READ_TIMEOUT_SECONDS):
            connection.fail(REQUEST_TIMEOUT)
        for connection in _connections_entered_before(self.blocked, now - SEND_TIMEOUT_SECONDS):
            self._abort_connection(connection)
        for connection in _connections_entered_before(self.lingering, now - LINGER_TIMEOUT_SECONDS):
            self._abort_connection(connection)

    def close_idle_connections(self) -> None:
        """Close all idle connections, and new ones whose first request did not arrive in time."""
        now = time.monotonic()
        self._close_connections_without_input(self.new, now - FIRST_REQUEST_GRACE_SECONDS)
        self._close_connections_without_input(self.idle, now)

    def abort_all(self) -> None:
        """Close all connections immediately."""
        for connection in list(self.connections):
            connection.abort()

    def _close_connections_without_input(self, state: StateEntryTimes, entered_before_seconds: float) -> None:
        """Close connections that entered the state before a time, unless the kernel holds unread input."""
        for connection in _connections_entered_before(state, entered_before_seconds):
            if not connection.has_unread_input:
                self._close_connection(connection)

    def _close_connection(self, connection: ClientConnection) -> None:
        self.connection_closed(connection)
        connection.close()

    def _abort_connection(self, connection: ClientConnection) -> None:
        self.connection_closed(connection)
        connection.abort()


def _connections_entered_before(
    state: StateEntryTimes, entered_before_seconds: float
) -> list[ClientConnection]:
    return [connection for connection, entered_at in state.items() if entered_at < entered_before_seconds]
