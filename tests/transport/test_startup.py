"""The start of a limiter while discovery's changes since the known list are still on their way."""

from __future__ import annotations

import asyncio
import os
import signal
import socket

import pytest

from limiter.configuration.config import Config
from limiter.configuration.config_parser import parse_config
from limiter.process import startup
from tests.support.client import Connection, Response, build_request
from tests.support.fake_discovery import FakeDiscovery
from tests.support.fake_server import FakeServer
from tests.support.limiter_settings import make_configured_endpoint_list, make_raw_config
from tests.support.waiting import WAIT_TIMEOUT_SECONDS, wait_until


def free_port() -> int:
    """Return a port of loopback that nobody listens on."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return int(unused.getsockname()[1])


async def send_once_listening(port: int, data: bytes) -> Response:
    """Send a request on a connection of its own, as soon as the limiter accepts one."""
    while True:
        try:
            client = Connection(*await asyncio.open_connection("127.0.0.1", port))
            break
        except ConnectionRefusedError:  # The limiter has not read discovery's response yet.
            await asyncio.sleep(0.01)
    client.send(data)
    try:
        return await client.read_response()
    finally:
        client.close()


def configuration_between(listen_port: int, discovery: FakeDiscovery, known: list[FakeServer]) -> Config:
    """Return the configuration of a limiter with this port, discovery and list of known servers."""
    entries = [server.make_list_entry() for server in known]
    document = make_raw_config(
        listen=f"127.0.0.1:{listen_port}",
        discovery=discovery.address,
        seed="1",
        known=make_configured_endpoint_list(*entries),
    )
    return parse_config(document)


async def test_listening_waits_for_what_changed_since_the_known_list(monkeypatch: pytest.MonkeyPatch) -> None:
    """No request goes to a server that drained while the limiter did not run."""
    monkeypatch.setattr(startup, "DISCOVERY_WAIT_SECONDS", 10 * WAIT_TIMEOUT_SECONDS)
    draining = FakeServer("s-0")
    ready = FakeServer("s-1")
    discovery = FakeDiscovery()
    for peer in (draining, ready, discovery):
        await peer.listen()
    discovery.is_responding = False  # It accepts the limiter's call and holds its response back.
    discovery.publish(draining.make_list_entry("leaving"), ready.make_list_entry(), full_list=True)
    port = free_port()
    limiter = asyncio.create_task(
        startup.run_limiter(configuration_between(port, discovery, [draining, ready]))
    )
    await wait_until(lambda: discovery.calls, "discovery is polled")
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection("127.0.0.1", port)
    discovery.is_responding = True
    await wait_until(lambda: discovery.response_times, "discovery has responded")
    for number in range(6):
        response = await send_once_listening(port, build_request("order", request_id=str(number)))
        assert response.body == b"from s-1"
    assert draining.received_requests == []
    os.kill(os.getpid(), signal.SIGTERM)
    await limiter
