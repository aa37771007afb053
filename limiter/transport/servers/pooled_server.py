"""The connections to all servers, and those of one server process."""

from __future__ import annotations

from limiter.configuration.addresses import Address
from limiter.model.events import Outcome
from limiter.transport.servers.attempt import Attempt
from limiter.transport.servers.reuse_history import ReuseHistory
from limiter.transport.servers.server_connection import ServerConnection


class ConnectionTable:
    """The open connections to all servers, which of them are idle, and what became of reused ones."""

    __slots__ = ("idle", "open", "reuse_history")

    def __init__(self) -> None:
        """Begin without connections and without a history of reuse."""
        self.open: set[ServerConnection] = set()
        # A dict for its order: the connection that has been idle longest comes first.
        self.idle: dict[ServerConnection, None] = {}
        self.reuse_history = ReuseHistory()

    def longest_idle(self) -> ServerConnection | None:
        """Return the connection that has been idle longest; None where none is idle."""
        return next(iter(self.idle), None)


class PooledServer:
    """One process of a server: its address, its idle connections, and the dials in progress."""

    __slots__ = (
        "_connections",
        "_dialling",
        "_idle",
        "_is_retired",
        "_last_received_seconds",
        "address",
        "started_at_ms",
    )

    def __init__(self, address: Address, started_at_ms: float, connections: ConnectionTable) -> None:
        """Describe a server process without connections.

        Args:
            address: where it listens.
            started_at_ms: Unix time at which it started.
            connections: the connections to all servers.
        """
        self.address = address
        self.started_at_ms = started_at_ms
        self._connections = connections
        self._idle: list[ServerConnection] = []  # The most recently used comes last.
        self._dialling: set[Attempt] = set()  # Attempts for which a connection is being opened.
        self._last_received_seconds = 0.0  # Monotonic time at which it last sent anything.
        self._is_retired = False

    # What happens to the server

    @property
    def is_retired(self) -> bool:
        """Whether it is no longer listed, or has been replaced by another process."""
        return self._is_retired

    def drain(self) -> None:
        """Close what is idle, and fail the attempts that wait for a dial."""
        self.close_idle()
        for attempt in list(self._dialling):
            attempt.cancel_unsent(Outcome.CONNECT_FAILED)

    def retire(self) -> None:
        """Keep no connection from now on; attempts that are written still get their responses."""
        self._is_retired = True

    def bytes_received(self, received_at_seconds: float) -> None:
        """Note that it has sent something, on any connection."""
        self._last_received_seconds = received_at_seconds

    def has_sent_since(self, moment_seconds: float) -> bool:
        """Return whether it has sent anything since a moment of the monotonic clock."""
        return self._last_received_seconds >= moment_seconds

    def record_reuse(self, idle_seconds: float, *, was_reset: bool) -> None:
        """Note how the reuse of a connection that had been idle for so long ended."""
        self._connections.reuse_history.record(idle_seconds, was_reset)

    # Dials

    def dial_begun(self, attempt: Attempt) -> None:
        """Note that a connection is being opened for an attempt."""
        self._dialling.add(attempt)

    def dial_finished(self, attempt: Attempt) -> None:
        """Note that the dial for an attempt has ended."""
        self._dialling.discard(attempt)

    # Connections

    def most_recently_used(self) -> list[ServerConnection]:
        """Return the idle connections, the most recently used first."""
        return self._idle[::-1]

    def keep_idle(self, connection: ServerConnection) -> None:
        """Keep an open connection for the next attempt."""
        self._idle.append(connection)
        self._connections.idle[connection] = None

    def take(self, connection: ServerConnection) -> None:
        """Take a connection out of those that are idle; without effect if it is not idle."""
        if connection in self._connections.idle:
            del self._connections.idle[connection]
            self._idle.remove(connection)

    def forget(self, connection: ServerConnection) -> None:
        """Drop a connection that is closed, or is being closed, from all lists."""
        self._connections.open.discard(connection)
        self.take(connection)

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in self._idle[:]:
            connection.close()
