"""A dial that succeeds after its server drained or changed, or after its client disconnected."""

from __future__ import annotations

from typing import Any

import pytest

from tests.support.client import Connection, build_request
from tests.support.fake_server import list_request_ids
from tests.support.harness import LimiterHarness, limiter_with, wait_until_latest_list_applied
from tests.support.limiter_settings import make_raw_settings
from tests.support.waiting import wait_until

LONG_DIAL_TIMEOUT = make_raw_settings(
    limits={"maxAttempts": 4, "dialTimeout": 90_000.0, "keepalive": 30_000.0}
)


async def publish(harness: LimiterHarness, *entries: dict[str, Any], full_list: bool = False) -> None:
    """Publish a list, or changes of it, and wait until the limiter has read them."""
    harness.discovery.publish(*entries, full_list=full_list)
    await wait_until_latest_list_applied(harness)


async def client_of_dialled_server(harness: LimiterHarness) -> Connection:
    """Return a client whose request waits for a connection to the slow server."""
    await publish(harness, harness.slow_servers[0].make_list_entry(), full_list=True)
    client = await harness.connect()
    client.send(build_request("order", deadline_ms=60_000))
    await wait_until(harness.slow_servers[0].count_pending_connections, "the dial is on its way")
    return client


@pytest.mark.parametrize(
    "change",
    [
        {"state": "leaving"},
        {"state": "left"},
        {"startedAtMs": 5},
        {"hostPort": "127.0.0.1:9"},  # Nobody listens at this address.
    ],
)
@limiter_with(settings=LONG_DIAL_TIMEOUT, slow_servers=1)
async def test_a_dial_that_succeeds_after_its_server_drained_or_changed_sends_nothing(
    harness: LimiterHarness, change: Any
) -> None:
    """The attempt was never sent, so the request goes to another server."""
    client = await client_of_dialled_server(harness)
    await publish(
        harness, harness.slow_servers[0].make_list_entry(**change), harness.servers[1].make_list_entry()
    )
    await harness.slow_servers[0].accept_connections()
    assert (
        await client.read_response()
    ).body == b"from s-0"  # The attempt was not sent, so a retry was safe.
    assert harness.slow_servers[0].received_requests == []


@limiter_with(settings=LONG_DIAL_TIMEOUT, slow_servers=1)
async def test_a_dial_that_succeeds_after_its_client_disconnected_sends_nothing(
    harness: LimiterHarness,
) -> None:
    """The dial is cancelled with its request."""
    client = await client_of_dialled_server(harness)
    client.close()
    await wait_until(lambda: not harness.slow_servers[0].count_pending_connections(), "the dial is cancelled")
    await harness.slow_servers[0].accept_connections()
    assert (await harness.send_request(build_request("submit", request_id="2"))).status == 200
    assert list_request_ids(harness.slow_servers[0].received_requests) == ["2"]
