"""Server connections that end as they are reused, or are abandoned as the next attempt is sent."""

from __future__ import annotations

import asyncio
import socket

import pytest

from limiter.model.events import Outcome
from limiter.transport.servers import server_pool
from limiter.transport.servers.attempt import Attempt
from limiter.transport.servers.server_pool import ServerPool
from limiter.transport.sockets import has_unread_input
from tests.support.client import build_request
from tests.support.fake_server import FakeServer, ReceivedRequest, Responder, never_respond, respond_with
from tests.support.in_process_limiter import RawClient, in_process_limiter
from tests.support.waiting import wait_until

ATTEMPT_TIMEOUT_SECONDS = 5.0


class RecordingResponder:
    """Passes requests on to another responder.

    Attributes:
        writers: for each request, the server's end of its connection.
    """

    def __init__(self, responder: Responder) -> None:
        """Take the responder that writes the responses."""
        self.responder = responder
        self.writers: list[asyncio.StreamWriter] = []

    async def __call__(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """Record the writer and respond."""
        self.writers.append(writer)
        await self.responder(request, writer)


async def respond_with_connection_number(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Respond with the number of the server's connection that the request came on."""
    await respond_with(200, b"%d" % request.connection_number)(request, writer)


async def result_of_attempt(pool: ServerPool, request: bytes) -> tuple[Outcome, bytes]:
    """Send an attempt to the server s-0; return its outcome and the body of the response."""
    results: list[tuple[Outcome, bytes]] = []

    def on_ended(_attempt: Attempt, outcome: Outcome, body: bytes, _content_type: bytes) -> None:
        results.append((outcome, body))

    pool.send(Attempt(0, b"s-0", request, on_ended), ATTEMPT_TIMEOUT_SECONDS)
    await wait_until(lambda: results)
    [result] = results
    return result


@pytest.mark.parametrize("second_response", [b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray", b""])
async def test_a_connection_with_an_unread_end_or_second_response_is_not_reused(
    second_response: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What waits in the kernel decides, whether or not the event loop has read it."""
    monkeypatch.setattr(server_pool, "MIN_IDLE_BEFORE_REUSE_SECONDS", 0.0)
    server = FakeServer("s-0")
    server.responder = responder = RecordingResponder(respond_with_connection_number)
    async with in_process_limiter(server) as (proxy, listener):
        client = RawClient(listener)
        client.send(build_request("order", request_id="1"))
        response = await client.read_response()
        assert (response.status, response.body) == (200, b"1")
        [connection] = proxy.server_pool.connections.idle
        if second_response:
            responder.writers[0].write(second_response)  # It is in the limiter's kernel at once.
        else:
            responder.writers[0].get_extra_info("socket").shutdown(socket.SHUT_WR)
        assert connection.transport is not None
        assert has_unread_input(connection.transport)
        result = await result_of_attempt(proxy.server_pool, build_request("order", request_id="2"))
        assert result == (Outcome.OK, b"2")


async def test_an_abandoned_attempt_is_closed_before_anything_else_is_sent() -> None:
    """Two attempts of a request that must not run twice may not overlap."""
    server = FakeServer("s-0")
    server.responder = responder = RecordingResponder(never_respond)
    async with in_process_limiter(server) as (proxy, listener):
        client = RawClient(listener)
        client.send(build_request())
        await wait_until(lambda: responder.writers)
        [request] = proxy.requests.list_unanswered()
        assert not has_unread_input(responder.writers[0].transport)
        request.attempts_in_flight[0].abandon()
        assert has_unread_input(
            responder.writers[0].transport
        )  # The end of the connection has arrived already.
