"""Emulation of the clients of the limiter under test, over HTTP."""

from __future__ import annotations

import asyncio
import time
from collections import Counter as Tally
from random import Random
from typing import cast

from scale.process.fleet import MAX_LIMITER_SET_SIZE, PLAN_NAMES, get_plan_index
from scale.process.servers import Servers
from scale.process.traffic import HEAD_END, parse_content_length

# Fraction of the requests that are orders, which must not run twice.
ORDER_FRACTION = 0.47
ORDER_BODY = b'{"station":"41008","wave_m":3.0}'


class Clients:
    """Clients that send each request on an idle connection, or on a new one if no connection is idle."""

    def __init__(
        self,
        address: tuple[str, int],
        limiter_count: int,
        customers: list[int],
        servers: Servers,
        rng: Random,
    ) -> None:
        """Create clients without connections.

        Args:
            address: address of the limiter under test.
            limiter_count: number of limiters in the fleet.
            customers: ids of the customers that send requests.
            servers: the emulated servers, which measure their own service times.
            rng: source of all random values.
        """
        self.requests_sent = 0
        # Requests without a response, because the connection could not be established or was closed early.
        self.requests_failed = 0
        self.responses_by_status: Tally[int] = Tally()
        # For each served request, the latency that the client measured less the service time of the server.
        self.added_latencies_s: list[float] = []
        self._address = address
        self._limiter_count = limiter_count
        self._customers = customers
        self._servers = servers
        self._rng = rng
        self._request_ended = asyncio.Event()
        self._idle_connections: list[_ClientConnection] = []
        self._open_connections: set[_ClientConnection] = set()
        self._connect_tasks: set[asyncio.Task[None]] = set()

    def send_request(self) -> None:
        """Send a request of a random customer."""
        self.requests_sent += 1
        customer = self._rng.choice(self._customers)
        request_id = f"{self._rng.getrandbits(64):016x}"
        is_order = self._rng.random() < ORDER_FRACTION
        data = encode_request(customer, request_id, is_order, self._limiter_count)
        if self._idle_connections:
            self._idle_connections.pop().send(request_id.encode(), data)
            return
        task = asyncio.ensure_future(self._send_on_new_connection(request_id.encode(), data))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    async def wait_until_all_requests_ended(self) -> None:
        """Wait until every request that was sent has received a response or has failed."""
        while self.responses_by_status.total() + self.requests_failed < self.requests_sent:
            self._request_ended.clear()
            await self._request_ended.wait()

    def close(self) -> None:
        """Abort all connections. Requests in flight get no response."""
        for connection in list(self._open_connections):
            connection.abort()

    def connection_made(self, connection: _ClientConnection) -> None:
        """Register a connection that has been established."""
        self._open_connections.add(connection)

    def connection_lost(self, connection: _ClientConnection) -> None:
        """Unregister a closed connection. If a request was in flight on it, count that request as failed."""
        self._open_connections.discard(connection)
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)
        if connection.request_id is not None:
            connection.request_id = None
            self._count_failed_request()

    def response_received(self, request_id: bytes, status: int, latency_s: float) -> None:
        """Count the complete response to a request.

        Args:
            request_id: id of the request.
            status: HTTP status of the response.
            latency_s: time from writing the request to the end of the response.
        """
        self.responses_by_status[status] += 1
        service_time_s = self._servers.service_times_s.pop(request_id, None)
        if status == 200 and service_time_s is not None:
            self.added_latencies_s.append(latency_s - service_time_s)
        self._request_ended.set()

    def connection_idle(self, connection: _ClientConnection) -> None:
        """Make a connection available for the next request."""
        self._idle_connections.append(connection)

    async def _send_on_new_connection(self, request_id: bytes, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(lambda: _ClientConnection(self), *self._address)
            connection.send(request_id, data)
        except OSError:
            self._count_failed_request()

    def _count_failed_request(self) -> None:
        self.requests_failed += 1
        self._request_ended.set()


def encode_request(customer: int, request_id: str, is_order: bool, limiter_count: int) -> bytes:
    """Encode a client's request. An order is a request that must not run twice."""
    request_class = "alert-order" if is_order else "obs-read"
    method = "POST" if is_order else "GET"
    body = ORDER_BODY if is_order else b""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    limiter_set_size = min(MAX_LIMITER_SET_SIZE, limiter_count)
    head = (
        f"{method} /{request_class}/{customer:016x} HTTP/1.1\r\n"
        f"Host: api.internal\r\n"
        f"X-Request-Id: {request_id}\r\n"
        f"X-Class: {request_class}\r\n"
        f"X-Tariff: {PLAN_NAMES[get_plan_index(customer)]}\r\n"
        f"X-Deadline-Ms: 3000\r\n"
        f"X-Weight: units=1,spread={limiter_set_size},first=0\r\n"
        f"{length}\r\n"
    )
    return head.encode() + body


class _ClientConnection(asyncio.Protocol):
    """One connection to the limiter, with at most one request in flight."""

    def __init__(self, clients: Clients) -> None:
        self._clients = clients
        self.request_id: bytes | None = None  # None while the connection is idle
        self._sent_at = 0.0
        self._received = b""
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._clients.connection_made(self)

    def connection_lost(self, _error: Exception | None) -> None:
        self._clients.connection_lost(self)

    def abort(self) -> None:
        self._transport.abort()

    def send(self, request_id: bytes, data: bytes) -> None:
        self.request_id = request_id
        self._sent_at = time.monotonic()
        self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        self._received += data
        head_length = self._received.find(HEAD_END)
        if head_length < 0 or self.request_id is None:
            return
        head = self._received[:head_length]
        if len(self._received) < head_length + len(HEAD_END) + parse_content_length(head):
            return
        self._complete_response(self.request_id, head)

    def _complete_response(self, request_id: bytes, head: bytes) -> None:
        self._received = b""
        self.request_id = None
        status = int(head.split(b" ", 2)[1])
        self._clients.response_received(request_id, status, time.monotonic() - self._sent_at)
        if b"connection: close" in head.lower():
            self._transport.close()
        else:
            self._clients.connection_idle(self)
