"""Fake servers: they record the requests that the limiter forwards, and respond as the test says."""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.support.fake_service import FakePeer
from tests.support.http_message import parse_head
from tests.support.waiting import WAIT_TIMEOUT_SECONDS, wait_until

_TCP_SYN_SENT = "02"  # The state of an unestablished connection in /proc/net/tcp.


@dataclass(frozen=True)
class ReceivedRequest:
    """A request as a server received it.

    Attributes:
        request_line: the request line.
        headers: header values under their names in lower case.
        body: the body without its framing.
        connection_number: number of the server's connection that it came on, the first one's is 1.
    """

    request_line: str
    headers: dict[str, str]
    body: bytes
    connection_number: int


Responder = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]
"""Writes a response to a request, or does without."""


def respond_with(status: int, body: bytes = b"", *headers: str) -> Responder:
    """Return a responder that responds with this status, body and further header lines."""

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
    """Reset the connection in place of a response."""
    writer.transport.abort()


class HeldResponses:
    """A responder that holds all responses back until the test releases them.

    Attributes:
        writers: the streams to the limiter, one for each response that is held.
    """

    def __init__(self) -> None:
        """Hold the responses to all requests from now on."""
        self.writers: list[asyncio.StreamWriter] = []

    async def __call__(self, _request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """Hold the response to one request."""
        self.writers.append(writer)

    def release(self, status: int = 200) -> None:
        """Write all held responses, with this status; they are in the limiter's kernel on return."""
        for writer in self.writers:
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)
        self.writers.clear()


def list_request_ids(received: Iterable[ReceivedRequest]) -> list[str]:
    """Return the clients' ids of requests as servers received them."""
    return [request.headers["x-request-id"] for request in received]


class FakeServer(FakePeer):
    """A server of the shared API.

    Attributes:
        key: its name in endpoint lists.
        zone: the zone that it is listed in.
        received_requests: the requests that it received so far.
        responder: writes its responses; by default status 200 with the server's name.
    """

    def __init__(self, key: str, zone: str = "a") -> None:
        """Make a server that does not listen yet.

        Args:
            key: its name in endpoint lists.
            zone: the zone that it is listed in.
        """
        super().__init__()
        self.key = key
        self.zone = zone
        self.received_requests: list[ReceivedRequest] = []
        self.responder: Responder = respond_with(200, f"from {key}".encode())

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, connection_number: int
    ) -> None:
        """Record each request of the connection and respond to it."""
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"(?i)content-length: (\d+)", head)
            body = await reader.readexactly(int(length[1])) if length else b""
            request = ReceivedRequest(*parse_head(head), body, connection_number)
            self.received_requests.append(request)
            await self.responder(request, writer)

    def make_list_entry(self, state: str = "active", **changes: Any) -> dict[str, Any]:
        """Return this server's entry of an endpoint list.

        Args:
            state: its lifecycle state.
            changes: values that replace those of a server that started long ago.
        """
        entry = {
            "instanceId": self.key,
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
    """A server that completes no connection until `open`, because its listen backlog is full until then."""

    async def listen(self) -> None:
        """Listen with the shortest backlog, and fill that."""
        self.writers = []
        self.listening = socket.socket()
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen(0)
        self.port = self.listening.getsockname()[1]
        self.filler = socket.socket()
        self.filler.connect(("127.0.0.1", self.port))

    def count_pending_connections(self) -> int:
        """Return how many connections to here are not established yet, by the kernel's table."""
        address = f"0100007F:{self.port:04X}"
        rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
        return sum(row[2] == address and row[3] == _TCP_SYN_SENT for row in rows)

    async def accept_connections(self) -> None:
        """Accept connections from now on; return once none is pending any more."""
        self.listening.setblocking(False)
        self.listening.listen(16)
        self.listening_server = await asyncio.start_server(self._connected, sock=self.listening)
        self.filler.close()
        await wait_until(lambda: not self.count_pending_connections(), "every dial has succeeded or ended")
