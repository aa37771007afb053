"""Tests of where a response on a connection ends, whatever the reads in which its bytes arrive."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from typing import NamedTuple

import pytest

from limiter.transport.http_response import MAX_HEAD_BYTES, HttpResponse, ResponseProtocol
from tests.support.waiting import wait_until

MAX_BODY_BYTES = 1000
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf"
CHUNKED_RESPONSE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n"
RESPONSE_WITH_LINE_BREAK = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhalf\r\n"
LINE_BREAK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n\r\n"
INTERIM_RESPONSE = b"HTTP/1.1 103 Early Hints\r\n\r\n"


class RecordedResponses(ResponseProtocol):
    """Records the responses and failures of a connection.

    Attributes:
        responses: the responses so far.
        failure_count: how often the connection failed.
    """

    def __init__(self) -> None:
        """Expect a response."""
        super().__init__(MAX_BODY_BYTES)
        self.responses: list[HttpResponse] = []
        self.failure_count = 0

    def response_received(self, response: HttpResponse) -> None:
        """Record a response."""
        self.responses.append(response)

    def connection_failed(self) -> None:
        """Record a failure."""
        self.failure_count += 1


class OpenConnection(NamedTuple):
    """A connection whose responses are recorded, and the server's socket of it."""

    protocol: RecordedResponses
    server_socket: socket.socket


@pytest.fixture
async def connection() -> AsyncIterator[OpenConnection]:
    """Open a connection within the process."""
    limiter_socket, server_socket = socket.socketpair()
    limiter_socket.setblocking(False)
    loop = asyncio.get_running_loop()
    transport, protocol = await loop.create_connection(RecordedResponses, sock=limiter_socket)
    try:
        yield OpenConnection(protocol, server_socket)
    finally:
        transport.close()
        server_socket.close()


@pytest.mark.parametrize(
    "response", [RESPONSE, CHUNKED_RESPONSE, RESPONSE_WITH_LINE_BREAK, LINE_BREAK_RESPONSE]
)
@pytest.mark.parametrize("read_bytes", [1, 1000], ids=["one byte at a time", "one read"])
@pytest.mark.parametrize(
    ("tail", "has_surplus"),
    [(b"", False), (b"\n", True), (b"more", True), (b"HTTP/1.1 200 OK\r\n\r\n", True)],
)
def test_response_followed_by_other_bytes_in_the_same_read_has_a_surplus(
    response: bytes, read_bytes: int, tail: bytes, has_surplus: bool
) -> None:
    """A response whose stated length is too short must not be taken for a whole one."""
    protocol = RecordedResponses()
    data = INTERIM_RESPONSE + response
    for start in range(0, len(data) - 1, read_bytes):
        protocol.data_received(data[start : min(start + read_bytes, len(data) - 1)])
    assert protocol.responses == []
    protocol.data_received(data[-1:] + tail)
    protocol.eof_received()
    [received] = protocol.responses
    assert received.has_surplus == has_surplus
    assert received.keep_alive != has_surplus


def test_interim_responses_that_each_end_with_a_read_are_limited() -> None:
    """The limit applied only to reads that ended within a response, so a server could send them endlessly."""
    protocol = RecordedResponses()
    for _ in range(MAX_HEAD_BYTES // len(INTERIM_RESPONSE)):
        protocol.data_received(INTERIM_RESPONSE)
    assert protocol.failure_count == 0
    protocol.data_received(INTERIM_RESPONSE)
    assert protocol.failure_count == 1


@pytest.mark.parametrize("surplus", [b"more", b"\r\n"])
async def test_response_is_not_reported_while_the_kernel_holds_more_bytes(
    connection: OpenConnection, surplus: bytes
) -> None:
    """The rest of a body may be received in another read than the part of the stated length."""
    protocol, server_socket = connection
    server_socket.send(surplus)
    protocol.data_received(RESPONSE)
    assert protocol.responses == []
    await wait_until(lambda: protocol.responses)
    assert [response.has_surplus for response in protocol.responses] == [True]


async def test_response_is_reported_when_the_kernel_holds_the_end_of_the_stream(
    connection: OpenConnection,
) -> None:
    protocol, server_socket = connection
    server_socket.close()
    protocol.data_received(RESPONSE)
    await wait_until(lambda: protocol.failure_count)
    [response] = protocol.responses
    assert (response.body, response.has_surplus, response.keep_alive) == (b"half", False, False)


async def test_copy_of_a_response_in_another_read_is_not_a_surplus(connection: OpenConnection) -> None:
    """Servers may send a good response twice; the connection is not used again."""
    protocol, server_socket = connection
    server_socket.send(RESPONSE)
    protocol.data_received(RESPONSE)
    await wait_until(lambda: protocol.responses)
    [response] = protocol.responses
    assert (response.body, response.has_surplus, response.keep_alive) == (b"half", False, False)


async def test_incomplete_copy_at_the_end_of_the_stream_is_a_surplus(connection: OpenConnection) -> None:
    protocol, server_socket = connection
    protocol.data_received(RESPONSE + RESPONSE[:20])
    assert protocol.responses == []
    server_socket.close()
    await wait_until(lambda: protocol.responses)
    assert [response.has_surplus for response in protocol.responses] == [True]
