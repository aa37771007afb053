"""Base of the fakes that a limiter under test connects to, which the test's event loop serves on loopback."""

from __future__ import annotations

import asyncio
import contextlib


class FakePeer:
    """Listens on loopback and counts its connections.

    Attributes:
        port: the port that it listens on; 0 before `listen` lets the system choose one.
        accepted_connections: number of connections that were accepted so far.
        closed_connections: number of those that have ended.
        writers: the streams to the limiter, one for each connection that was accepted since `listen`.
        listening_server: the listening server, from `listen` on.
    """

    def __init__(self) -> None:
        """Make a peer that does not listen yet."""
        self.port = 0
        self.accepted_connections = 0
        self.closed_connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.listening_server: asyncio.Server

    async def listen(self) -> None:
        """Start to accept connections, on the port that was set before or on a free one."""
        self.writers = []
        self.listening_server = await asyncio.start_server(self._connected, "127.0.0.1", self.port)
        self.port = self.listening_server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """The address in the form of configurations and endpoint lists, `host:port`."""
        return f"127.0.0.1:{self.port}"

    def reset_connections(self) -> None:
        """Reset all connections that were accepted since `listen`."""
        for writer in self.writers:
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, connection_number: int
    ) -> None:
        """Serve one connection until the limiter closes it.

        Args:
            reader: the stream from the limiter.
            writer: the stream to the limiter.
            connection_number: number of the connection, the first one's is 1.
        """
        raise NotImplementedError

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted_connections += 1
        self.writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await self.serve(reader, writer, self.accepted_connections)
        self.closed_connections += 1
        writer.close()
