"""Tests of dials that succeed after the server started draining or changed, or the client disconnected."""

from __future__ import annotations

from typing import Any

import pytest

from tests.support.client import Connection, build_request
from tests.support.fake_server import list_request_ids, never_respond
from tests.support.harness import LimiterHarness, limiter_with, wait_until_latest_list_applied
from tests.support.limiter_settings import make_raw_settings
from tests.support.waiting import wait_until

LONG_DIAL_TIMEOUT = make_raw_settings(
    limits={"maxAttempts": 4, "dialTimeout": 90_000.0, "keepalive": 30_000.0}
)


async def publish_and_wait(
    harness: LimiterHarness, *entries: dict[str, Any], full_list: bool = False
) -> None:
    """Publish a full endpoint list or changes to it, and wait until the limiter has applied them."""
    harness.discovery.publish(*entries, full_list=full_list)
    await wait_until_latest_list_applied(harness)


async def connect_client_waiting_for_dial(harness: LimiterHarness) -> Connection:
    """Return a client whose request waits for a dial to the slow server."""
    await publish_and_wait(harness, harness.slow_servers[0].make_list_entry(), full_list=True)
    client = await harness.connect()
    client.send(build_request("order", deadline_ms=60_000))
    await wait_until(harness.slow_servers[0].count_pending_connections, "start of the dial")
    return client


@pytest.mark.parametrize(
    "change",
    [
        {"state": "leaving"},
        {"state": "left"},
        {"startedAtMs": 5},
        {"hostPort": "127.0.0.1:9"},  # No process listens on this address.
    ],
)
@limiter_with(settings=LONG_DIAL_TIMEOUT, slow_servers=1)
async def test_request_is_not_sent_if_its_server_drains_or_changes_during_the_dial(
    harness: LimiterHarness, change: Any
) -> None:
    """The limiter learns of the change while the dial is in progress.

    The attempt has not been sent, so the request is sent to another server.
    """
    client = await connect_client_waiting_for_dial(harness)
    await publish_and_wait(
        harness, harness.slow_servers[0].make_list_entry(**change), harness.servers[1].make_list_entry()
    )
    await harness.slow_servers[0].accept_connections()
    assert (await client.read_response()).body == b"from s-0"  # A retry is safe, because nothing was sent.
    assert harness.slow_servers[0].received_requests == []


@limiter_with(settings=LONG_DIAL_TIMEOUT, slow_servers=1)
async def test_request_is_not_sent_if_its_client_disconnects_during_the_dial(
    harness: LimiterHarness,
) -> None:
    """The dial is cancelled when the client disconnects."""
    client = await connect_client_waiting_for_dial(harness)
    client.close()
    await wait_until(
        lambda: not harness.slow_servers[0].count_pending_connections(), "cancellation of the dial"
    )
    await harness.slow_servers[0].accept_connections()
    assert (await harness.send_request(build_request("submit", request_id="2"))).status == 200
    assert list_request_ids(harness.slow_servers[0].received_requests) == ["2"]


CLASSES_WITH_SHORT_WINDOW = [
    {**request_class, "group": "all", "window": 1000.0} for request_class in make_raw_settings()["classes"]
]


@limiter_with(
    settings=make_raw_settings(
        classes=CLASSES_WITH_SHORT_WINDOW,
        limits={"maxAttempts": 4, "dialTimeout": 90_000.0, "keepalive": 30_000.0},
    ),
    slow_servers=1,
)
async def test_order_with_a_key_is_not_sent_again_after_its_window(harness: LimiterHarness) -> None:
    """The first attempt times out, and the connection of the retry comes up after the window has ended."""
    slow_server, first_server = harness.servers
    first_server.responder = never_respond
    harness.discovery.publish(first_server.make_list_entry(), full_list=True)
    await wait_until_latest_list_applied(harness)
    client = await harness.connect()
    client.send(build_request("submit", deadline_ms=60_000))
    await wait_until(lambda: first_server.received_requests, "first attempt")
    harness.discovery.publish(slow_server.make_list_entry())
    # A failure and not a rejection: the first attempt may have run.
    assert (await client.read_response()).status == 502
    assert harness.slow_servers[0].count_pending_connections() == 0
    await harness.slow_servers[0].accept_connections()
    first_server.responder = slow_server.responder
    for number in range(6):
        assert (await harness.send_request(build_request(request_id=f"next-{number}"))).status == 200
    assert "9b1f03aa5c7e2d41" not in [
        request.headers["x-request-id"] for request in slow_server.received_requests
    ]
