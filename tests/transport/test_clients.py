"""Slow, broken, silent and greedy clients on loopback: each gets a response or is closed in time."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.support.client import build_request
from tests.support.fake_server import list_request_ids, never_respond, respond_after, respond_with
from tests.support.harness import LimiterHarness, limiter_with
from tests.support.limiter_settings import make_raw_settings, make_raw_settings_with_quota
from tests.support.waiting import WAIT_TIMEOUT_SECONDS, wait_until

# What a client sends before it stops, and the first bytes that it gets.
INCOMPLETE_REQUESTS = {
    "nothing": (b"", b""),
    "part of a head": (b"GET /read/0000", b"HTTP/1.1 408 "),
    "part of a body": (build_request("submit", headers={"Content-Length": "9"}) + b"abc", b"HTTP/1.1 408 "),
    "part of a second request": (b"GET /_health HTTP/1.1\r\n\r\nGET /", b"HTTP/1.1 200 "),
}


async def check_incomplete_request_times_out(harness: LimiterHarness, what: str) -> None:
    """Check one case of INCOMPLETE_REQUESTS, whose connection is closed well before an idle one would be."""
    data, expected_start = INCOMPLETE_REQUESTS[what]
    client = await harness.connect()
    client.send(data)
    output = await client.read_until_closed()
    assert output.startswith(expected_start), what
    assert (b"HTTP/1.1 408 " in output) == bool(data), what


async def test_incomplete_requests_time_out(harness: LimiterHarness) -> None:
    """A client that stops within a request gets 408; one that sends nothing is closed without a response.

    The cases wait at the same time, as each lasts as long as the limiter's read time-out.
    """
    await asyncio.gather(*(check_incomplete_request_times_out(harness, what) for what in INCOMPLETE_REQUESTS))
    assert harness.received_requests == []


async def test_trickling_head_does_not_extend_the_read_timeout(harness: LimiterHarness) -> None:
    """The time of a request runs from its first byte."""
    client = await harness.connect()
    reading = asyncio.create_task(client.read_until_closed())
    line_count = 0
    while not reading.done():
        assert line_count < WAIT_TIMEOUT_SECONDS * 20
        line_count += 1
        client.send(b"GET /read HTTP/1.1\r\n" if line_count == 1 else b"X-%d: y\r\n" % line_count)
        await asyncio.sleep(0.05)
    assert (await reading).startswith(b"HTTP/1.1 408 ")


# Classes of which the limiter gives a request up no earlier than its client does.
PATIENT_CLASSES = [{**request_class, "aim": 60_000.0} for request_class in make_raw_settings()["classes"]]


@pytest.mark.parametrize("tail", [b"\0\0\0\0", b"GET /half", build_request(request_id="next") * 40])
@limiter_with(settings=make_raw_settings(classes=PATIENT_CLASSES))
async def test_unreadable_input_fails_the_connection_and_its_current_request(
    harness: LimiterHarness, tail: bytes
) -> None:
    """Bad input behind a request gets an error response at once, and the connection is closed."""
    harness.servers[0].responder = never_respond
    client = await harness.connect()
    client.send(build_request("submit", deadline_ms=60_000))
    await wait_until(lambda: harness.received_requests)
    client.send(tail)
    response = await client.read_response()
    assert response.status in (400, 408)  # No rejection, as the current request may have run.
    assert response.headers["connection"] == "close"
    assert await client.read_until_closed() == b""


async def test_input_after_an_error_is_read_within_a_bound(harness: LimiterHarness) -> None:
    """Bytes after an error response are discarded up to a limit, then left in the kernel."""
    client = await harness.connect()
    client.send(build_request("submit", headers={"Content-Length": "60000000"}))
    assert (await client.read_response()).status == 413
    sent_bytes = 0

    async def send_all() -> None:
        nonlocal sent_bytes
        while sent_bytes < 60_000_000:
            client.send(b"x" * 65536)
            await client.writer.drain()
            sent_bytes += 65536

    with pytest.raises(ConnectionError):
        await send_all()
    assert sent_bytes < 20_000_000  # The buffers of both sockets hold less than that.


async def test_the_id_of_an_open_request_is_a_conflict(harness: LimiterHarness) -> None:
    """A request with the id of an open one gets 409 and is not forwarded."""
    released = asyncio.Event()
    harness.servers[0].responder = respond_after(released, respond_with(200, b"mine"))
    owner = await harness.connect()
    owner.send(build_request(request_id="same"))
    await wait_until(lambda: harness.received_requests)
    assert (await harness.send_request(build_request(request_id="same"))).status == 409
    pipelining = await harness.connect()
    # The first of both requests is open while the limiter reads the second.
    pipelining.send(build_request(request_id="other") + build_request(request_id="other"))
    await wait_until(lambda: len(harness.received_requests) == 2)
    released.set()
    assert (await owner.read_response()).body == b"mine"
    assert [(await pipelining.read_response()).status for _ in range(2)] == [200, 409]
    # The first request has ended, so that its id can be used again.
    assert (await harness.send_request(build_request(request_id="same"))).status == 200
    assert list_request_ids(harness.received_requests) == ["same", "other", "same"]


@limiter_with(settings=make_raw_settings_with_quota(rate=0.1, burst=10.0))
async def test_bad_requests_do_not_use_up_the_customers_quota(harness: LimiterHarness) -> None:
    """Requests that contradict the settings are rejected before the policy counts their units."""
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


async def test_trailers_are_not_taken_as_headers(harness: LimiterHarness) -> None:
    """Trailers of a chunked body neither replace protocol headers nor are forwarded."""
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
async def test_silent_connections_do_not_displace_working_ones(harness: LimiterHarness) -> None:
    """Connections without a request are closed before those that had requests."""
    working = await harness.connect()
    working.send(build_request(request_id="w"))
    assert (await working.read_response()).status == 200
    silent_clients = []
    for number in range(6):
        silent_clients += [await harness.connect() for _ in range(40)]
        working.send(build_request(request_id=f"w{number}"))
        assert (await working.read_response()).status == 200
        assert (await harness.send_request(build_request(request_id=f"new{number}"))).status == 200
    for client in silent_clients:
        client.close()


async def test_a_client_that_reads_no_responses_is_closed(harness: LimiterHarness) -> None:
    """The limiter closes its connection and so frees the descriptor."""
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
