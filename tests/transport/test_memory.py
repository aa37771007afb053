"""Tests that what clients and servers send takes little more memory than its length."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable

import pytest

from limiter.transport.clients import connection_registry
from limiter.transport.clients.request_parser import MAX_BODY_BYTES, MAX_HEAD_BYTES, RequestParser
from limiter.transport.http_response import HttpResponse, ResponseProtocol
from tests.support.client import build_request
from tests.support.fake_server import FakeServer, HeldResponses, respond_with
from tests.support.in_process_limiter import RawClient, in_process_limiter
from tests.support.waiting import WAIT_TIMEOUT_SECONDS, wait_until

# A limiter with 550 client and 400 server connections, and messages of 96 KiB on each, stays below 192 MB of
# memory only if a message takes less than twice its length.
MAX_MEMORY_PER_BYTE = 2
BODY_BYTES = 64_000
SHORT_CHUNK = b"2\r\nab\r\n"
READ_BYTES = 65_536


class CollectedResponses(ResponseProtocol):
    """Collects the responses on a connection.

    Attributes:
        responses: the responses so far.
    """

    def __init__(self) -> None:
        """Expect a response."""
        super().__init__(MAX_BODY_BYTES)
        self.responses: list[HttpResponse] = []

    def response_received(self, response: HttpResponse) -> None:
        """Store a response."""
        self.responses.append(response)

    def connection_failed(self) -> None:
        """Fail the test: no invalid response is sent."""
        message = "the response was not accepted"
        raise AssertionError(message)


def measure_held_bytes(feed: Callable[[bytes], object], data: bytes) -> int:
    """Feed data in parts of READ_BYTES; return how much more memory is allocated afterwards."""
    parts = [data[start : start + READ_BYTES] for start in range(0, len(data), READ_BYTES)]
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for part in parts:
            feed(part)
        return tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize(
    ("data", "max_bytes"),
    [
        (
            b"POST /order/5 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + SHORT_CHUNK * (BODY_BYTES // 2),
            MAX_MEMORY_PER_BYTE * BODY_BYTES,
        ),
        (
            b"POST /order/5 HTTP/1.1\r\n" + b"a:\r\n" * (MAX_HEAD_BYTES // 5),
            MAX_MEMORY_PER_BYTE * MAX_HEAD_BYTES,
        ),
    ],
    ids=["body in short chunks", "short header lines"],
)
def test_incomplete_request_in_short_parts_takes_little_more_memory_than_its_length(
    data: bytes, max_bytes: int
) -> None:
    """With an object for each part, 200 such clients took the limiter over 192 MB of memory."""
    parser = RequestParser(lambda _request: None)
    assert measure_held_bytes(parser.feed, data) < max_bytes


def test_incomplete_response_in_short_chunks_takes_little_more_memory_than_its_length() -> None:
    """With an object for each chunk, the responses of 60 servers could take over 192 MB of memory."""
    connection = CollectedResponses()
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + SHORT_CHUNK * (BODY_BYTES // 2)
    assert measure_held_bytes(connection.data_received, data) < MAX_MEMORY_PER_BYTE * BODY_BYTES
    connection.data_received(b"0\r\n\r\n")
    assert [response.body for response in connection.responses] == [b"ab" * (BODY_BYTES // 2)]


def test_idle_connection_holds_no_part_of_the_last_response() -> None:
    """Kept connections that held the last body would together take up to 26 MB of memory."""
    connection = CollectedResponses()
    data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES + b"x" * BODY_BYTES

    def receive_and_discard(part: bytes) -> None:
        connection.data_received(part)
        connection.responses.clear()

    assert measure_held_bytes(receive_and_discard, data) < BODY_BYTES / 10


# The limiter may hold requests of 1 MiB, a quarter of its memory.
LIMITS = {"sockets": 256, "memory_mb": 4}
MAX_REQUEST_BYTES = 2**20
# Here two long requests, but not a short one besides.
LIMITS_OF_TWO_REQUESTS = {"sockets": 256, "memory_mb": 0.5}
SHORT_BODY = b"x" * 3000
LONG_BODY = b"x" * BODY_BYTES


def build_incomplete_request(request_id: str) -> bytes:
    """Return a request whose body lacks the last byte."""
    headers = {"Content-Length": str(BODY_BYTES)}
    return build_request("submit", request_id=request_id, headers=headers) + LONG_BODY[:-1]


async def test_incomplete_requests_of_all_clients_together_take_limited_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without a limit, requests on 550 connections take 52 MB, and 800 MB if 16 are pipelined on each."""
    # No connection is closed because its time is over.
    monkeypatch.setattr(connection_registry, "READ_TIMEOUT_SECONDS", WAIT_TIMEOUT_SECONDS)
    monkeypatch.setattr(connection_registry, "LINGER_TIMEOUT_SECONDS", WAIT_TIMEOUT_SECONDS)
    async with in_process_limiter(FakeServer("s-0"), limits=LIMITS) as (proxy, listener):
        slow_client = RawClient(listener)
        request = build_request(request_id="slow")
        slow_client.send(request[:40])
        bad_clients = [RawClient(listener) for _ in range(20)]
        for number, bad_client in enumerate(bad_clients):
            bad_client.send(build_incomplete_request(f"bad-{number}"))
        failed_count = 20 - MAX_REQUEST_BYTES // BODY_BYTES
        await wait_until(
            lambda: len(listener.registry.lingering) >= failed_count, "failure of the longest requests"
        )
        assert proxy.request_memory.used_bytes <= MAX_REQUEST_BYTES
        failed = [connection for connection in listener.registry.connections if connection.has_failed]
        assert len(failed) < 20
        # The short request of another client is not affected.
        slow_client.send(request[40:])
        assert (await slow_client.read_response()).body == b"from s-0"
        for bad_client in bad_clients:
            bad_client.socket.close()
        await wait_until(lambda: not proxy.request_memory.used_bytes, "release of the memory")


async def test_complete_requests_of_all_clients_together_take_limited_memory() -> None:
    """A request for which there is no room is rejected at once and not forwarded, so a retry is safe."""
    server = FakeServer("s-0")
    held = server.responder = HeldResponses()
    async with in_process_limiter(server, limits=LIMITS_OF_TWO_REQUESTS) as (proxy, listener):
        clients = [RawClient(listener) for _ in range(2)]
        for number, client in enumerate(clients):
            client.send(build_request("submit", request_id=str(number), body=LONG_BODY))
        await wait_until(lambda: len(held.writers) == 2, "both requests are forwarded")
        rejected_client = RawClient(listener)
        rejected_client.send(build_request("submit", request_id="last", body=SHORT_BODY))
        response = await rejected_client.read_response()
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        assert len(held.writers) == 2
        held.release()
        server.responder = respond_with(200)
        assert [(await client.read_response()).status for client in clients] == [200, 200]
        assert proxy.request_memory.used_bytes == 0
        rejected_client.send(build_request("submit", request_id="last", body=SHORT_BODY))
        assert (await rejected_client.read_response()).status == 200
