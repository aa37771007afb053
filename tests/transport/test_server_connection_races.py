"""Server connections that end as they are reused, or are abandoned as the next attempt is sent."""

from __future__ import annotations

import asyncio
import socket

import pytest

from limiter.model.events import Outcome
from limiter.transport.servers import server_pool
from limiter.transport.servers.attempt import Attempt
from limiter.transport.sockets import has_unread_input
from tests.support.client import http_request
from tests.support.fake_server import FakeServer, ReceivedRequest, never_answer, respond_with
from tests.support.in_process_limiter import RawClient, in_process_limiter
from tests.support.waiting import wait_until


@pytest.mark.parametrize("second", [b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray", b""])
def test_a_connection_with_an_unread_end_or_second_response_is_not_reused(
    second: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What waits in the kernel decides, whether or not the loop has read it."""
    monkeypatch.setattr(server_pool, "SETTLE_SECONDS", 0.0)
    writers: list[asyncio.StreamWriter] = []

    async def main() -> None:
        async def respond_with_connection_number(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writers.append(writer)
            await respond_with(200, b"%d" % request.connection)(request, writer)

        server = FakeServer("s-0")
        server.answer = respond_with_connection_number
        async with in_process_limiter(server) as (proxy, listener):
            client = RawClient(listener)
            client.send(http_request("order", request_id="1"))
            assert await client.response() == (200, b"1")
            [connection] = proxy.pool.connections.idle
            if second:
                writers[0].write(second)  # to the kernel at once
            else:
                writers[0].get_extra_info("socket").shutdown(socket.SHUT_WR)
            assert connection.transport is not None
            assert has_unread_input(connection.transport)
            outcomes: list[tuple[Outcome, bytes]] = []

            def ended(_attempt: Attempt, outcome: Outcome, body: bytes, _type: bytes) -> None:
                outcomes.append((outcome, body))

            attempt = Attempt(0, b"s-0", http_request("order", request_id="2"), ended)
            proxy.pool.send(attempt, 5.0)
            await wait_until(lambda: outcomes)
            assert outcomes == [(Outcome.OK, b"2")]

    asyncio.run(main())


def test_an_abandoned_attempt_is_closed_before_anything_else_is_sent() -> None:
    """Two attempts of a request that must not run twice may not overlap."""
    writers: list[asyncio.StreamWriter] = []

    async def hang(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        await never_answer(request, writer)

    async def main() -> None:
        server = FakeServer("s-0")
        server.answer = hang
        async with in_process_limiter(server) as (proxy, listener):
            client = RawClient(listener)
            client.send(http_request())
            await wait_until(lambda: writers)
            [request] = proxy.requests.unanswered()
            assert not has_unread_input(writers[0].transport)
            request.in_flight[0].abandon()
            assert has_unread_input(writers[0].transport)  # its end has arrived already

    asyncio.run(main())
