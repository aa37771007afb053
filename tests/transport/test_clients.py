"""Tests of clients that are slow, silent, send invalid input or do not read their responses.

Each client gets a response or has its connection closed within a limited time.
"""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.support.client import build_request
from tests.support.fake_server import list_request_ids, never_respond, respond_after, respond_with
from tests.support.harness import LimiterHarness, limiter_with
from tests.support.limiter_settings import (
    CLASSES_WITH_LONG_LATENCY_OBJECTIVE,
    make_raw_settings,
    make_raw_settings_with_quota,
)
from tests.support.waiting import WAIT_TIMEOUT_SECONDS, wait_until

# For each case: the bytes that a client sends before it stops, and the first bytes that it receives.
INCOMPLETE_REQUESTS = {
    "no bytes": (b"", b""),
    "incomplete head": (b"GET /read/0000", b"HTTP/1.1 408 "),
    "incomplete body": (build_request("submit", headers={"Content-Length": "9"}) + b"abc", b"HTTP/1.1 408 "),
    "incomplete second request": (b"GET /_health HTTP/1.1\r\n\r\nGET /", b"HTTP/1.1 200 "),
}


async def check_incomplete_request_times_out(harness: LimiterHarness, case: str) -> None:
    """Check that the connection of a case of INCOMPLETE_REQUESTS is closed well before the idle timeout."""
    data, expected_start = INCOMPLETE_REQUESTS[case]
    client = await harness.connect()
    client.send(data)
    output = await client.read_until_closed()
    assert output.startswith(expected_start), case
    assert (b"HTTP/1.1 408 " in output) == bool(data), case


async def test_incomplete_requests_time_out(harness: LimiterHarness) -> None:
    """A client that stops in the middle of a request gets 408; one that sends nothing gets no response.

    The cases run concurrently, because each takes as long as the limiter's read timeout.
    """
    await asyncio.gather(*(check_incomplete_request_times_out(harness, case) for case in INCOMPLETE_REQUESTS))
    assert harness.received_requests == []


async def test_head_sent_line_by_line_does_not_extend_the_read_timeout(harness: LimiterHarness) -> None:
    """A client that sends one header line after the other must not hold its connection open indefinitely.

    The timeout starts with the first byte of the request and is not restarted by further bytes.
    """
    client = await harness.connect()
    reading = asyncio.create_task(client.read_until_closed())
    line_count = 0
    while not reading.done():
        assert line_count < WAIT_TIMEOUT_SECONDS * 20
        line_count += 1
        client.send(b"GET /read HTTP/1.1\r\n" if line_count == 1 else b"X-%d: y\r\n" % line_count)
        await asyncio.sleep(0.05)
    assert (await reading).startswith(b"HTTP/1.1 408 ")


@pytest.mark.parametrize("tail", [b"\0\0\0\0", b"GET /half"])
@limiter_with(settings=make_raw_settings(classes=CLASSES_WITH_LONG_LATENCY_OBJECTIVE))
async def test_invalid_input_after_an_open_request_fails_the_request_and_closes_the_connection(
    harness: LimiterHarness, tail: bytes
) -> None:
    """The client gets an error response immediately, not after the server's response to the open request."""
    harness.servers[0].responder = never_respond
    client = await harness.connect()
    client.send(build_request("submit", deadline_ms=60_000))
    await wait_until(lambda: harness.received_requests)
    client.send(tail)
    response = await client.read_response()
    assert response.status in (400, 408)  # Not 429 or 503, because the server may have executed the request.
    assert response.headers["connection"] == "close"
    assert await client.read_until_closed() == b""


async def test_input_after_an_error_response_is_discarded_only_up_to_a_limit(harness: LimiterHarness) -> None:
    """Without a limit, a client could make the limiter read and discard input indefinitely.

    Beyond the limit, the bytes stay in the kernel's buffers.
    """
    client = await harness.connect()
    client.send(build_request("submit", headers={"Content-Length": "60000000"}))
    assert (await client.read_response()).status == 413
    sent_bytes = 0

    async def send_declared_body() -> None:
        nonlocal sent_bytes
        while sent_bytes < 60_000_000:
            client.send(b"x" * 65536)
            await client.writer.drain()
            sent_bytes += 65536

    with pytest.raises(ConnectionError):
        await send_declared_body()
    assert sent_bytes < 20_000_000  # More than the buffers of both sockets hold.


async def test_request_with_the_id_of_an_open_request_gets_409(harness: LimiterHarness) -> None:
    """The request is not forwarded, whether it is sent on another connection or pipelined on the same one."""
    released = asyncio.Event()
    harness.servers[0].responder = respond_after(released, respond_with(200, b"mine"))
    first_client = await harness.connect()
    first_client.send(build_request(request_id="same"))
    await wait_until(lambda: harness.received_requests)
    assert (await harness.send_request(build_request(request_id="same"))).status == 409
    pipelining_client = await harness.connect()
    # The first request is still open when the limiter reads the second one.
    pipelining_client.send(build_request(request_id="other") + build_request(request_id="other"))
    await wait_until(lambda: len(harness.received_requests) == 2)
    released.set()
    assert (await first_client.read_response()).body == b"mine"
    assert [(await pipelining_client.read_response()).status for _ in range(2)] == [200, 409]
    # The request with this id has ended, so the id can be used again.
    assert (await harness.send_request(build_request(request_id="same"))).status == 200
    assert list_request_ids(harness.received_requests) == ["same", "other", "same"]


@limiter_with(settings=make_raw_settings_with_quota(rate=0.1, burst=10.0))
async def test_bad_requests_do_not_use_up_the_customers_quota(harness: LimiterHarness) -> None:
    """Requests that contradict the settings get 400 before the policy counts their units as usage."""
    bad_requests = [
        build_request(request_id="x", headers={"X-Weight": "units=1000000,spread=1,first=0"}),
        build_request(request_id="x", headers={"X-Weight": "units=1,spread=1000,first=0"}),
        build_request(request_id="x", headers={"X-Weight": "units=1,spread=1,first=77"}),
        build_request(request_id="x", headers={"X-Tariff": "gold"}),
    ]
    for number in range(4):
        for data in bad_requests:
            assert (await harness.send_request(data)).status == 400
        assert (await harness.send_request(build_request(request_id=f"good{number}"))).status == 200


async def test_trailers_are_not_treated_as_headers(harness: LimiterHarness) -> None:
    """A trailer of a chunked body must not replace a protocol header, and it is not forwarded."""
    client = await harness.connect()
    client.send(
        build_request("submit", without_header="Content-Length", headers={"Transfer-Encoding": "chunked"})
    )
    client.send(b"1\r\na\r\n0\r\nX-Request-Id: another\r\nX-Note: y\r\n\r\n")
    assert (await client.read_response()).status == 200
    [received] = harness.received_requests
    assert received.headers["x-request-id"] == "9b1f03aa5c7e2d41"
    assert "x-note" not in received.headers


@limiter_with(sockets=128)
async def test_connections_without_requests_do_not_displace_active_clients(harness: LimiterHarness) -> None:
    """At the limit on sockets, connections that have sent no request yet are closed before others."""
    active_client = await harness.connect()
    active_client.send(build_request(request_id="w"))
    assert (await active_client.read_response()).status == 200
    silent_clients = []
    for number in range(6):
        silent_clients += [await harness.connect() for _ in range(40)]
        active_client.send(build_request(request_id=f"w{number}"))
        assert (await active_client.read_response()).status == 200
        assert (await harness.send_request(build_request(request_id=f"new{number}"))).status == 200
    for client in silent_clients:
        client.close()


async def test_connection_of_a_client_that_does_not_read_responses_is_closed(harness: LimiterHarness) -> None:
    """Unread responses must not occupy a file descriptor of the limiter indefinitely."""
    descriptors_before = harness.count_open_descriptors()
    harness.servers[0].responder = respond_with(200, b"x" * 65536)
    client = await harness.connect()
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    for number in range(200):
        client.send(build_request(request_id=f"r{number}"))
        await asyncio.sleep(0.005)
    started = time.monotonic()
    while harness.count_open_descriptors() > descriptors_before + 1:
        assert time.monotonic() - started < 2 * WAIT_TIMEOUT_SECONDS
        await asyncio.sleep(0.1)
