"""The client connections by state: which are closed, and when, so that they stay within their number."""

from __future__ import annotations

import time

from limiter.transport.clients.client_connection import OVERLOAD_RETRY_AFTER_MS, ClientConnection
from limiter.transport.clients.client_response import LocalResponse

# A request must be complete so long after its connection was opened, or after its first byte on a connection
# that carried others before.
READ_TIMEOUT_SECONDS = 2.0
# A connection without a request is closed after this time.
IDLE_TIMEOUT_SECONDS = 20.0
# A connection with the response to bad input is kept for so long, so that the client can read the response.
LINGER_SECONDS = 0.75
# While a shutdown closes idle connections, the first request of a connection that was opened less than this
# ago is taken to be on its way.
FIRST_REQUEST_SECONDS = 0.25

REQUEST_TIMEOUT = LocalResponse(408, b"request not whole in time\n")
TOO_MANY_CONNECTIONS = LocalResponse(503, b"one connection too many\n", OVERLOAD_RETRY_AFTER_MS)

# Connections in one state, with the time at which they entered it, in monotonic seconds; the earliest first.
EntryTimes = dict[ClientConnection, float]


class ConnectionRegistry:
    """All client connections; each of them is in one state at most.

    A connection with a request in hand is in none, because the request has its own deadline.

    Attributes:
        connections: All of them, whatever their state.
        new: Nothing has been received on them yet.
        reading: Part of a request has been received, whatever else is in hand. Their times are not quite in
            order: that of a new connection goes on from its opening.
        idle: Between requests.
        lingering: The response to bad input was written; they are closed once the client could read it.
    """

    def __init__(self, max_connections: int) -> None:
        """Keep up to `max_connections`; those beyond are overflow."""
        self._max_connections = max_connections
        self.connections: set[ClientConnection] = set()
        self.new: EntryTimes = {}
        self.reading: EntryTimes = {}
        self.idle: EntryTimes = {}
        self.lingering: EntryTimes = {}

    # Notifications of connections

    def connection_opened(self, connection: ClientConnection) -> bool:
        """Add a connection; return False if it is overflow, because no other can be shed for it.

        Its request may be under way, so an overflow connection is not closed but gets a response. Once idle,
        it is the next to be shed.
        """
        self.connections.add(connection)
        has_room = len(self.connections) <= self._max_connections or self.shed()
        self.new[connection] = time.monotonic()
        return has_room

    def request_started(self, connection: ClientConnection) -> None:
        """Note that part of a request has been received."""
        if connection in self.reading:
            return
        opened_at = self.new.get(connection)
        self._leave_state(connection)
        self.reading[connection] = time.monotonic() if opened_at is None else opened_at

    def request_completed(self, connection: ClientConnection) -> None:
        """Note that a request has been read to its end."""
        self._leave_state(connection)

    def connection_idle(self, connection: ClientConnection) -> None:
        """Note that no request is in hand; the next one may be partly read already."""
        if connection not in self.reading:
            self._leave_state(connection)
            self.idle[connection] = time.monotonic()

    def connection_failed(self, connection: ClientConnection) -> None:
        """Keep a failed connection while its client reads the response."""
        self._leave_state(connection)
        self.lingering[connection] = time.monotonic()

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a connection."""
        self.connections.discard(connection)
        self._leave_state(connection)

    def _leave_state(self, connection: ClientConnection) -> None:
        for state in (self.idle, self.new, self.reading, self.lingering):
            state.pop(connection, None)

    # Closing

    def shed(self) -> bool:
        """Close the connection that does least for its descriptor; return False if all are at work."""
        # Those without any input go before idle ones, or many of them would displace working clients.
        longest_lingering = next(iter(self.lingering), None)
        if longest_lingering is not None:
            self._close(longest_lingering)
            return True
        for state in (self.new, self.idle):
            for connection in state:
                if not connection.has_unread_input:
                    self._close(connection)
                    return True
        return self._shed_reading()

    def _shed_reading(self) -> bool:
        """Fail the connection that has been reading its request the longest.

        It is closed when the next one is shed, or after its client has read the response.
        """
        for connection in self.reading:
            is_at_work = connection.has_failed or connection.has_unanswered_requests
            if not is_at_work and not connection.has_unread_input:
                connection.fail(TOO_MANY_CONNECTIONS)
                return True
        return False

    def close_expired_connections(self) -> None:
        """Close the connections that have been in their state for too long."""
        now = time.monotonic()
        self._close_without_input(self.new, now - READ_TIMEOUT_SECONDS)
        self._close_without_input(self.idle, now - IDLE_TIMEOUT_SECONDS)
        for connection in _entered_before(self.reading, now - READ_TIMEOUT_SECONDS):
            connection.fail(REQUEST_TIMEOUT)
        for connection in _entered_before(self.lingering, now - LINGER_SECONDS):
            self.connection_closed(connection)
            connection.abort()

    def close_idle(self) -> None:
        """Close all connections that are between requests, and new ones whose request does not come."""
        now = time.monotonic()
        self._close_without_input(self.new, now - FIRST_REQUEST_SECONDS)
        self._close_without_input(self.idle, now)

    def abort_all(self) -> None:
        """Close all connections at once."""
        for connection in list(self.connections):
            connection.abort()

    def _close_without_input(self, state: EntryTimes, limit: float) -> None:
        """Close what entered the state before `limit`, unless a request waits unread in the kernel."""
        for connection in _entered_before(state, limit):
            if not connection.has_unread_input:
                self._close(connection)

    def _close(self, connection: ClientConnection) -> None:
        self.connection_closed(connection)
        connection.close()


def _entered_before(state: EntryTimes, limit: float) -> list[ClientConnection]:
    return [connection for connection, entered_at in state.items() if entered_at < limit]
