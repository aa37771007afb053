"""Emulation of the servers, which speak HTTP on a few sockets."""

from __future__ import annotations

import asyncio
import re
import time

from scale.process.traffic import HttpProtocol, Traffic, listen

REQUEST_ID = re.compile(rb"(?i)\r\nx-request-id: *([0-9a-f]+)")
RESPONSE_BODY = b'{"height_m":1.4,"period_s":7.1,"wind_ms":6.2}' * 4


class Servers:
    """All servers. They share a few sockets, and respond to each request after the same service time."""

    def __init__(self, service_time_ms: float) -> None:
        """Create servers that respond to each request after `service_time_ms`."""
        self.traffic = Traffic()
        # Time from the last byte of a request to its response, by request id.
        self.service_times_s: dict[bytes, float] = {}
        self.response_count = 0
        self.requests_without_id = 0
        self.addresses: list[str] = []
        self._service_time_s = service_time_ms / 1000
        self._listeners: list[asyncio.Server] = []

    async def start(self, listener_count: int) -> None:
        """Listen on `listener_count` sockets and store their addresses in `addresses`."""
        for _ in range(listener_count):
            listener, address = await listen(lambda: _ServerConnection(self))
            self._listeners.append(listener)
            self.addresses.append(address)

    def close(self) -> None:
        """Stop listening. Open connections are not closed."""
        for listener in self._listeners:
            listener.close()

    def request_received(self, connection: HttpProtocol, head: bytes) -> None:
        """Respond to a request after the service time, or with 404 immediately if the request has no id."""
        request_id = REQUEST_ID.search(head)
        if request_id is None:
            self.requests_without_id += 1
            connection.respond(404, b"")
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self._service_time_s, self._respond, connection, request_id[1], time.monotonic())

    def _respond(self, connection: HttpProtocol, request_id: bytes, received_at: float) -> None:
        self.response_count += 1
        self.service_times_s[request_id] = time.monotonic() - received_at
        connection.respond(200, RESPONSE_BODY)


class _ServerConnection(HttpProtocol):
    def __init__(self, servers: Servers) -> None:
        super().__init__(servers.traffic)
        self._servers = servers

    def request_received(self, head: bytes) -> None:
        self._servers.request_received(self, head)
