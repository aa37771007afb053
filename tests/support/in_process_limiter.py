"""A limiter that runs in the test's event loop, and a client that sends without the event loop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from limiter.configuration.config_parser import parse_config
from limiter.model.events import Endpoint, EndpointState
from limiter.transport.clients.listener import Listener
from limiter.transport.clock import Clock
from limiter.transport.discovery.endpoint_list import ListedEndpoint
from limiter.transport.driver.proxy import Proxy
from tests.support.client import Connection, Response
from tests.support.fake_server import FakeServer
from tests.support.limiter_settings import make_raw_config


@asynccontextmanager
async def in_process_limiter(
    *servers: FakeServer, **config_changes: Any
) -> AsyncIterator[tuple[Proxy, Listener]]:
    """Run a limiter in the running event loop; it reads from its sockets only while the test awaits.

    Args:
        servers: the servers in its endpoint list; they are started here.
        config_changes: top-level keys of the configuration that are added or replaced.
    """
    endpoints = []
    for server in servers:
        await server.listen()
        endpoint = Endpoint(server.endpoint_id.encode(), EndpointState.READY)
        endpoints.append(ListedEndpoint(endpoint, ("127.0.0.1", server.port)))
    clock = Clock()
    config = parse_config(make_raw_config(seed="1", **config_changes))
    proxy = Proxy(config, clock)
    proxy.apply_endpoint_list(endpoints, True)
    listener = Listener(config, proxy, clock)
    yield proxy, listener
    if listener.socket.fileno() >= 0:
        listener.stop_accepting()
    listener.abort()
    proxy.close()


class RawClient:
    """A client that writes directly to its socket.

    Its bytes are in the limiter's receive buffer before the event loop runs again.

    Attributes:
        socket: its connected, non-blocking socket.
    """

    def __init__(self, listener: Listener) -> None:
        """Connect to the listener."""
        self.socket = socket.create_connection(listener.socket.getsockname())
        self.socket.setblocking(False)

    def send(self, data: bytes) -> None:
        """Send these bytes, which must fit into the socket buffers of both ends."""
        self.socket.sendall(data)

    async def read_response(self) -> Response:
        """Read the next response and return it.

        Raises:
            asyncio.IncompleteReadError: the limiter closed the connection before the response was complete.
            ConnectionResetError: the limiter reset the connection.
        """
        reader = asyncio.StreamReader()
        reading = asyncio.create_task(Connection(reader, None).read_response())  # type: ignore[arg-type]
        loop = asyncio.get_running_loop()
        while not reading.done():
            if data := await loop.sock_recv(self.socket, 65536):
                reader.feed_data(data)
            else:
                reader.feed_eof()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        return await reading
