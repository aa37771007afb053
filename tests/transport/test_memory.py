"""Tests that what clients and servers send takes little more memory than its length."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable

import pytest

from limiter.transport.clients.request_parser import MAX_BODY_BYTES, MAX_HEAD_BYTES, RequestParser
from limiter.transport.http_response import HttpResponse, ResponseProtocol

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
