"""Connections of the emulated peers, with byte counts and a simple HTTP server."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from typing import cast

CONTENT_LENGTH_HEADER = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")
HEAD_END = b"\r\n\r\n"
# Maximum number of bytes of a response to write in one call.
MAX_WRITE_BYTES = 65_536
# Number of connections that the kernel queues for a listening socket.
LISTEN_BACKLOG = 1024


class Traffic:
    """Payload bytes between the limiter under test and one kind of peer.

    Attributes:
        bytes_to_limiter: bytes sent to the limiter.
        bytes_from_limiter: bytes sent by the limiter.
        connections: number of connections that the limiter has opened.
    """

    def __init__(self) -> None:
        """Create counts of 0."""
        self.bytes_to_limiter = 0
        self.bytes_from_limiter = 0
        self.connections = 0

    def count_connection(self) -> None:
        """Count a connection that the limiter opened."""
        self.connections += 1

    def count_bytes_to_limiter(self, data: bytes | memoryview) -> None:
        """Count bytes that a peer sends to the limiter."""
        self.bytes_to_limiter += len(data)

    def count_bytes_from_limiter(self, data: bytes) -> None:
        """Count bytes that a peer receives from the limiter."""
        self.bytes_from_limiter += len(data)


class CountedProtocol(asyncio.Protocol):
    """One connection from the limiter whose bytes are counted."""

    def __init__(self, traffic: Traffic) -> None:
        """Create a connection that adds its bytes to `traffic`."""
        self.traffic = traffic
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection and store its transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.traffic.count_connection()

    def connection_lost(self, _error: Exception | None) -> None:
        """Discard the transport, so that later writes have no effect."""
        self.transport = None

    def write(self, data: bytes | memoryview) -> None:
        """Write to the limiter, unless the connection is closed."""
        if self.transport is not None:
            self.traffic.count_bytes_to_limiter(data)
            self.transport.write(data)


class HttpProtocol(CountedProtocol):
    """One HTTP connection, without pipelining. A subclass responds to each request, immediately or later."""

    def __init__(self, traffic: Traffic) -> None:
        """Create a connection that waits for its first request."""
        super().__init__(traffic)
        self._received = b""
        self._unwritten_response = memoryview(b"")  # the part of the response that has not been written
        self._is_paused = False

    def pause_writing(self) -> None:
        """Pause the response until the limiter has read enough of it."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Write the rest of the response."""
        self._is_paused = False
        self._continue_response()

    def data_received(self, data: bytes) -> None:
        """Pass each request to `request_received` once it is complete with its body."""
        self.traffic.count_bytes_from_limiter(data)
        self._received += data
        while (head_length := self._received.find(HEAD_END)) >= 0:
            head = self._received[:head_length]
            request_length = head_length + len(HEAD_END) + parse_content_length(head)
            if len(self._received) < request_length:
                return
            self._received = self._received[request_length:]
            self.request_received(head)

    def request_received(self, head: bytes) -> None:
        """Handle a complete request. `head` does not include the empty line at its end."""
        raise NotImplementedError

    def respond(self, status: int, body: bytes) -> None:
        """Send the response to the request that was received last."""
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        self._unwritten_response = memoryview(head + body)
        self._continue_response()

    def _continue_response(self) -> None:
        """Write the response in pieces until writing is paused. Bytes in kernel buffers count as sent."""
        while self._unwritten_response and not self._is_paused and self.transport is not None:
            piece = self._unwritten_response[:MAX_WRITE_BYTES]
            self._unwritten_response = self._unwritten_response[MAX_WRITE_BYTES:]
            self.write(piece)


def parse_content_length(head: bytes) -> int:
    """Return the length of the body in bytes that the head of a request or a response states; 0 if none."""
    match = CONTENT_LENGTH_HEADER.search(head)
    return int(match[1]) if match else 0


async def listen(protocol_factory: Callable[[], asyncio.Protocol]) -> tuple[asyncio.Server, str]:
    """Listen on a free port of the loopback address; return the server and its address, `host:port`."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(protocol_factory, "127.0.0.1", 0, backlog=LISTEN_BACKLOG)
    return server, "{}:{}".format(*server.sockets[0].getsockname()[:2])
