"""Tests that an invalid request gets an error response and is not forwarded to a server."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from tests.support.client import build_request
from tests.support.fake_server import list_request_ids
from tests.support.harness import LimiterHarness, running_limiter

MAX_BODY_BYTES = 65_536  # The protocol's limit on the length of a request body.

# For each case: the bytes that a client sends, and the status of the only response to them.
MALFORMED_HTTP = {
    "not HTTP": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400),
    "missing HTTP version": (b"GET\r\n\r\n", 400),
    "protocol upgrade": (b"GET /x HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", 400),
    "head exceeding the size limit": (b"GET /x HTTP/1.1\r\nA: " + b"a" * 200_000, 400),
    "two different Content-Length headers": (
        b"POST /x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        400,
    ),
    "Content-Length before chunked Transfer-Encoding": (
        b"POST /x HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        400,
    ),
    "chunked Transfer-Encoding before Content-Length": (
        b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n",
        400,
    ),
    "two equal Content-Length headers": (
        b"POST /x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na",
        400,
    ),
    "negative Content-Length": (build_request("submit", headers={"Content-Length": "-1"}), 400),
    "Content-Length with a plus sign": (build_request("submit", headers={"Content-Length": "+1"}), 400),
    "Content-Length with an underscore": (build_request("submit", headers={"Content-Length": "1_0"}), 400),
    "Content-Length with a list of values": (
        build_request("submit", headers={"Content-Length": "1, 1"}),
        400,
    ),
    "Content-Length of 40 digits": (build_request("submit", headers={"Content-Length": "9" * 40}), 400),
    "unknown transfer coding": (
        build_request("submit", without_header="Content-Length", headers={"Transfer-Encoding": "gzip"}),
        400,
    ),
    "line feeds without carriage returns": (build_request().replace(b"\r\n", b"\n"), 400),
    "one line feed without a carriage return": (build_request().replace(b"\r\nX-Class", b"\nX-Class"), 400),
    "header folded over two lines": (build_request().replace(b"X-Class: read", b"X-Class:\r\n read"), 400),
    "space before the colon of a header": (
        build_request("submit").replace(b"Content-Length:", b"Content-Length :"),
        400,
    ),
    "null byte in a header": (build_request(headers={"X-Note": "a\0b"}), 400),
    "GET with a body": (build_request(headers={"Content-Length": "3"}) + b"abc", 400),
}
INVALID_PROTOCOL_HEADERS = {
    "request id with a space": (build_request(headers={"X-Request-Id": "a b"}), 400),
    "request id exceeding the length limit": (build_request(headers={"X-Request-Id": "a" * 200}), 400),
    "units with an underscore": (build_request(headers={"X-Weight": "units=1_0,spread=1,first=0"}), 400),
    "negative units": (build_request(headers={"X-Weight": "units=-1,spread=1,first=0"}), 400),
    "zero units": (build_request(headers={"X-Weight": "units=0,spread=1,first=0"}), 400),
    "more units than the settings allow": (
        build_request(headers={"X-Weight": "units=2,spread=1,first=0"}),
        400,
    ),
    "duplicate units": (build_request(headers={"X-Weight": "units=1,units=1,spread=1,first=0"}), 400),
    "empty limiter set": (build_request(headers={"X-Weight": "units=1,spread=0,first=0"}), 400),
    "limiter set larger than the fleet": (
        build_request(headers={"X-Weight": "units=1,spread=2,first=0"}),
        400,
    ),
    "limiter set that starts beyond the fleet": (
        build_request(headers={"X-Weight": "units=1,spread=1,first=1"}),
        400,
    ),
    "fractional limiter set": (build_request(headers={"X-Weight": "units=1,spread=0.5,first=0"}), 400),
    "missing request id": (build_request(without_header="X-Request-Id"), 400),
    "missing class": (build_request(without_header="X-Class"), 400),
    "unknown class": (build_request("other"), 400),
    "class that differs from the path's": (build_request(headers={"X-Class": "submit"}), 400),
    "missing plan": (build_request(without_header="X-Tariff"), 400),
    "unknown plan": (build_request(headers={"X-Tariff": "gold"}), 400),
    "missing deadline": (build_request(without_header="X-Deadline-Ms"), 400),
    "deadline that is not a number": (build_request(headers={"X-Deadline-Ms": "soon"}), 400),
    "deadline of zero": (build_request(headers={"X-Deadline-Ms": "0"}), 400),
    "negative deadline": (build_request(headers={"X-Deadline-Ms": "-5"}), 400),
    "deadline of 30 digits": (build_request(headers={"X-Deadline-Ms": "9" * 30}), 400),
    "missing weight": (build_request(without_header="X-Weight"), 400),
    "infinite units": (build_request(headers={"X-Weight": "units=inf,spread=1,first=0"}), 400),
    "units that are NaN": (build_request(headers={"X-Weight": "units=nan,spread=1,first=0"}), 400),
    "incomplete weight": (build_request(headers={"X-Weight": "units=1,spread"}), 400),
    "customer id with too few digits": (build_request(customer="1234"), 400),
    "customer id with a hexadecimal prefix": (build_request(customer="0x000000b4d65521"), 400),
    "customer id exceeding the largest value": (build_request(customer="f" * 16), 400),
    "missing idempotency key": (build_request("submit", without_header="Idempotency-Key"), 400),
    "method that does not match the class": (build_request().replace(b"GET", b"POST"), 400),
    "duplicate header": (build_request().replace(b"\r\n\r\n", b"\r\nX-Class: submit\r\n\r\n"), 400),
}
TOO_LONG_BODIES = {
    "body exceeding the length limit": (build_request("submit", body=b"x" * (MAX_BODY_BYTES + 1)), 413),
    "Content-Length exceeding the length limit": (
        build_request("submit", headers={"Content-Length": "9999999999"}),
        413,
    ),
    "chunked body exceeding the length limit": (
        build_request("submit", without_header="Content-Length", headers={"Transfer-Encoding": "chunked"})
        + b"8000\r\n%b\r\n" % (b"x" * 0x8000) * 3
        + b"0\r\n\r\n",
        413,
    ),
}
BAD_REQUESTS = MALFORMED_HTTP | INVALID_PROTOCOL_HEADERS | TOO_LONG_BODIES


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def shared_harness() -> AsyncIterator[LimiterHarness]:
    """Run one limiter for all cases, because starting a process for each would take most of the test time."""
    async with running_limiter() as running:
        yield running


@pytest.mark.asyncio(loop_scope="module")
@pytest.mark.parametrize(("data", "status"), BAD_REQUESTS.values(), ids=BAD_REQUESTS.keys())
async def test_bad_request_gets_one_error_response_and_is_not_forwarded(
    data: bytes, status: int, shared_harness: LimiterHarness
) -> None:
    """The connection is closed after the response, and a valid request is served afterwards."""
    client = await shared_harness.connect()
    client.send(data)
    assert (await client.read_response()).status == status
    client.writer.write_eof()
    assert await client.read_until_closed() == b""
    client.close()
    largest_request = build_request("submit", request_id="good", body=b"x" * MAX_BODY_BYTES)
    assert (await shared_harness.send_request(largest_request)).status == 200
    # These are all requests since the limiter started, so a request of an earlier case that is forwarded late
    # is found too.
    assert set(list_request_ids(shared_harness.received_requests)) == {"good"}


SMUGGLED_REQUEST = build_request(request_id="hidden")


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 5\r\nTransfer-Encoding: chunked",
        b"Transfer-Encoding: chunked\r\nContent-Length: 5",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        b"Content-Length: 5\r\nContent-Length: %d" % (5 + len(SMUGGLED_REQUEST)),
        b"Content-Length: 5\r\nContent-Length: 5",
        b"Content-Length: 5,5",
        b"Content-Length: -5",
        b"Transfer-Encoding: chunked, identity",
        b"Transfer-Encoding: xchunked",
    ],
)
async def test_request_smuggled_by_ambiguous_body_framing_is_not_forwarded(
    harness: LimiterHarness, framing: bytes
) -> None:
    """Bytes that a server could read as part of the body must not be parsed as a separate request."""
    client = await harness.connect()
    head = build_request("submit", without_header="Content-Length").removesuffix(b"\r\n")
    client.send(head + framing + b"\r\n\r\n0\r\n\r\n" + SMUGGLED_REQUEST)
    assert (await client.read_response()).status == 400
    client.writer.write_eof()
    assert await client.read_until_closed() == b""
    assert (await harness.send_request(build_request(request_id="good"))).status == 200
    assert list_request_ids(harness.received_requests) == ["good"]
