"""Base class of the fake services that a limiter connects to, which run in the test's event loop."""

from __future__ import annotations

import asyncio
import contextlib


class FakeService:
    """A TCP service that listens on loopback and counts its connections.

    Attributes:
        port: the port that it listens on; if it is 0, `listen` sets it to a free port.
        accepted_connections: number of connections accepted so far.
        closed_connections: number of accepted connections that have ended.
        writers: the streams to the limiter, one for each connection accepted since the last call of `listen`.
        listening_server: the asyncio server, set by `listen`.
    """

    def __init__(self) -> None:
        """Create a service that does not listen yet."""
        self.port = 0
        self.accepted_connections = 0
        self.closed_connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.listening_server: asyncio.Server

    async def listen(self) -> None:
        """Start to accept connections on `port`, or on a free port if `port` is 0."""
        self.writers = []
        self.listening_server = await asyncio.start_server(self._handle_connection, "127.0.0.1", self.port)
        self.port = self.listening_server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """The address as `host:port`, the form that configurations and endpoint lists use."""
        return f"127.0.0.1:{self.port}"

    def reset_connections(self) -> None:
        """Reset all connections accepted since the last call of `listen`."""
        for writer in self.writers:
            writer.transport.abort()

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, connection_number: int
    ) -> None:
        """Serve one connection until the limiter closes it.

        Args:
            reader: the stream from the limiter.
            writer: the stream to the limiter.
            connection_number: number of the connection, counted from 1.
        """
        raise NotImplementedError

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted_connections += 1
        self.writers.append(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self.serve_connection(reader, writer, self.accepted_connections)
        finally:  # Also if the event loop ends before the connection.
            self.closed_connections += 1
            writer.close()
