"""Requests over loopback sockets: each is forwarded and gets one response in time, whatever servers do."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Iterator

import pytest

from limiter.transport.servers.server_connection import RESPONSE_STALL_TIMEOUT_SECONDS
from limiter.transport.servers.server_pool import MIN_IDLE_BEFORE_REUSE_SECONDS
from tests.support.client import HEALTH_CHECK, Response, build_request
from tests.support.fake_server import (
    FakeServer,
    ReceivedRequest,
    Responder,
    never_respond,
    reset_connection,
    respond_raw,
    respond_with,
)
from tests.support.harness import LimiterHarness, limiter_with
from tests.support.limiter_settings import make_raw_settings, make_raw_settings_with_quota
from tests.support.waiting import WAIT_TIMEOUT_SECONDS, wait_until


async def send_while(harness: LimiterHarness, request: bytes, *, status: int) -> Response:
    """Send a request again and again while it gets that status; return the first other response."""
    while True:
        response = await harness.send_request(request)
        if response.status != status:
            return response
        await asyncio.sleep(0.02)


async def check_served_by(server: FakeServer, harness: LimiterHarness, *, request_count: int) -> None:
    """Send requests that must not fail, and check that the server alone got those that were served."""
    responses = [
        await harness.send_request(build_request("submit", request_id=str(index)))
        for index in range(request_count)
    ]
    statuses = [response.status for response in responses]
    # An attempt without a connection is known not to have run, so that a rejection is allowed but no failure.
    assert set(statuses) <= {200, 503}
    assert len(server.received_requests) == statuses.count(200) > 4


async def test_request_and_response_are_forwarded_unchanged(harness: LimiterHarness) -> None:
    harness.servers[0].responder = respond_with(200, b"\x00answer", "Content-Type: text/x")
    response = await harness.send_request(
        build_request("submit", body=b"a\r\n\r\nbody", query="?a=1&b=%20", headers={"Accept": "text/x"})
    )
    assert response.status == 200
    assert response.body == b"\x00answer"
    assert response.headers["content-type"] == "text/x"
    [received] = harness.received_requests
    assert received.request_line == "POST /submit/00000000b4d65521?a=1&b=%20 HTTP/1.1"
    assert received.body == b"a\r\n\r\nbody"
    assert received.headers["x-request-id"] == "9b1f03aa5c7e2d41"
    assert received.headers["idempotency-key"] == "5c0f6e1a"
    assert received.headers["accept"] == "text/x"
    assert 0 < int(received.headers["x-deadline-ms"]) < 3000


async def test_chunked_body_is_forwarded_once_complete_and_connections_are_reused(
    harness: LimiterHarness,
) -> None:
    client = await harness.connect()
    for index in range(3):
        head = build_request(
            "submit", without_header="Content-Length", headers={"Transfer-Encoding": "chunked"}
        )
        client.send(head + b"3\r\nabc\r\n")
        await asyncio.sleep(0.05)
        assert (
            len(harness.received_requests) == index
        )  # The request is not forwarded before its body is complete.
        client.send(b"4\r\ndefg\r\n0\r\n\r\n")
        assert (await client.read_response()).status == 200
    assert [received.body for received in harness.received_requests] == [b"abcdefg"] * 3
    assert {received.connection_number for received in harness.received_requests} == {1}


async def test_pipelined_requests_get_their_responses_in_order(harness: LimiterHarness) -> None:
    client = await harness.connect()
    client.send(build_request(request_id="1") + HEALTH_CHECK + build_request(request_id="2"))
    assert [(await client.read_response()).body for _ in range(3)] == [b"from s-0", b"ready\n", b"from s-0"]


async def test_request_that_no_server_responds_to_ends_at_its_deadline(harness: LimiterHarness) -> None:
    harness.servers[0].responder = never_respond
    client = await harness.connect()
    began = time.monotonic()
    client.send(build_request(deadline_ms=300))
    assert (await client.read_response()).status in (429, 503, 504)
    assert time.monotonic() - began > 0.25  # It is not given up before its deadline of 300 ms.
    harness.servers[0].responder = respond_with(200, b"next")
    client.send(build_request(request_id="2"))
    # This is the response to the second request, not a late one to the first.
    assert (await client.read_response()).body == b"next"


@pytest.mark.parametrize(
    "responder",
    [
        never_respond,
        reset_connection,
        respond_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut"),
        respond_with(503),  # The header that proves that the request did not run is missing.
    ],
    ids=["no response", "reset", "incomplete response", "error without proof"],
)
async def test_keyed_request_that_may_have_run_fails_and_is_never_rejected(
    harness: LimiterHarness, responder: Responder
) -> None:
    harness.servers[0].responder = responder
    assert (await harness.send_request(build_request("submit", deadline_ms=400))).status in (502, 504)


@pytest.mark.parametrize("status", [503, 504])
async def test_keyed_request_proved_not_to_have_run_is_rejected(harness: LimiterHarness, status: int) -> None:
    harness.servers[0].responder = respond_with(status, b"", "X-Not-Run: 1")
    assert (await harness.send_request(build_request("submit", deadline_ms=400))).status in (429, 503)


@limiter_with(settings=make_raw_settings_with_quota(rate=0.1, burst=4.0))
async def test_customer_over_its_quota_is_rejected_with_retry_after(harness: LimiterHarness) -> None:
    # The admission probability falls with each reading of the counter.
    response = await send_while(harness, build_request(deadline_ms=60000), status=200)
    assert response.status == 429
    assert 0 < float(response.headers["retry-after"]) <= 20


@limiter_with(servers=2)
async def test_refused_connection_leads_to_another_server(harness: LimiterHarness) -> None:
    closed, serving = harness.servers
    closed.listening_server.close()
    await check_served_by(serving, harness, request_count=14)


def respond_endlessly(head: bytes, piece: bytes) -> Responder:
    """Return a responder that writes the piece after the head for as long as the limiter reads."""

    async def respond(_received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(head)
        while True:  # `drain` fails once the limiter has closed the connection.
            writer.write(piece)
            await writer.drain()

    return respond


INVALID_RESPONSES = {
    "not HTTP": respond_raw(b"what?\r\n\r\n"),
    "body over its limit": respond_with(200, b"x" * 65537),
    "cut head": respond_raw(b"HTTP/1.1 200 OK\r\nContent-Le"),
    "head without end": respond_raw(b"HTTP/1.1 200 OK\r\n" + b"X-A: b\r\n" * 10_000),
    "interim responses without end": respond_raw(b"HTTP/1.1 103 Early Hints\r\n\r\n" * 5_000),
    "trailers without end": respond_endlessly(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", b"X-A: b\r\n" * 100
    ),
    "chunks without end": respond_endlessly(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3;", b"x=y;" * 100
    ),
    "length that does not fit": respond_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nonly this"),
    "three gigabytes": respond_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nfirst of it"),
    "two lengths": respond_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nabc"),
    "length of words": respond_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 0x3\r\n\r\nabc"),
    "length and chunks": respond_raw(
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    ),
    "other version": respond_raw(b"HTTP/2.0 200 OK\r\nContent-Length: 3\r\n\r\nabc"),
    "other protocol": respond_raw(b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"),
    "chunk of nonsense": respond_raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"),
}


@pytest.mark.parametrize("responder", INVALID_RESPONSES.values(), ids=INVALID_RESPONSES.keys())
async def test_invalid_response_fails_the_attempt_and_closes_the_connection(
    harness: LimiterHarness, responder: Responder
) -> None:
    harness.servers[0].responder = responder
    # The limiter notices invalid bytes, or that the rest does not come, long before the deadline.
    assert (await harness.send_request(build_request("submit", deadline_ms=60_000))).status in (502, 504)
    harness.servers[0].responder = respond_with(200, b"fine")
    assert (await harness.send_request(build_request("submit", request_id="2"))).body == b"fine"
    assert len({received.connection_number for received in harness.received_requests}) == len(
        harness.received_requests
    )


RESPONSE_ONE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
SECOND_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"


@pytest.mark.parametrize("tail", [SECOND_RESPONSE, SECOND_RESPONSE[:20], b"rubbish"])
async def test_bytes_behind_a_response_are_not_the_next_response(
    harness: LimiterHarness, tail: bytes
) -> None:
    harness.servers[0].responder = respond_raw(RESPONSE_ONE + tail)
    assert (await harness.send_request(build_request())).body == b"one"
    harness.servers[0].responder = respond_with(200, b"two")
    assert (await harness.send_request(build_request())).body == b"two"


class TwofoldResponse:
    """A responder that responds twice to a request.

    Attributes:
        delays_seconds: for each request, the time from its first response to its second one.
    """

    def __init__(self) -> None:
        """Make a responder that has not responded yet."""
        self.delays_seconds: list[float] = []

    async def __call__(self, _received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """Respond, and respond again in a segment of its own, just after the limiter took the first one."""
        began = time.monotonic()
        writer.write(RESPONSE_ONE)
        await writer.drain()
        await asyncio.sleep(0.002)
        writer.write(RESPONSE_ONE)
        self.delays_seconds.append(time.monotonic() - began)


async def body_after_twofold_response(harness: LimiterHarness, twofold: TwofoldResponse) -> bytes:
    """Send a request that gets two responses and another that gets one; return the body of the other's."""
    round_number = len(twofold.delays_seconds)
    harness.servers[0].responder = twofold
    client = await harness.connect()
    client.send(build_request(request_id=f"{round_number}a"))
    assert (await client.read_response()).body == b"one"
    harness.servers[0].responder = respond_with(200, b"two")
    client.send(build_request(request_id=f"{round_number}b"))
    response = await client.read_response()
    await wait_until(lambda: len(twofold.delays_seconds) > round_number, "the second response is written")
    return response.body


async def test_late_second_response_is_not_the_next_response(harness: LimiterHarness) -> None:
    """Rounds in which this process was kept from writing the second response in time do not count."""
    twofold = TwofoldResponse()
    rounds_in_time = 0
    while rounds_in_time < 20:
        body = await body_after_twofold_response(harness, twofold)
        if twofold.delays_seconds[-1] < MIN_IDLE_BEFORE_REUSE_SECONDS:
            rounds_in_time += 1
            assert body == b"two"


async def test_interim_response_is_passed_over(harness: LimiterHarness) -> None:
    harness.servers[0].responder = respond_raw(
        b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes"
    )
    assert (await harness.send_request(build_request())).body == b"yes"


async def test_response_may_be_slow_after_an_interim_one_and_come_in_parts(harness: LimiterHarness) -> None:
    async def respond_slowly(_received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n")
        # After an interim response, the server may take its time until the final one.
        await asyncio.sleep(2 * RESPONSE_STALL_TIMEOUT_SECONDS)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n")
        for part in (b"in", b"pa", b"rt"):
            await asyncio.sleep(RESPONSE_STALL_TIMEOUT_SECONDS / 3)
            writer.write(part)

    harness.servers[0].responder = respond_slowly
    assert (await harness.send_request(build_request("submit", deadline_ms=60_000))).body == b"inpart"
    assert len(harness.received_requests) == 1


KEEPALIVE_SECONDS = 1.0
SHORT_KEEPALIVE = {"maxAttempts": 4, "dialTimeout": 250.0, "keepalive": KEEPALIVE_SECONDS * 1000}


@limiter_with(settings=make_raw_settings(limits=SHORT_KEEPALIVE))
async def test_idle_connections_are_closed_before_their_servers_reset_them(harness: LimiterHarness) -> None:
    assert (await harness.send_request(build_request("submit"))).status == 200
    # Within the keepalive, but after half of it, from which on the limiter does not reuse the connection.
    await asyncio.sleep(0.8 * KEEPALIVE_SECONDS)
    assert (await harness.send_request(build_request("submit", request_id="2"))).status == 200
    assert [received.connection_number for received in harness.received_requests] == [1, 2]


async def test_disconnected_clients_leave_no_sockets_behind(harness: LimiterHarness) -> None:
    harness.servers[0].responder = never_respond
    descriptors_before = harness.count_open_descriptors()
    for index in range(20):
        client = await harness.connect()
        client.send(build_request(request_id=str(index), deadline_ms=500))
        await asyncio.sleep(0.03)
        client.close()
    assert harness.received_requests
    await wait_until(lambda: harness.count_open_descriptors() <= descriptors_before + 1, "all sockets closed")
    harness.servers[0].responder = respond_with(200, b"fine")
    # For a while the limiter takes a server that has not responded for one without capacity, and rejects.
    response = await send_while(harness, build_request(request_id="last"), status=429)
    assert response.body == b"fine"


@contextlib.contextmanager
def full_backlog(port: int) -> Iterator[None]:
    """Listen without accepting, with a full backlog: connections are not completed, as with a partition."""
    with socket.socket() as listening, socket.socket() as filler:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(("127.0.0.1", port))
        listening.listen(0)
        filler.connect(("127.0.0.1", port))
        yield


@limiter_with(servers=2)
async def test_server_that_never_accepts_is_given_up_in_time(harness: LimiterHarness) -> None:
    blocked, serving = harness.servers
    blocked.listening_server.close()
    await asyncio.sleep(0)  # In this turn of the event loop asyncio closes the socket.
    with full_backlog(blocked.port):
        began = time.monotonic()
        await check_served_by(serving, harness, request_count=8)
        assert time.monotonic() - began < WAIT_TIMEOUT_SECONDS
