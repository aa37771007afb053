"""Connections of the emulated peers: bytes are counted, and HTTP requests are read one by one."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from typing import cast

CONTENT_LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")
HEAD_END = b"\r\n\r\n"
# Bytes of a response that are written at once.
WRITE_BYTES = 65_536
# Connections that the kernel queues for a listening socket.
LISTEN_BACKLOG = 1024


class Traffic:
    """Payload bytes between the limiter under test and one kind of peer, as the limiter sees them."""

    def __init__(self) -> None:
        """Set all counts to 0."""
        self.bytes_in = 0
        self.bytes_out = 0
        self.connections = 0

    def connection_opened(self) -> None:
        """Count a connection of the limiter."""
        self.connections += 1

    def sent(self, data: bytes | memoryview) -> None:
        """Count bytes that a peer sends to the limiter."""
        self.bytes_in += len(data)

    def received(self, data: bytes) -> None:
        """Count bytes that a peer receives from the limiter."""
        self.bytes_out += len(data)


class CountedProtocol(asyncio.Protocol):
    """One connection whose bytes are counted."""

    def __init__(self, traffic: Traffic) -> None:
        """Take the counts that this connection adds to."""
        self.traffic = traffic
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection as open, and keep its transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.traffic.connection_opened()

    def connection_lost(self, _error: Exception | None) -> None:
        """Drop the transport, so that later writes do nothing."""
        self.transport = None

    def write(self, data: bytes | memoryview) -> None:
        """Write to the limiter, unless the connection is closed."""
        if self.transport is not None:
            self.traffic.sent(data)
            self.transport.write(data)


class HttpProtocol(CountedProtocol):
    """One connection on which requests come one by one; a subclass responds to each, at once or later."""

    def __init__(self, traffic: Traffic) -> None:
        """Wait for the first request."""
        super().__init__(traffic)
        self._received = b""
        self._unwritten = memoryview(b"")  # the rest of a long response
        self._is_paused = False

    def pause_writing(self) -> None:
        """Wait until the limiter reads."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Continue with the rest of the response."""
        self._is_paused = False
        self._write_pieces()

    def data_received(self, data: bytes) -> None:
        """Hand on each request that is complete with its body."""
        self.traffic.received(data)
        self._received += data
        while (head_length := self._received.find(HEAD_END)) >= 0:
            head = self._received[:head_length]
            request_length = head_length + len(HEAD_END) + content_length(head)
            if len(self._received) < request_length:
                return
            self._received = self._received[request_length:]
            self.request_received(head)

    def request_received(self, head: bytes) -> None:
        """A request is complete; `head` ends before the empty line."""
        raise NotImplementedError

    def respond(self, status: int, body: bytes) -> None:
        """Send the response to the request that was received last."""
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        self._unwritten = memoryview(head + body)
        self._write_pieces()

    def _write_pieces(self) -> None:
        """Write the response in pieces as the peer reads; bytes held by the kernel are counted too."""
        while self._unwritten and not self._is_paused and self.transport is not None:
            piece = self._unwritten[:WRITE_BYTES]
            self._unwritten = self._unwritten[WRITE_BYTES:]
            self.write(piece)


def content_length(head: bytes) -> int:
    """Length of the body that the head of a request or a response announces, in bytes."""
    match = CONTENT_LENGTH.search(head)
    return int(match[1]) if match else 0


async def listen(protocol_factory: Callable[[], asyncio.Protocol]) -> tuple[asyncio.Server, str]:
    """Listen on a free port of loopback; return the server and its address, `host:port`."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(protocol_factory, "127.0.0.1", 0, backlog=LISTEN_BACKLOG)
    return server, "{}:{}".format(*server.sockets[0].getsockname()[:2])
