"""Requests that follow each other on one client connection: of unlike customers, or of a client that left."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tests.support.client import build_request
from tests.support.fake_server import ReceivedRequest, list_request_ids, respond_after, respond_with
from tests.support.harness import LimiterHarness, limiter_with
from tests.support.limiter_settings import make_raw_settings
from tests.support.waiting import wait_until


async def test_a_pipelined_request_is_not_forwarded_once_its_client_disconnected(
    harness: LimiterHarness,
) -> None:
    """It is dropped with its connection."""
    released = asyncio.Event()
    harness.servers[0].responder = respond_after(released, respond_with(200))
    client = await harness.connect()
    client.send(build_request("order", request_id="1") + build_request("order", request_id="2"))
    await wait_until(lambda: harness.received_requests)
    descriptors_before = harness.count_open_descriptors()
    client.close()
    await wait_until(
        lambda: harness.count_open_descriptors() < descriptors_before, "the limiter has closed it too"
    )
    released.set()
    assert (await harness.send_request(build_request("order", request_id="3"))).status == 200
    assert list_request_ids(harness.received_requests) == ["1", "3"]


@dataclass(frozen=True)
class MixedRequest:
    """One of the requests of unlike customers, classes, plans and deadlines that share a connection."""

    request_id: str
    request_class: str
    customer: str
    plan: str
    weight: str
    deadline_ms: int

    @classmethod
    def numbered(cls, number: int) -> MixedRequest:
        """Make the request with this number; neighbouring numbers differ in every part."""
        return cls(
            request_id=f"r{number}",
            request_class=("read", "order", "submit")[number % 3],
            customer=f"{number % 4:016x}",
            plan=("free", "one")[number % 2],
            weight=f"units=1,spread={1 + number % 3},first={number % 2}",
            deadline_ms=1000 + number,
        )

    def encode(self) -> bytes:
        """Return the request as a client sends it."""
        return build_request(
            self.request_class,
            request_id=self.request_id,
            customer=self.customer,
            deadline_ms=self.deadline_ms,
            headers={"X-Tariff": self.plan, "X-Weight": self.weight},
        )

    def expected_response(self) -> tuple[int, bytes]:
        """Return status and body for a client whose server responds with `respond_by_class`."""
        return (502, b"") if self.request_class == "order" else (200, self.request_id.encode())

    def check_forwarded(self, received: ReceivedRequest) -> None:
        """Check that a server received this request with its own path, headers and deadline."""
        assert received.request_line.split()[1] == f"/{self.request_class}/{self.customer}"
        assert (received.headers["x-tariff"], received.headers["x-weight"]) == (self.plan, self.weight)
        assert int(received.headers["x-deadline-ms"]) <= self.deadline_ms


async def respond_by_class(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Respond with an error to an `order`, and with the request's id to the other classes."""
    status = 500 if request.headers["x-class"] == "order" else 200
    await respond_with(status, request.headers["x-request-id"].encode())(request, writer)


UNLIMITED_PLAN = {"quotaRate": 0.0, "peakUnits": 0.0, "valueFactor": 1.0}
TWO_PLANS = [{**UNLIMITED_PLAN, "name": "free"}, {**UNLIMITED_PLAN, "name": "one", "open": 1}]


@limiter_with(settings=make_raw_settings(contracts=TWO_PLANS, peersTotal=3))
async def test_requests_of_unlike_customers_and_classes_share_a_connection(harness: LimiterHarness) -> None:
    """Each keeps its own headers, deadline and outcome."""
    harness.servers[0].responder = respond_by_class
    client = await harness.connect()
    for number in range(12):
        request = MixedRequest.numbered(number)
        client.send(request.encode())
        response = await client.read_response()
        assert (response.status, response.body) == request.expected_response()
        for received in harness.received_requests:
            if received.headers["x-request-id"] == request.request_id:
                request.check_forwarded(received)
    orders = [received for received in harness.received_requests if received.headers["x-class"] == "order"]
    assert list_request_ids(orders) == ["r1", "r4", "r7", "r10"]  # Each order was forwarded once: no retries.
