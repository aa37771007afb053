"""Bookkeeping of the connections to all servers, and of those to a single server process."""

from __future__ import annotations

from limiter.configuration.addresses import Address
from limiter.model.events import Outcome
from limiter.transport.servers.attempt import Attempt
from limiter.transport.servers.reuse_history import ReuseHistory
from limiter.transport.servers.server_connection import ServerConnection


class ConnectionTable:
    """The open and the idle connections to all servers, and the history of connection reuse."""

    __slots__ = ("idle", "open", "reuse_history")

    def __init__(self) -> None:
        """Create a table without connections and with an empty reuse history."""
        self.open: set[ServerConnection] = set()
        # A dict used as an ordered set: the connection that has been idle longest comes first.
        self.idle: dict[ServerConnection, None] = {}
        self.reuse_history = ReuseHistory()

    def find_longest_idle(self) -> ServerConnection | None:
        """Return the connection that has been idle longest, or None if no connection is idle."""
        return next(iter(self.idle), None)


class PooledServer:
    """A single process of a server: its address, its idle connections, and the dials in progress."""

    __slots__ = (
        "_connection_table",
        "_dialing_attempts",
        "_idle_connections",
        "_is_retired",
        "_last_received_seconds",
        "address",
        "started_at_ms",
    )

    def __init__(self, address: Address, started_at_ms: float, connection_table: ConnectionTable) -> None:
        """Create a server process without connections.

        Args:
            address: Address on which the server listens.
            started_at_ms: Unix time at which the process started, in milliseconds.
            connection_table: The connections to all servers.
        """
        self.address = address
        self.started_at_ms = started_at_ms
        self._connection_table = connection_table
        self._idle_connections: list[ServerConnection] = []  # In order of use, the most recent last.
        self._dialing_attempts: set[Attempt] = set()  # Attempts that wait for a dial.
        self._last_received_seconds = 0.0  # Monotonic time of the last bytes received.
        self._is_retired = False

    # Server state

    @property
    def is_retired(self) -> bool:
        """Whether the server has left the endpoint list, or another process has replaced this one."""
        return self._is_retired

    def drain(self) -> None:
        """Close the idle connections, and fail the attempts that wait for a dial."""
        self.close_idle_connections()
        for attempt in list(self._dialing_attempts):
            attempt.cancel_unsent(Outcome.CONNECT_FAILED)

    def retire(self) -> None:
        """Stop keeping connections for reuse; attempts in flight still get their responses."""
        self._is_retired = True

    def record_bytes_received(self, received_at_seconds: float) -> None:
        """Record the time at which bytes arrived from this server, on any connection."""
        self._last_received_seconds = received_at_seconds

    def has_sent_since(self, since_seconds: float) -> bool:
        """Return whether bytes have arrived from this server since a monotonic time."""
        return self._last_received_seconds >= since_seconds

    def record_reuse(self, idle_seconds: float, *, was_reset: bool) -> None:
        """Record whether a connection reused after `idle_seconds` was reset."""
        self._connection_table.reuse_history.record(idle_seconds, was_reset)

    # Dials

    def record_dial_start(self, attempt: Attempt) -> None:
        """Record that a connection is being opened for an attempt."""
        self._dialing_attempts.add(attempt)

    def record_dial_end(self, attempt: Attempt) -> None:
        """Record that the dial for an attempt has ended."""
        self._dialing_attempts.discard(attempt)

    # Connections

    def list_idle_by_recency(self) -> list[ServerConnection]:
        """Return the idle connections, most recently used first."""
        return self._idle_connections[::-1]

    def add_idle_connection(self, connection: ServerConnection) -> None:
        """Keep an open connection for later attempts."""
        self._idle_connections.append(connection)
        self._connection_table.idle[connection] = None

    def remove_idle_connection(self, connection: ServerConnection) -> None:
        """Remove a connection from the idle ones; has no effect if it is not idle."""
        if connection in self._connection_table.idle:
            del self._connection_table.idle[connection]
            self._idle_connections.remove(connection)

    def remove_connection(self, connection: ServerConnection) -> None:
        """Remove a closed or closing connection from the open and the idle connections."""
        self._connection_table.open.discard(connection)
        self.remove_idle_connection(connection)

    def close_idle_connections(self) -> None:
        """Close the idle connections to this server."""
        for connection in self._idle_connections[:]:
            connection.close()
