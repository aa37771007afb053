"""Tests of several requests on one client connection: pipelined by a client that disconnects, and mixed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest

from limiter.transport.clients.request_queue import MAX_PIPELINED_REQUESTS
from tests.support.client import build_request
from tests.support.fake_server import (
    ReceivedRequest,
    list_request_ids,
    never_respond,
    respond_after,
    respond_with,
)
from tests.support.harness import LimiterHarness, limiter_with
from tests.support.limiter_settings import CLASSES_WITH_LONG_LATENCY_OBJECTIVE, make_raw_settings
from tests.support.waiting import wait_until


async def test_pipelined_request_is_not_forwarded_after_its_client_disconnected(
    harness: LimiterHarness,
) -> None:
    """The second request still waits for the first response when the client closes the connection."""
    released = asyncio.Event()
    harness.servers[0].responder = respond_after(released, respond_with(200))
    client = await harness.connect()
    client.send(build_request("order", request_id="1") + build_request("order", request_id="2"))
    await wait_until(lambda: harness.received_requests)
    descriptors_before = harness.count_open_descriptors()
    client.close()
    await wait_until(
        lambda: harness.count_open_descriptors() < descriptors_before,
        "close of the connection by the limiter",
    )
    released.set()
    assert (await harness.send_request(build_request("order", request_id="3"))).status == 200
    assert list_request_ids(harness.received_requests) == ["1", "3"]


@dataclass(frozen=True)
class MixedRequest:
    """One of several requests on a connection, which differ in customer, class, plan and deadline."""

    request_id: str
    request_class: str
    customer: str
    plan: str
    weight: str
    deadline_ms: int

    @classmethod
    def with_number(cls, number: int) -> MixedRequest:
        """Create the request with this number; requests with successive numbers differ in every field."""
        return cls(
            request_id=f"r{number}",
            request_class=("read", "order", "submit")[number % 3],
            customer=f"{number % 4:016x}",
            plan=("free", "one")[number % 2],
            weight=f"units=1,spread={1 + number % 3},first={number % 2}",
            deadline_ms=1000 + number,
        )

    def encode(self) -> bytes:
        """Return the bytes of the request."""
        return build_request(
            self.request_class,
            request_id=self.request_id,
            customer=self.customer,
            deadline_ms=self.deadline_ms,
            headers={"X-Tariff": self.plan, "X-Weight": self.weight},
        )

    def expected_response(self) -> tuple[int, bytes]:
        """Return the status and body that the client receives if the server uses `respond_by_class`."""
        return (502, b"") if self.request_class == "order" else (200, self.request_id.encode())

    def check_forwarded(self, received: ReceivedRequest) -> None:
        """Check that the server received this request with the path, headers and deadline of its own."""
        assert received.request_line.split()[1] == f"/{self.request_class}/{self.customer}"
        assert (received.headers["x-tariff"], received.headers["x-weight"]) == (self.plan, self.weight)
        assert int(received.headers["x-deadline-ms"]) <= self.deadline_ms


async def respond_by_class(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Respond with an error to requests of class `order`, and with the request's id to all others."""
    status = 500 if request.headers["x-class"] == "order" else 200
    await respond_with(status, request.headers["x-request-id"].encode())(request, writer)


UNLIMITED_PLAN = {"quotaRate": 0.0, "peakUnits": 0.0, "valueFactor": 1.0}
TWO_UNLIMITED_PLANS = [{**UNLIMITED_PLAN, "name": "free"}, {**UNLIMITED_PLAN, "name": "one", "open": 1}]


@limiter_with(settings=make_raw_settings(contracts=TWO_UNLIMITED_PLANS, peersTotal=3))
async def test_requests_on_one_connection_keep_their_own_headers_deadlines_and_outcomes(
    harness: LimiterHarness,
) -> None:
    """State that is left from one request must not affect the next one on the same connection."""
    harness.servers[0].responder = respond_by_class
    client = await harness.connect()
    for number in range(12):
        request = MixedRequest.with_number(number)
        client.send(request.encode())
        response = await client.read_response()
        assert (response.status, response.body) == request.expected_response()
        for received in harness.received_requests:
            if received.headers["x-request-id"] == request.request_id:
                request.check_forwarded(received)
    orders = [received for received in harness.received_requests if received.headers["x-class"] == "order"]
    assert list_request_ids(orders) == [
        "r1",
        "r4",
        "r7",
        "r10",
    ]  # Each request was forwarded once, without a retry.


def build_numbered_requests(count: int) -> list[bytes]:
    """Return requests with the ids 0, 1, ..."""
    return [build_request("order", request_id=str(number)) for number in range(count)]


async def test_all_requests_sent_at_once_get_their_response(harness: LimiterHarness) -> None:
    """The 18th request failed its connection, and the 17 before it got no response either."""
    client = await harness.connect()
    request_count = MAX_PIPELINED_REQUESTS + 4
    client.send(b"".join(build_numbered_requests(request_count)))
    responses = [await client.read_response() for _ in range(request_count)]
    statuses = [response.status for response in responses]
    assert statuses == [200] * (1 + MAX_PIPELINED_REQUESTS) + [503] * 3
    assert all(float(response.headers["retry-after"]) > 0 for response in responses[-3:])
    client.send(build_request("order", request_id="next"))
    assert (await client.read_response()).status == 200
    forwarded_ids = [str(number) for number in range(1 + MAX_PIPELINED_REQUESTS)]
    assert list_request_ids(harness.received_requests) == [*forwarded_ids, "next"]


@limiter_with(settings=make_raw_settings(classes=CLASSES_WITH_LONG_LATENCY_OBJECTIVE))
@pytest.mark.parametrize("request_count", [40, 600])
async def test_many_more_requests_sent_at_once_fail_immediately_and_each_gets_its_response(
    harness: LimiterHarness, request_count: int
) -> None:
    """The client gets an error before a server has responded to its first request, which may have run."""
    harness.servers[0].responder = never_respond
    client = await harness.connect()
    client.send(build_request("submit", deadline_ms=60_000, request_id="first"))
    await wait_until(lambda: harness.received_requests)
    client.send(b"".join(build_numbered_requests(request_count)))
    statuses = [(await client.read_response()).status for _ in range(1 + request_count)]
    assert statuses == [400] + [503] * request_count
    harness.servers[0].responder = respond_with(200)
    client.send(build_request("order", request_id="next"))
    assert (await client.read_response()).status == 200
    assert list_request_ids(harness.received_requests) == ["first", "next"]
