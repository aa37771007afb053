"""Input that a limiter finds all at once, as after a pause of its process.

The end of a client's connection then waits in the kernel together with requests, responses and replies.
"""

from __future__ import annotations

import asyncio
import select
import signal
import socket
import struct
import time
from enum import StrEnum
from pathlib import Path

import pytest

from limiter.transport.clients.connection_registry import READ_TIMEOUT_SECONDS
from limiter.transport.driver.proxied_request import ProxiedRequest
from limiter.transport.servers.server_connection import ServerConnection
from limiter.transport.servers.server_pool import MIN_IDLE_BEFORE_REUSE_SECONDS
from limiter.transport.sockets import has_peer_disconnected
from tests.support.client import HEALTH_CHECK, Connection, build_request
from tests.support.fake_server import FakeServer, HeldResponses, list_request_ids, respond_with
from tests.support.harness import LimiterHarness, limiter_with, wait_until_latest_list_applied
from tests.support.in_process_limiter import RawClient, in_process_limiter
from tests.support.limiter_settings import make_raw_settings_with_quota
from tests.support.waiting import wait_until

# A client that has disconnected: no attempt starts after that, even if the limiter has not read the end yet


class Disconnect(StrEnum):
    """A way in which a client ends its connection."""

    CLOSE = "close"
    RESET = "reset"
    HALF_CLOSE = "half-close"


async def pause(harness: LimiterHarness) -> None:
    """Stop the limiter process; from now on its input waits in the kernel."""
    harness.process.send_signal(signal.SIGSTOP)
    stat = Path(f"/proc/{harness.process.pid}/stat")
    await wait_until(lambda: stat.read_text().rpartition(")")[2].split()[0] == "T", "the process is stopped")


async def disconnect(client: Connection, way: Disconnect) -> None:
    """Disconnect a client; return once its end waits in the kernel for the limiter."""
    if way is Disconnect.HALF_CLOSE:
        client.writer.write_eof()
        return
    if way is Disconnect.RESET:
        linger = struct.pack("ii", 1, 0)
        client.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    client.writer.transport.abort()
    await asyncio.sleep(0)  # In this turn of the event loop asyncio closes the socket.
    assert client.writer.get_extra_info("socket").fileno() < 0


async def resume(harness: LimiterHarness, *forwarded_ids: str) -> None:
    """Resume the limiter process and check what it forwards.

    Args:
        harness: the limiter, which must serve a further request.
        forwarded_ids: ids of all other requests that servers may have received since they were last cleared.
    """
    harness.process.send_signal(signal.SIGCONT)
    assert (
        await harness.send_request(build_request(request_id="mark", customer="7".zfill(16)))
    ).status == 200
    assert list_request_ids(harness.received_requests) == [*forwarded_ids, "mark"]
    for server in harness.servers:
        server.received_requests.clear()


async def open_idle_connections(harness: LimiterHarness, count: int) -> HeldResponses:
    """Make this many idle connections to the server, so that attempts need no dial; hold its responses."""
    held = harness.servers[0].responder = HeldResponses()
    clients = [await harness.connect() for _ in range(count)]
    for number, client in enumerate(clients):
        client.send(build_request(request_id=f"{number}", customer=f"{16 + number:016x}"))
    await wait_until(lambda: len(held.writers) == count)
    held.release()
    for client in clients:
        assert (await client.read_response()).status == 200
    reusable_at = time.monotonic() + 2 * MIN_IDLE_BEFORE_REUSE_SECONDS
    await wait_until(lambda: time.monotonic() > reusable_at)
    for server in harness.servers:
        server.received_requests.clear()
    return held


@pytest.mark.parametrize("way", Disconnect)
async def test_a_request_that_is_read_after_its_client_disconnected_is_not_forwarded(
    harness: LimiterHarness, way: Disconnect
) -> None:
    """Its connection has carried a request before, has carried none, or is new."""
    reused = await harness.connect()
    silent = await harness.connect()
    reused.send(build_request(request_id="1"))
    assert (await reused.read_response()).status == 200
    await open_idle_connections(harness, 3)
    harness.servers[0].responder = respond_with(200)
    await pause(harness)
    for number, client in enumerate((reused, silent, await harness.connect())):
        client.send(build_request(request_id=f"disconnected-{number}"))
        await disconnect(client, way)
    await resume(harness)


@pytest.mark.parametrize("way", Disconnect)
@pytest.mark.parametrize("is_failure_first", [True, False])
async def test_no_retry_starts_once_the_client_disconnected(
    harness: LimiterHarness, way: Disconnect, is_failure_first: bool
) -> None:
    """Whether the attempt fails first or the client disconnects first."""
    held = await open_idle_connections(harness, 2)
    client = await harness.connect()
    client.send(build_request(request_id="attempted"))
    await wait_until(lambda: held.writers)
    harness.servers[0].responder = respond_with(200)
    await pause(harness)
    if is_failure_first:
        held.release(500)
    await disconnect(client, way)
    held.release(500)
    await resume(harness, "attempted")


QUOTA_SETTINGS = make_raw_settings_with_quota(rate=1.0, burst=1.5)
# A call to the counter times out after a second, in which the test pauses and resumes the limiter.
PATIENT_SETTINGS = {**QUOTA_SETTINGS, "extra": {**QUOTA_SETTINGS["extra"], "countLimit": 1000.0}}


@limiter_with(settings=PATIENT_SETTINGS)
async def test_a_request_that_waits_for_the_counter_is_not_forwarded_once_its_client_disconnected(
    harness: LimiterHarness,
) -> None:
    """The limiter finds the counter's reply and the end of the client's connection at once."""
    await open_idle_connections(harness, 2)
    harness.servers[0].responder = respond_with(200)
    harness.counter.delay_seconds = 60.0
    calls_before = len(harness.counter.calls)
    client = await harness.connect()
    client.send(build_request(headers={"X-Weight": "units=1,spread=2,first=0"}))
    await wait_until(lambda: len(harness.counter.calls) > calls_before, "the counter is called")
    await pause(harness)
    harness.counter.writers[0].write(b"$1\r\n1\r\n")
    await disconnect(client, Disconnect.CLOSE)
    await resume(harness)


async def test_a_new_server_connection_sends_nothing_of_a_client_that_disconnected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client disconnects as the dial succeeds; nothing of its request is kept."""
    server = FakeServer("s-0")
    async with in_process_limiter(server) as (proxy, listener):
        leaving = RawClient(listener)
        staying = RawClient(listener)
        connection_made = ServerConnection.connection_made

        def disconnect_client(connection: ServerConnection, transport: asyncio.BaseTransport) -> None:
            connection_made(connection, transport)
            # This is the last moment before the attempt is written to the new connection.
            leaving.socket.shutdown(socket.SHUT_RDWR)
            monkeypatch.undo()

        monkeypatch.setattr(ServerConnection, "connection_made", disconnect_client)
        leaving.send(build_request("order", request_id="disconnected"))
        await wait_until(lambda: proxy.server_pool.connections.open, "the connection is up")
        staying.send(build_request("order", request_id="mark"))
        assert (await staying.read_response()).status == 200
        assert list_request_ids(server.received_requests) == ["mark"]
        assert not proxy.requests.by_number
        assert not proxy.requests.client_request_ids


@pytest.mark.parametrize("way", Disconnect)
async def test_the_next_pipelined_request_is_not_forwarded_once_its_client_disconnected(
    harness: LimiterHarness, way: Disconnect
) -> None:
    """The limiter finds the response to the first request and the end of the client's connection at once."""
    held = await open_idle_connections(harness, 2)
    client = await harness.connect()
    client.send(build_request("order", request_id="1") + build_request("order", request_id="2"))
    await wait_until(lambda: held.writers)
    harness.servers[0].responder = respond_with(200)
    await pause(harness)
    held.release()
    await disconnect(client, way)
    await resume(harness, "1")


async def test_the_next_pipelined_request_is_not_forwarded_where_reading_is_paused() -> None:
    """The client's end is not read there; its late notice does not release the id of another request."""
    server = FakeServer("s-0")
    held = server.responder = HeldResponses()
    async with in_process_limiter(server) as (proxy, listener):
        client = RawClient(listener)
        client.send(build_request(request_id="1") + build_request(request_id="2"))
        await wait_until(lambda: held.writers)
        [connection] = listener.registry.connections
        connection.pause_writing()  # Its transport calls this if the client reads no responses.
        [second] = connection.pipelined_requests
        assert isinstance(second, ProxiedRequest)
        client.socket.shutdown(socket.SHUT_WR)
        held.release()
        await wait_until(
            lambda: not proxy.requests.by_number or len(server.received_requests) > 1,
            "the first request has its response",
        )
        await wait_until(lambda: not proxy.requests.list_unanswered() or len(server.received_requests) > 1)
        assert len(server.received_requests) == 1
        # Another request has the same id by now, and then the connection of the second one is closed.
        proxy.requests.client_request_ids.add(second.client_request_id)
        proxy.forwarder.client_disconnected(second)
        assert second.client_request_id in proxy.requests.client_request_ids


@pytest.mark.parametrize("hang_up_event", [select.POLLRDHUP, 0])
async def test_a_hang_up_is_detected_with_and_without_its_own_poll_event(
    hang_up_event: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end of the stream is a hang-up, unread bytes alone are none."""
    monkeypatch.setattr(select, "POLLRDHUP", hang_up_event)
    local, remote = socket.socketpair()
    transport, _ = await asyncio.get_running_loop().connect_accepted_socket(asyncio.Protocol, local)
    transport.pause_reading()
    assert not has_peer_disconnected(transport)
    remote.send(b"GET")
    assert not has_peer_disconnected(transport)
    assert local.recv(8) == b"GET"
    remote.shutdown(socket.SHUT_WR)
    assert has_peer_disconnected(transport)
    transport.abort()
    remote.close()


# Idle clients use up the descriptors while discovery is down


async def connect_idle_clients(harness: LimiterHarness, data: bytes) -> list[Connection]:
    """Open 40 connections at once that send these bytes and then nothing more."""
    clients = await asyncio.gather(*(harness.connect() for _ in range(40)))
    for client in clients:
        client.send(data)
    return clients


async def check_working_client_is_served(harness: LimiterHarness) -> None:
    """Check that a request on a new connection is served without waiting for the end of idle connections."""
    working_client = await harness.connect()
    started = time.monotonic()
    working_client.send(build_request(request_id="working"))
    harness.process.send_signal(signal.SIGCONT)
    assert (await working_client.read_response()).status == 200
    assert time.monotonic() - started < READ_TIMEOUT_SECONDS


async def check_discovery_is_read(harness: LimiterHarness) -> None:
    """Check that the limiter reads a new list within a second once discovery responds again."""
    harness.discovery.publish(harness.servers[1].make_list_entry("leaving"))
    harness.discovery.is_responding = True
    started = time.monotonic()
    await wait_until_latest_list_applied(harness)
    assert time.monotonic() - started < 1.0


@pytest.mark.parametrize("data", [b"", build_request(request_id="half")[:60], HEALTH_CHECK])
@limiter_with(servers=2, sockets=128, discovery_responds=False)
async def test_idle_clients_displace_neither_working_clients_nor_discovery(
    harness: LimiterHarness, data: bytes
) -> None:
    """Ten times as many clients connect as there is capacity for, while discovery is down."""
    idle_clients: list[Connection] = []
    for number in range(10):
        idle_clients += await connect_idle_clients(harness, data)
        # The limiter goes on with the list that it knows.
        assert (await harness.send_request(build_request(request_id=f"{number}"))).status == 200
    await check_working_client_is_served(harness)
    await check_discovery_is_read(harness)
    for client in idle_clients:
        client.close()


@pytest.mark.parametrize("data", [b"", build_request(request_id="half")[:60], HEALTH_CHECK])
@limiter_with(servers=2, sockets=128)
async def test_idle_clients_that_connect_during_a_pause_displace_neither_working_clients_nor_discovery(
    harness: LimiterHarness, data: bytes
) -> None:
    """The limiter finds ten times as many new connections as it has capacity for, while discovery is down."""
    harness.discovery.is_responding = False
    await pause(harness)
    idle_clients: list[Connection] = []
    for _ in range(10):
        idle_clients += await connect_idle_clients(harness, data)
    await check_working_client_is_served(harness)
    await check_discovery_is_read(harness)
    for client in idle_clients:
        client.close()
