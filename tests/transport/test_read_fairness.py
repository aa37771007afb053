"""Tests that a client which sends much at once does not delay the other clients."""

from __future__ import annotations

import pytest

from limiter.transport.clients.client_connection import READ_BUFFER_BYTES
from limiter.transport.clients.client_response import LocalResponse
from limiter.transport.clients.request_parser import RequestParser
from tests.support.client import build_request
from tests.support.fake_server import FakeServer
from tests.support.in_process_limiter import RawClient, in_process_limiter
from tests.support.waiting import wait_until

HEAD = build_request("order", without_header="Content-Length", headers={"Transfer-Encoding": "chunked"})
SHORT_CHUNK = b"2\r\nab\r\n"
# Fits into the socket buffers of both ends.
INPUT_BYTES = 12 * READ_BUFFER_BYTES


class RecordedInput:
    """Records how the parsers of all connections are fed.

    Attributes:
        parsers: the parser of each input, in the order of parsing.
        longest_bytes: the length of the longest input.
        total_bytes: the length of all inputs together.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Record each call of `RequestParser.feed`."""
        self.parsers: list[RequestParser] = []
        self.longest_bytes = 0
        self.total_bytes = 0
        feed = RequestParser.feed

        def record_and_feed(parser: RequestParser, data: bytes) -> LocalResponse | None:
            self.parsers.append(parser)
            self.longest_bytes = max(self.longest_bytes, len(data))
            self.total_bytes += len(data)
            return feed(parser, data)

        monkeypatch.setattr(RequestParser, "feed", record_and_feed)

    def count_consecutive(self) -> int:
        """Return the largest number of consecutive inputs of one connection, while two sent input."""
        longest = current = 0
        previous: RequestParser | None = None
        for parser in self.parsers:
            current = current + 1 if parser is previous else 1
            longest = max(longest, current)
            previous = parser
        return longest


async def test_connections_with_much_input_are_read_in_turns(monkeypatch: pytest.MonkeyPatch) -> None:
    """200 bodies in chunks of two bytes blocked the event loop for 3 s: responses were late or missing."""
    async with in_process_limiter(FakeServer("s-0")) as (_, listener):
        clients = [RawClient(listener) for _ in range(2)]
        await wait_until(lambda: len(listener.registry.connections) == 2)
        recorded = RecordedInput(monkeypatch)
        for client in clients:
            client.send((HEAD + SHORT_CHUNK * INPUT_BYTES)[:INPUT_BYTES])
        await wait_until(lambda: recorded.total_bytes == 2 * INPUT_BYTES)
    assert recorded.longest_bytes <= READ_BUFFER_BYTES
    # Two, since the connection that is read last in one iteration may be read first in the next.
    assert recorded.count_consecutive() <= 2
