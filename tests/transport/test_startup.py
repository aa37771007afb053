"""Tests that a starting limiter sends nothing before it has the changes since its configured list."""

from __future__ import annotations

import asyncio
import os
import signal

import pytest

from limiter.configuration.config import Config
from limiter.configuration.config_parser import parse_config
from limiter.process import startup
from tests.support.client import HEALTH_CHECK, Connection, Response, build_request
from tests.support.fake_discovery import FakeDiscovery
from tests.support.fake_server import FakeServer
from tests.support.limiter_settings import make_configured_endpoint_list, make_raw_config
from tests.support.ports import find_unused_port
from tests.support.waiting import WAIT_TIMEOUT_SECONDS, wait_until


async def send_once_listening(port: int, data: bytes) -> Response:
    """Send a request on a new connection as soon as the limiter accepts connections."""
    while True:
        try:
            client = Connection(*await asyncio.open_connection("127.0.0.1", port))
            break
        except ConnectionRefusedError:  # The limiter has not received the response of discovery yet.
            await asyncio.sleep(0.01)
    client.send(data)
    try:
        return await client.read_response()
    finally:
        client.close()


def make_config(listen_port: int, discovery: FakeDiscovery, configured_servers: list[FakeServer]) -> Config:
    """Return the configuration of a limiter with this port, discovery and endpoint list."""
    entries = [server.make_list_entry() for server in configured_servers]
    document = make_raw_config(
        listen=f"127.0.0.1:{listen_port}",
        discovery=discovery.address,
        seed="1",
        known=make_configured_endpoint_list(*entries),
    )
    return parse_config(document)


async def test_limiter_does_not_listen_before_it_has_the_changes_since_the_configured_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise requests are sent to a server that started draining while the limiter was not running."""
    monkeypatch.setattr(startup, "DISCOVERY_WAIT_SECONDS", 10 * WAIT_TIMEOUT_SECONDS)
    draining_server = FakeServer("s-0")
    ready_server = FakeServer("s-1")
    discovery = FakeDiscovery()
    for peer in (draining_server, ready_server, discovery):
        await peer.listen()
    discovery.is_responding = False  # It accepts the call but holds back its response.
    discovery.publish(
        draining_server.make_list_entry("leaving"), ready_server.make_list_entry(), full_list=True
    )
    port = find_unused_port()
    limiter_task = asyncio.create_task(
        startup.run_limiter(make_config(port, discovery, [draining_server, ready_server]))
    )
    await wait_until(lambda: discovery.calls, "call to discovery")
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection("127.0.0.1", port)
    discovery.is_responding = True
    await wait_until(lambda: discovery.response_times, "response of discovery")
    for number in range(6):
        response = await send_once_listening(port, build_request("order", request_id=str(number)))
        assert response.body == b"from s-1"
    assert draining_server.received_requests == []
    os.kill(os.getpid(), signal.SIGTERM)
    await limiter_task


async def test_limiter_rejects_requests_while_its_agent_does_not_respond(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A limiter that was started while discovery was down sent requests to a server that drained.

    The waits end before the first call to the agent can fail.
    """
    monkeypatch.setattr(startup, "DISCOVERY_WAIT_SECONDS", 0.0)
    monkeypatch.setattr(startup, "UNUSABLE_LIST_WAIT_SECONDS", 0.0)
    draining_server = FakeServer("s-0")
    ready_server = FakeServer("s-1")
    discovery = FakeDiscovery()
    for peer in (draining_server, ready_server, discovery):
        await peer.listen()
    discovery.is_responding = False
    discovery.publish(
        draining_server.make_list_entry("leaving"), ready_server.make_list_entry(), full_list=True
    )
    port = find_unused_port()
    limiter_task = asyncio.create_task(
        startup.run_limiter(make_config(port, discovery, [draining_server, ready_server]))
    )
    assert (await send_once_listening(port, HEALTH_CHECK)).status == 200
    for number in range(6):
        response = await send_once_listening(port, build_request("order", request_id=str(number)))
        assert response.status == 429
        assert float(response.headers["retry-after"]) > 0
    assert discovery.response_times == []
    assert ready_server.received_requests == []
    discovery.is_responding = True
    await wait_until(lambda: discovery.response_times, "response of discovery")
    await wait_until(lambda: discovery.calls[-1].target.endswith("timeout_ms=1000"), "the next call")
    assert (await send_once_listening(port, build_request("order"))).body == b"from s-1"
    assert draining_server.received_requests == []
    os.kill(os.getpid(), signal.SIGTERM)
    await limiter_task
