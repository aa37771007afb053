"""Tests of server connections that end just before their reuse, or whose attempt is abandoned."""

from __future__ import annotations

import asyncio
import socket

import pytest

from limiter.model.events import Outcome
from limiter.transport.servers import server_pool
from limiter.transport.servers.attempt import Attempt, AttemptRequest
from limiter.transport.servers.server_pool import ServerPool
from limiter.transport.sockets import has_unread_input
from tests.support.attempt_request import make_attempt_request
from tests.support.client import build_request
from tests.support.fake_server import FakeServer, ReceivedRequest, Responder, never_respond, respond_with
from tests.support.in_process_limiter import RawClient, in_process_limiter
from tests.support.waiting import wait_until

ATTEMPT_TIMEOUT_SECONDS = 5.0


class RecordingResponder:
    """Delegates requests to another responder.

    Attributes:
        writers: for each request, the stream from the server to the limiter.
    """

    def __init__(self, responder: Responder) -> None:
        """Use `responder` to write the responses."""
        self.responder = responder
        self.writers: list[asyncio.StreamWriter] = []

    async def __call__(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """Record the writer and respond."""
        self.writers.append(writer)
        await self.responder(request, writer)


async def respond_with_connection_number(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Respond with the number of the connection on which the server received the request."""
    await respond_with(200, b"%d" % request.connection_number)(request, writer)


async def send_attempt(pool: ServerPool, request: AttemptRequest) -> tuple[Outcome, bytes]:
    """Send an attempt to server s-0; return its outcome and the body of the response."""
    results: list[tuple[Outcome, bytes]] = []

    def on_ended(_attempt: Attempt, outcome: Outcome, body: bytes, _content_type: bytes) -> None:
        results.append((outcome, body))

    pool.send(Attempt(0, b"s-0", request, on_ended), ATTEMPT_TIMEOUT_SECONDS)
    await wait_until(lambda: results)
    [result] = results
    return result


@pytest.mark.parametrize("surplus_response", [b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray", b""])
async def test_connection_with_an_unread_end_of_stream_or_surplus_response_is_not_reused(
    surplus_response: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The kernel has received the bytes or end of stream, but the event loop has not read them yet."""
    monkeypatch.setattr(server_pool, "MIN_IDLE_BEFORE_REUSE_SECONDS", 0.0)
    server = FakeServer("s-0")
    server.responder = responder = RecordingResponder(respond_with_connection_number)
    async with in_process_limiter(server) as (proxy, listener):
        client = RawClient(listener)
        client.send(build_request("order", request_id="1"))
        response = await client.read_response()
        assert (response.status, response.body) == (200, b"1")
        [connection] = proxy.server_pool.connections.idle
        if surplus_response:
            responder.writers[0].write(surplus_response)  # The kernel delivers it immediately.
        else:
            responder.writers[0].get_extra_info("socket").shutdown(socket.SHUT_WR)
        assert connection.transport is not None
        assert has_unread_input(connection.transport)
        result = await send_attempt(proxy.server_pool, make_attempt_request(request_id="2"))
        assert result == (Outcome.OK, b"2")


async def test_connection_of_an_abandoned_attempt_is_closed_immediately() -> None:
    """If the connection closed later, the next attempt of a request could overlap with the abandoned one.

    Attempts must not overlap if the request must not be executed twice.
    """
    server = FakeServer("s-0")
    server.responder = responder = RecordingResponder(never_respond)
    async with in_process_limiter(server) as (proxy, listener):
        client = RawClient(listener)
        client.send(build_request())
        await wait_until(lambda: responder.writers)
        [request] = proxy.requests.list_unanswered()
        assert not has_unread_input(responder.writers[0].transport)
        request.attempts_in_flight[0].abandon()
        assert has_unread_input(responder.writers[0].transport)  # The server has received the end of stream.
