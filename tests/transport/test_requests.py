"""Requests over loopback sockets: forwarded, and answered once and in time, whatever servers do."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from limiter.transport.servers.server_connection import STALL_SECONDS
from limiter.transport.servers.server_pool import SETTLE_SECONDS
from tests.support.client import HEALTH_CHECK, Response, http_request
from tests.support.fake_server import (
    Answer,
    FakeServer,
    ReceivedRequest,
    never_answer,
    reset_connection,
    respond_raw,
    respond_with,
)
from tests.support.harness import LimiterHarness, run_scenario
from tests.support.limiter_settings import settings, settings_with_quota
from tests.support.waiting import PATIENCE_SECONDS, wait_until


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
        await harness.send_request(http_request("submit", request_id=str(index)))
        for index in range(request_count)
    ]
    statuses = [response.status for response in responses]
    assert set(statuses) <= {
        200,
        503,
    }  # never failed: an attempt without a connection is known not to have run
    assert len(server.received) == statuses.count(200) > 4


def test_request_and_response_are_forwarded_unchanged() -> None:
    async def scenario(harness: LimiterHarness) -> None:
        harness.servers[0].answer = respond_with(200, b"\x00answer", "Content-Type: text/x")
        response = await harness.send_request(
            http_request("submit", body=b"a\r\n\r\nbody", query="?a=1&b=%20", headers={"Accept": "text/x"})
        )
        assert response.status == 200
        assert response.body == b"\x00answer"
        assert response.headers["content-type"] == "text/x"
        [received] = harness.received
        assert received.line == "POST /submit/00000000b4d65521?a=1&b=%20 HTTP/1.1"
        assert received.body == b"a\r\n\r\nbody"
        assert received.headers["x-request-id"] == "9b1f03aa5c7e2d41"
        assert received.headers["idempotency-key"] == "5c0f6e1a"
        assert received.headers["accept"] == "text/x"
        assert 0 < int(received.headers["x-deadline-ms"]) < 3000

    run_scenario(scenario)


def test_chunked_body_is_forwarded_once_complete_and_connections_are_reused() -> None:
    async def scenario(harness: LimiterHarness) -> None:
        client = await harness.connect()
        for index in range(3):
            head = http_request(
                "submit", without_header="Content-Length", headers={"Transfer-Encoding": "chunked"}
            )
            client.send(head + b"3\r\nabc\r\n")
            await asyncio.sleep(0.05)
            assert len(harness.received) == index  # nothing is forwarded before the body is complete
            client.send(b"4\r\ndefg\r\n0\r\n\r\n")
            assert (await client.response()).status == 200
        assert [received.body for received in harness.received] == [b"abcdefg"] * 3
        assert {received.connection for received in harness.received} == {1}

    run_scenario(scenario)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def scenario(harness: LimiterHarness) -> None:
        client = await harness.connect()
        client.send(http_request(request_id="1") + HEALTH_CHECK + http_request(request_id="2"))
        assert [(await client.response()).body for _ in range(3)] == [b"from s-0", b"ready\n", b"from s-0"]

    run_scenario(scenario)


def test_request_that_no_server_answers_ends_at_its_deadline() -> None:
    async def scenario(harness: LimiterHarness) -> None:
        harness.servers[0].answer = never_answer
        client = await harness.connect()
        began = time.monotonic()
        client.send(http_request(deadline_ms=300))
        assert (await client.response()).status in (429, 503, 504)
        assert time.monotonic() - began > 0.25  # not given up before its deadline
        harness.servers[0].answer = respond_with(200, b"next")
        client.send(http_request(request_id="2"))
        assert (await client.response()).body == b"next"  # not the late one to the first

    run_scenario(scenario)


@pytest.mark.parametrize(
    "answer",
    [
        never_answer,
        reset_connection,
        respond_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut"),
        respond_with(503),  # an error without proof that it did not run
    ],
    ids=["no response", "reset", "incomplete response", "error without proof"],
)
def test_keyed_request_that_may_have_run_fails_and_is_never_rejected(answer: Answer) -> None:
    async def scenario(harness: LimiterHarness) -> None:
        harness.servers[0].answer = answer
        assert (await harness.send_request(http_request("submit", deadline_ms=400))).status in (502, 504)

    run_scenario(scenario)


@pytest.mark.parametrize("status", [503, 504])
def test_keyed_request_proved_not_to_have_run_is_rejected(status: int) -> None:
    async def scenario(harness: LimiterHarness) -> None:
        harness.servers[0].answer = respond_with(status, b"", "X-Not-Run: 1")
        assert (await harness.send_request(http_request("submit", deadline_ms=400))).status in (429, 503)

    run_scenario(scenario)


def test_customer_over_its_quota_is_rejected_with_retry_after() -> None:
    async def scenario(harness: LimiterHarness) -> None:
        # The admission probability falls with each reading of the counter.
        response = await send_while(harness, http_request(deadline_ms=60000), status=200)
        assert response.status == 429
        assert 0 < float(response.headers["retry-after"]) <= 20

    run_scenario(scenario, settings=settings_with_quota(rate=0.1, burst=4.0))


def test_refused_connection_leads_to_another_server() -> None:
    async def scenario(harness: LimiterHarness) -> None:
        closed, serving = harness.servers
        closed.server.close()
        await check_served_by(serving, harness, request_count=14)

    run_scenario(scenario, servers=2)


def respond_endlessly(head: bytes, piece: bytes) -> Answer:
    """Make an answer that goes on for as long as it is read."""

    async def answer(_received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(head)
        while True:  # ends with the connection
            writer.write(piece)
            await writer.drain()

    return answer


INVALID_RESPONSES = {
    "not HTTP": respond_raw(b"what?\r\n\r\n"),
    "body over its limit": respond_with(200, b"x" * 65537),
    "cut head": respond_raw(b"HTTP/1.1 200 OK\r\nContent-Le"),
    "head without end": respond_raw(b"HTTP/1.1 200 OK\r\n" + b"X-A: b\r\n" * 10_000),
    "interim answers without end": respond_raw(b"HTTP/1.1 103 Early Hints\r\n\r\n" * 5_000),
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


@pytest.mark.parametrize("answer", INVALID_RESPONSES.values(), ids=INVALID_RESPONSES.keys())
def test_invalid_response_fails_the_attempt_and_closes_the_connection(answer: Answer) -> None:
    async def scenario(harness: LimiterHarness) -> None:
        harness.servers[0].answer = answer
        # Noticed by what came, or by the rest that does not come, long before the deadline.
        assert (await harness.send_request(http_request("submit", deadline_ms=60_000))).status in (502, 504)
        harness.servers[0].answer = respond_with(200, b"fine")
        assert (await harness.send_request(http_request("submit", request_id="2"))).body == b"fine"
        assert len({received.connection for received in harness.received}) == len(harness.received)

    run_scenario(scenario)


RESPONSE_ONE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
SECOND_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"


@pytest.mark.parametrize("tail", [SECOND_RESPONSE, SECOND_RESPONSE[:20], b"rubbish"])
def test_bytes_behind_a_response_are_not_the_next_response(tail: bytes) -> None:
    async def scenario(harness: LimiterHarness) -> None:
        harness.servers[0].answer = respond_raw(RESPONSE_ONE + tail)
        assert (await harness.send_request(http_request())).body == b"one"
        harness.servers[0].answer = respond_with(200, b"two")
        assert (await harness.send_request(http_request())).body == b"two"

    run_scenario(scenario)


def test_late_second_response_is_not_the_next_response() -> None:
    delays: list[float] = []  # seconds from each first response to the second

    async def respond_twice(_received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        began = time.monotonic()
        writer.write(RESPONSE_ONE)
        await writer.drain()
        await asyncio.sleep(0.002)  # in a segment of its own, just after the first one was taken
        writer.write(RESPONSE_ONE)
        delays.append(time.monotonic() - began)

    async def send_two_at_once(harness: LimiterHarness, number: int) -> bytes:
        harness.servers[0].answer = respond_twice
        client = await harness.connect()
        client.send(http_request(request_id=f"{number}a"))
        assert (await client.response()).body == b"one"
        harness.servers[0].answer = respond_with(200, b"two")
        client.send(http_request(request_id=f"{number}b"))
        response = await client.response()
        await wait_until(lambda: len(delays) > number, "the second response is written")
        return response.body

    async def scenario(harness: LimiterHarness) -> None:
        rounds_in_time = 0  # in which this process was not kept from writing the second response in time
        while rounds_in_time < 20:
            body = await send_two_at_once(harness, len(delays))
            if delays[-1] < SETTLE_SECONDS:
                rounds_in_time += 1
                assert body == b"two"

    run_scenario(scenario)


def test_interim_response_is_passed_over() -> None:
    async def scenario(harness: LimiterHarness) -> None:
        harness.servers[0].answer = respond_raw(
            b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes"
        )
        assert (await harness.send_request(http_request())).body == b"yes"

    run_scenario(scenario)


def test_response_may_be_slow_after_an_interim_one_and_come_in_parts() -> None:
    async def respond_slowly(_received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n")
        await asyncio.sleep(2 * STALL_SECONDS)  # it works on the request
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n")
        for part in (b"in", b"pa", b"rt"):
            await asyncio.sleep(STALL_SECONDS / 3)
            writer.write(part)

    async def scenario(harness: LimiterHarness) -> None:
        harness.servers[0].answer = respond_slowly
        assert (await harness.send_request(http_request("submit", deadline_ms=60_000))).body == b"inpart"
        assert len(harness.received) == 1

    run_scenario(scenario)


def test_idle_connections_are_closed_before_their_servers_reset_them() -> None:
    limits = {"maxAttempts": 4, "dialTimeout": 250.0, "keepalive": 1000.0}

    async def scenario(harness: LimiterHarness) -> None:
        assert (await harness.send_request(http_request("submit"))).status == 200
        await asyncio.sleep(0.8)  # within the keepalive, past the share of it in which it is reused
        assert (await harness.send_request(http_request("submit", request_id="2"))).status == 200
        assert [received.connection for received in harness.received] == [1, 2]

    run_scenario(scenario, settings=settings(limits=limits))


def test_disconnected_clients_leave_no_sockets_behind() -> None:
    async def scenario(harness: LimiterHarness) -> None:
        harness.servers[0].answer = never_answer
        before = harness.descriptors()
        for index in range(20):
            client = await harness.connect()
            client.send(http_request(request_id=str(index), deadline_ms=500))
            await asyncio.sleep(0.03)
            client.close()
        assert harness.received
        await wait_until(lambda: harness.descriptors() <= before + 1, "all sockets closed")
        harness.servers[0].answer = respond_with(200, b"fine")
        # For a while a silent server counts as a full one.
        response = await send_while(harness, http_request(request_id="last"), status=429)
        assert response.body == b"fine"

    run_scenario(scenario)


def test_server_that_never_accepts_is_given_up_in_time() -> None:
    async def scenario(harness: LimiterHarness) -> None:
        blocked, serving = harness.servers
        # A full backlog that nobody accepts from: new connections stay silent, as with a machine cut off.
        blocked.server.close()
        await asyncio.sleep(0)
        with socket.socket() as listening, socket.socket() as filler:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.bind(("127.0.0.1", blocked.port))
            listening.listen(0)
            filler.connect(("127.0.0.1", blocked.port))
            began = time.monotonic()
            await check_served_by(serving, harness, request_count=8)
            assert time.monotonic() - began < PATIENCE_SECONDS

    run_scenario(scenario, servers=2)
