"""Tests that each request is forwarded and gets one response in time, even if servers misbehave."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
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


async def resend_while_status(harness: LimiterHarness, request: bytes, *, status: int) -> Response:
    """Send a request repeatedly while the response has this status; return the first other response."""
    while True:
        response = await harness.send_request(request)
        if response.status != status:
            return response
        await asyncio.sleep(0.02)


async def check_served_by(server: FakeServer, harness: LimiterHarness, *, request_count: int) -> None:
    """Send requests, and check that none fails and that `server` received each one that was served."""
    responses = [
        await harness.send_request(build_request("submit", request_id=str(index)))
        for index in range(request_count)
    ]
    statuses = [response.status for response in responses]
    # A server cannot have executed an attempt without a connection, so a rejection is allowed but no failure.
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
        # An incomplete request must not be forwarded.
        assert len(harness.received_requests) == index
        client.send(b"4\r\ndefg\r\n0\r\n\r\n")
        assert (await client.read_response()).status == 200
    assert [received.body for received in harness.received_requests] == [b"abcdefg"] * 3
    assert {received.connection_number for received in harness.received_requests} == {1}


async def test_pipelined_requests_get_their_responses_in_order(harness: LimiterHarness) -> None:
    client = await harness.connect()
    client.send(build_request(request_id="1") + HEALTH_CHECK + build_request(request_id="2"))
    assert [(await client.read_response()).body for _ in range(3)] == [b"from s-0", b"ready\n", b"from s-0"]


async def test_request_without_a_server_response_ends_at_its_deadline(harness: LimiterHarness) -> None:
    harness.servers[0].responder = never_respond
    client = await harness.connect()
    started_at = time.monotonic()
    client.send(build_request(deadline_ms=300))
    assert (await client.read_response()).status in (429, 503, 504)
    assert time.monotonic() - started_at > 0.25  # It must not end before its deadline of 300 ms.
    harness.servers[0].responder = respond_with(200, b"next")
    client.send(build_request(request_id="2"))
    # It must be the response to the second request, not a late response to the first one.
    assert (await client.read_response()).body == b"next"


@pytest.mark.parametrize(
    "responder",
    [
        never_respond,
        reset_connection,
        respond_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut"),
        respond_with(503),  # The header which states that the request was not executed is missing.
    ],
    ids=["no response", "connection reset", "incomplete response", "503 without X-Not-Run"],
)
async def test_request_with_an_idempotency_key_that_may_have_been_executed_fails_instead_of_being_rejected(
    harness: LimiterHarness, responder: Responder
) -> None:
    """A rejection would state that no server has executed the request, which is unknown here."""
    harness.servers[0].responder = responder
    assert (await harness.send_request(build_request("submit", deadline_ms=400))).status in (502, 504)


@pytest.mark.parametrize("status", [503, 504])
async def test_request_with_an_idempotency_key_that_was_not_executed_is_rejected(
    harness: LimiterHarness, status: int
) -> None:
    harness.servers[0].responder = respond_with(status, b"", "X-Not-Run: 1")
    assert (await harness.send_request(build_request("submit", deadline_ms=400))).status in (429, 503)


@limiter_with(settings=make_raw_settings_with_quota(rate=0.1, burst=4.0))
async def test_customer_over_its_quota_is_rejected_with_retry_after(harness: LimiterHarness) -> None:
    # The admission probability decreases with each reply of the counter.
    response = await resend_while_status(harness, build_request(deadline_ms=60000), status=200)
    assert response.status == 429
    assert 0 < float(response.headers["retry-after"]) <= 20


@limiter_with(servers=2)
async def test_request_is_sent_to_another_server_after_a_refused_connection(harness: LimiterHarness) -> None:
    closed, serving = harness.servers
    closed.listening_server.close()
    await check_served_by(serving, harness, request_count=14)


def respond_endlessly(head: bytes, piece: bytes) -> Responder:
    """Return a responder that writes `head`, then `piece` repeatedly until the connection is closed."""

    async def respond(_received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(head)
        while True:  # `drain` raises an error once the limiter has closed the connection.
            writer.write(piece)
            await writer.drain()

    return respond


INVALID_RESPONSES = {
    "not HTTP": respond_raw(b"what?\r\n\r\n"),
    "body exceeding the size limit": respond_with(200, b"x" * 65537),
    "truncated head": respond_raw(b"HTTP/1.1 200 OK\r\nContent-Le"),
    "head exceeding the size limit": respond_raw(b"HTTP/1.1 200 OK\r\n" + b"X-A: b\r\n" * 10_000),
    "too many interim responses": respond_raw(b"HTTP/1.1 103 Early Hints\r\n\r\n" * 5_000),
    "endless trailers": respond_endlessly(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", b"X-A: b\r\n" * 100
    ),
    "endless chunk extensions": respond_endlessly(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3;", b"x=y;" * 100
    ),
    "body shorter than Content-Length": respond_raw(
        b"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nonly this"
    ),
    "Content-Length of 3 GiB": respond_raw(
        b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nfirst of it"
    ),
    "two different Content-Length headers": respond_raw(
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nabc"
    ),
    "hexadecimal Content-Length": respond_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 0x3\r\n\r\nabc"),
    "Content-Length and chunked Transfer-Encoding": respond_raw(
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    ),
    "unsupported HTTP version": respond_raw(b"HTTP/2.0 200 OK\r\nContent-Length: 3\r\n\r\nabc"),
    "switch to another protocol": respond_raw(b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"),
    "invalid chunk size": respond_raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"),
    # Responses whose stated length was too short were served, with a part of their body.
    "body longer than Content-Length": respond_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nonly this"),
    "body longer than Content-Length, of which only a line break is left": respond_raw(
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nonly\r\n"
    ),
    "body, with a Content-Length of 0": respond_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nonly this"),
    "body longer than Content-Length, on a connection that closes": respond_raw(
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nonly this"
    ),
    "chunk after the last chunk": respond_raw(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nonly\r\n0\r\n\r\n4\r\nthis\r\n0\r\n\r\n"
    ),
}


@pytest.mark.parametrize("responder", INVALID_RESPONSES.values(), ids=INVALID_RESPONSES.keys())
async def test_invalid_response_fails_the_attempt_and_closes_the_connection(
    harness: LimiterHarness, responder: Responder
) -> None:
    harness.servers[0].responder = responder
    # The limiter detects invalid bytes, or that the remaining bytes do not arrive, long before the deadline.
    assert (await harness.send_request(build_request("submit", deadline_ms=60_000))).status in (502, 504)
    harness.servers[0].responder = respond_with(200, b"fine")
    assert (await harness.send_request(build_request("submit", request_id="2"))).body == b"fine"
    assert len({received.connection_number for received in harness.received_requests}) == len(
        harness.received_requests
    )


def respond_without_length(data: bytes, *, is_reset: bool) -> Responder:
    """Return a responder that writes a response, then closes or resets the connection."""

    async def respond(_received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await writer.drain()
        if is_reset:
            linger_without_waiting = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger_without_waiting
            )
        writer.close()

    return respond


@pytest.mark.parametrize(
    ("head", "body"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\n", b"whole"),
        (b"HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n", b"whole"),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", b""),
        (b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", b"whole"),
    ],
    ids=["HTTP/1.1", "HTTP/1.0", "empty", "after an interim response"],
)
async def test_response_without_a_length_ends_with_its_connection(
    harness: LimiterHarness, head: bytes, body: bytes
) -> None:
    """Such responses were taken for resets, and orders that had run got 502."""
    harness.servers[0].responder = respond_without_length(head + body, is_reset=False)
    response = await harness.send_request(build_request("order"))
    assert (response.status, response.body) == (200, body)


@pytest.mark.parametrize(
    ("data", "is_reset"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\npart", True),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", False),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", False),
        (b"HTTP/1.1 200 OK\r\nContent-Type: text", False),
        (b"HTTP/1.1 103 Early Hints\r\n\r\n", False),
    ],
    ids=["reset", "length not reached", "last chunk missing", "incomplete head", "interim response alone"],
)
async def test_incomplete_response_fails_when_its_connection_ends(
    harness: LimiterHarness, data: bytes, is_reset: bool
) -> None:
    """The client must not be served with a part of a response."""
    harness.servers[0].responder = respond_without_length(data, is_reset=is_reset)
    assert (await harness.send_request(build_request("order"))).status == 502


async def test_rejection_with_surplus_bytes_may_have_been_executed(harness: LimiterHarness) -> None:
    """An order was sent again after a response whose stated length was too short."""
    rejection = b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nonly this"
    harness.servers[0].responder = respond_raw(rejection)
    assert (await harness.send_request(build_request("order", deadline_ms=60_000))).status == 502
    assert len(harness.received_requests) == 1


FIRST_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
SECOND_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"


@pytest.mark.parametrize(
    ("tail", "status", "body"),
    [
        (FIRST_RESPONSE, 200, b"one"),
        (SECOND_RESPONSE, 502, None),
        (FIRST_RESPONSE[:20], 502, None),
        (FIRST_RESPONSE + FIRST_RESPONSE, 502, None),
        (FIRST_RESPONSE + b"rubbish", 502, None),
        (b"rubbish", 502, None),
        (b"\r\n", 502, None),
    ],
    ids=["copy", "other response", "part of a copy", "two copies", "copy and noise", "noise", "line break"],
)
async def test_bytes_after_a_response_fail_it_unless_they_are_its_copy_and_are_not_the_next_response(
    harness: LimiterHarness, tail: bytes, status: int, body: bytes | None
) -> None:
    """The bytes may be the rest of the body; if the connection is reused, they go to the next request."""
    harness.servers[0].responder = respond_raw(FIRST_RESPONSE + tail)
    response = await harness.send_request(build_request("order", deadline_ms=60_000))
    assert response.status == status
    if body is not None:
        assert response.body == body
    harness.servers[0].responder = respond_with(200, b"two")
    await asyncio.sleep(2 * MIN_IDLE_BEFORE_REUSE_SECONDS)
    assert (await harness.send_request(build_request())).body == b"two"
    assert [received.connection_number for received in harness.received_requests] == [1, 2]


class DuplicateResponder:
    """A responder that sends two responses to each request.

    Attributes:
        delays_seconds: for each request, the time between its first and its second response.
    """

    def __init__(self) -> None:
        """Create a responder that has not received a request yet."""
        self.delays_seconds: list[float] = []

    async def __call__(self, _received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """Send a response, and a second one in a separate segment after the limiter has read the first."""
        started_at = time.monotonic()
        writer.write(FIRST_RESPONSE)
        await writer.drain()
        await asyncio.sleep(0.002)
        writer.write(FIRST_RESPONSE)
        self.delays_seconds.append(time.monotonic() - started_at)


async def read_body_after_duplicate_response(
    harness: LimiterHarness, duplicate_responder: DuplicateResponder
) -> bytes:
    """Send a request that gets two responses, then one that gets one; return the body of the latter."""
    round_number = len(duplicate_responder.delays_seconds)
    harness.servers[0].responder = duplicate_responder
    client = await harness.connect()
    client.send(build_request(request_id=f"{round_number}a"))
    assert (await client.read_response()).body == b"one"
    harness.servers[0].responder = respond_with(200, b"two")
    client.send(build_request(request_id=f"{round_number}b"))
    response = await client.read_response()
    await wait_until(
        lambda: len(duplicate_responder.delays_seconds) > round_number, "write of the second response"
    )
    return response.body


async def test_late_duplicate_response_is_not_treated_as_the_next_response(harness: LimiterHarness) -> None:
    """The second response arrives after the first was forwarded, but before the connection may be reused.

    Rounds in which a busy machine delayed it beyond that time do not count.
    """
    duplicate_responder = DuplicateResponder()
    rounds_in_time = 0
    while rounds_in_time < 20:
        body = await read_body_after_duplicate_response(harness, duplicate_responder)
        if duplicate_responder.delays_seconds[-1] < MIN_IDLE_BEFORE_REUSE_SECONDS:
            rounds_in_time += 1
            assert body == b"two"


async def test_interim_response_is_ignored(harness: LimiterHarness) -> None:
    harness.servers[0].responder = respond_raw(
        b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes"
    )
    assert (await harness.send_request(build_request())).body == b"yes"


async def test_slow_response_in_parts_after_an_interim_response_is_accepted(harness: LimiterHarness) -> None:
    async def respond_slowly(_received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n")
        # The stall timeout does not apply to the time between an interim response and the final one.
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
    # This is within the keepalive time of the server, but after the half of it up to which the limiter reuses
    # connections.
    await asyncio.sleep(0.8 * KEEPALIVE_SECONDS)
    assert (await harness.send_request(build_request("submit", request_id="2"))).status == 200
    assert [received.connection_number for received in harness.received_requests] == [1, 2]


async def test_sockets_of_disconnected_clients_are_closed(harness: LimiterHarness) -> None:
    harness.servers[0].responder = never_respond
    descriptors_before = harness.count_open_descriptors()
    for index in range(20):
        client = await harness.connect()
        client.send(build_request(request_id=str(index), deadline_ms=500))
        await asyncio.sleep(0.03)
        client.close()
    assert harness.received_requests
    await wait_until(
        lambda: harness.count_open_descriptors() <= descriptors_before + 1,
        "close of all sockets of disconnected clients",
    )
    harness.servers[0].responder = respond_with(200, b"fine")
    # After missing responses, the limiter assumes for a while that the server has no capacity, and rejects.
    response = await resend_while_status(harness, build_request(request_id="last"), status=429)
    assert response.body == b"fine"


@contextlib.contextmanager
def listen_with_full_backlog(port: int) -> Iterator[None]:
    """Listen with a full backlog and accept nothing: dials do not complete, as in a network partition."""
    with socket.socket() as listening, socket.socket() as filler:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(("127.0.0.1", port))
        listening.listen(0)
        filler.connect(("127.0.0.1", port))
        yield


@limiter_with(servers=2)
async def test_dial_to_a_server_that_never_accepts_times_out_and_another_server_is_used(
    harness: LimiterHarness,
) -> None:
    blocked, serving = harness.servers
    blocked.listening_server.close()
    await asyncio.sleep(0)  # asyncio closes the socket in this iteration of the event loop.
    with listen_with_full_backlog(blocked.port):
        started_at = time.monotonic()
        await check_served_by(serving, harness, request_count=8)
        assert time.monotonic() - started_at < WAIT_TIMEOUT_SECONDS
