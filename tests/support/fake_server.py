"""Fake servers, which record the requests that the limiter forwards and respond as the test specifies."""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.support.fake_service import FakeService
from tests.support.http_message import parse_head
from tests.support.waiting import WAIT_TIMEOUT_SECONDS, wait_until

_TCP_SYN_SENT = "02"  # State, in /proc/net/tcp, of a connection not yet established.


@dataclass(frozen=True)
class ReceivedRequest:
    """A request as a server received it.

    Attributes:
        request_line: the request line.
        headers: header values under their names in lower case.
        body: the body, without its HTTP framing.
        connection_number: number of the connection on which it arrived, counted from 1 for each server.
    """

    request_line: str
    headers: dict[str, str]
    body: bytes
    connection_number: int


Responder = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]
"""Writes the response to a request, or leaves the request without a response."""


def respond_with(status: int, body: bytes = b"", *headers: str) -> Responder:
    """Return a responder that sends this status, body and additional header lines."""

    async def respond(_request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
        writer.write("\r\n".join(lines).encode() + body)

    return respond


def respond_raw(data: bytes) -> Responder:
    """Return a responder that writes exactly these bytes."""

    async def respond(_request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(data)

    return respond


def respond_after(event: asyncio.Event, responder: Responder) -> Responder:
    """Return a responder that waits for the event before it responds."""

    async def respond(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await event.wait()
        await responder(request, writer)

    return respond


async def never_respond(_request: ReceivedRequest, _writer: asyncio.StreamWriter) -> None:
    """Send no response while the test runs."""
    await asyncio.sleep(WAIT_TIMEOUT_SECONDS)


async def reset_connection(_request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Reset the connection without a response."""
    writer.transport.abort()


class HeldResponses:
    """A responder that holds back all responses until the test calls `release`.

    Attributes:
        writers: the streams to the limiter, one for each held response.
    """

    def __init__(self) -> None:
        """Create a responder without held responses."""
        self.writers: list[asyncio.StreamWriter] = []

    async def __call__(self, _request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """Hold back the response to one request."""
        self.writers.append(writer)

    def release(self, status: int = 200) -> None:
        """Write all held responses with this status.

        On return, the kernel holds them in the receive buffers of the limiter's sockets.
        """
        for writer in self.writers:
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)
        self.writers.clear()


def list_request_ids(received: Iterable[ReceivedRequest]) -> list[str]:
    """Return the ids that the clients gave these requests, in the same order."""
    return [request.headers["x-request-id"] for request in received]


class FakeServer(FakeService):
    """A fake server of the API that the limiter protects.

    Attributes:
        endpoint_id: its id in endpoint lists.
        zone: its zone in endpoint lists.
        received_requests: the requests received so far.
        responder: writes its responses; by default, status 200 with a body that names the server.
    """

    def __init__(self, endpoint_id: str, zone: str = "a") -> None:
        """Create a server that does not listen yet.

        Args:
            endpoint_id: its id in endpoint lists.
            zone: its zone in endpoint lists.
        """
        super().__init__()
        self.endpoint_id = endpoint_id
        self.zone = zone
        self.received_requests: list[ReceivedRequest] = []
        self.responder: Responder = respond_with(200, f"from {endpoint_id}".encode())

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, connection_number: int
    ) -> None:
        """Record the requests of one connection and respond to them in the order received."""
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"(?i)content-length: (\d+)", head)
            body = await reader.readexactly(int(length[1])) if length else b""
            request = ReceivedRequest(*parse_head(head), body, connection_number)
            self.received_requests.append(request)
            await self.responder(request, writer)

    def make_list_entry(self, state: str = "active", **changes: Any) -> dict[str, Any]:
        """Return this server's entry in an endpoint list.

        Args:
            state: its lifecycle state.
            changes: values that replace the default ones; by default, the server started long ago.
        """
        entry = {
            "instanceId": self.endpoint_id,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": "m",
            "cell": 0,
            "lifecycle": state,
            "weight": 1.0,
            "startedAtMs": 0,
        }
        return {**entry, **changes}


class SlowAcceptServer(FakeServer):
    """A server to which connections are not established until `accept_connections` is called.

    Until then, its listen backlog is full.
    """

    async def listen(self) -> None:
        """Listen with the shortest possible backlog, and fill it with one connection."""
        self.writers = []
        self.listening_socket = socket.socket()
        self.listening_socket.bind(("127.0.0.1", 0))
        self.listening_socket.listen(0)
        self.port = self.listening_socket.getsockname()[1]
        self.backlog_filling_socket = socket.socket()
        self.backlog_filling_socket.connect(("127.0.0.1", self.port))

    def count_pending_connections(self) -> int:
        """Return how many connections to this server the kernel lists as not yet established."""
        address = f"0100007F:{self.port:04X}"
        rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
        return sum(row[2] == address and row[3] == _TCP_SYN_SENT for row in rows)

    async def accept_connections(self) -> None:
        """Accept connections from now on, and wait until no connection is pending."""
        self.listening_socket.setblocking(False)
        self.listening_socket.listen(16)
        self.listening_server = await asyncio.start_server(
            self._handle_connection, sock=self.listening_socket
        )
        self.backlog_filling_socket.close()
        await wait_until(lambda: not self.count_pending_connections(), "no connection attempt is pending")
