"""A limiter in the test's own event loop, clients whose bytes need no turn of it, and scenario helpers."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from typing import Any

from limiter.configuration.config import parse
from limiter.model.events import Endpoint, EndpointState
from limiter.transport.clients.listener import Listener
from limiter.transport.clock import Clock
from limiter.transport.discovery.endpoint_list import ListedEndpoint
from limiter.transport.driver.proxy import Proxy
from tests.support.client import Connection, Response, http_request
from tests.support.fake_server import Answer, FakeServer, ReceivedRequest
from tests.support.harness import LimiterHarness, wait_for_version
from tests.support.limiter_settings import settings


def configuration(**changes: Any) -> dict[str, Any]:
    """A configuration document; `changes` replace keys of it."""
    document = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "counter": "127.0.0.1:2",
        "seed": "8c1f",
        "limits": {"sockets": 256},
        "settings": settings(),
    }
    return {**document, **changes}


@asynccontextmanager
async def in_process_limiter(*servers: FakeServer) -> AsyncIterator[tuple[Proxy, Listener]]:
    """A limiter in this loop: it sees nothing that its sockets got until the test awaits."""
    endpoints = []
    for server in servers:
        await server.listen()
        endpoint = Endpoint(server.key.encode(), EndpointState.READY)
        endpoints.append(ListedEndpoint(endpoint, ("127.0.0.1", server.port)))
    clock = Clock()
    config = parse(configuration(seed="1"))
    proxy = Proxy(config, clock)
    proxy.servers_changed(endpoints, True)
    listener = Listener(config, proxy, clock)
    yield proxy, listener
    if listener.socket.fileno() >= 0:
        listener.stop_accepting()
    listener.abort()
    proxy.close()


class RawClient:
    """A client whose bytes are in the limiter's kernel as soon as they are sent, with no turn of the loop."""

    def __init__(self, listener: Listener) -> None:
        """Connect to the listener."""
        self.socket = socket.create_connection(listener.socket.getsockname())
        self.socket.setblocking(False)

    def send(self, data: bytes) -> None:
        """Write to the kernel."""
        self.socket.sendall(data)

    async def response(self) -> Response:
        """Return the next response.

        Raises:
            asyncio.IncompleteReadError: the limiter closed the connection before the response's end.
            ConnectionResetError: the limiter reset the connection.
        """
        reader = asyncio.StreamReader()
        reading = asyncio.create_task(Connection(reader, None).response())  # type: ignore[arg-type]
        loop = asyncio.get_running_loop()
        while not reading.done():
            if data := await loop.sock_recv(self.socket, 65536):
                reader.feed_data(data)
            else:
                reader.feed_eof()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        return await reading


class HeldResponses:
    """A server's answer that is held back until the test releases it."""

    def __init__(self) -> None:
        """Hold the responses to all requests from now on."""
        self.writers: list[asyncio.StreamWriter] = []

    async def __call__(self, _: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """Hold one response."""
        self.writers.append(writer)

    def release(self, status: int = 200) -> None:
        """Write all responses that are held, to the kernel at once."""
        for writer in self.writers:
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)
        self.writers.clear()


def respond_after(event: asyncio.Event, answer: Answer) -> Answer:
    """Give the answer once the event is set."""

    async def held(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await event.wait()
        await answer(request, writer)

    return held


def request_ids(received: Iterable[ReceivedRequest]) -> list[str]:
    """The clients' ids of requests as servers got them."""
    return [request.headers["x-request-id"] for request in received]


async def response_bodies(harness: LimiterHarness, request_class: str, count: int = 6) -> set[bytes]:
    """The distinct bodies of the responses to `count` requests, each of a connection of its own."""
    bodies = set()
    for number in range(count):
        response = await harness.send_request(http_request(request_class, request_id=str(number)))
        bodies.add(response.body)
    return bodies


async def list_is_read(harness: LimiterHarness) -> None:
    """Wait until the limiter asks for what follows discovery's present version."""
    await wait_for_version(harness, harness.discovery.version)
