"""Tests of input that accumulates in the kernel while the limiter process is paused.

When the process resumes, it may find the end of a client's connection together with requests, responses from
servers and replies from the counter.
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

# Disconnected clients: no attempt starts after a disconnection, even if the limiter has not read it yet


class Disconnect(StrEnum):
    """How a client disconnects."""

    CLOSE = "close"
    RESET = "reset"
    HALF_CLOSE = "half-close"


async def pause_limiter(harness: LimiterHarness) -> None:
    """Pause the limiter process; its input stays in the kernel until it is resumed."""
    harness.process.send_signal(signal.SIGSTOP)
    stat = Path(f"/proc/{harness.process.pid}/stat")
    await wait_until(lambda: stat.read_text().rpartition(")")[2].split()[0] == "T", "pause of the process")


async def disconnect(client: Connection, disconnection: Disconnect) -> None:
    """Disconnect a client; return once the kernel holds the end of its connection for the limiter."""
    if disconnection is Disconnect.HALF_CLOSE:
        client.writer.write_eof()
        return
    if disconnection is Disconnect.RESET:
        linger = struct.pack("ii", 1, 0)
        client.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    client.writer.transport.abort()
    await asyncio.sleep(0)  # asyncio closes the socket in this iteration of the event loop.
    assert client.writer.get_extra_info("socket").fileno() < 0


async def resume_and_check_forwarded(harness: LimiterHarness, *forwarded_ids: str) -> None:
    """Resume the limiter process, and check which requests it forwards.

    Args:
        harness: the limiter; a further request to it must be served.
        forwarded_ids: ids of the other requests that the servers must have received since their records were
            last cleared.
    """
    harness.process.send_signal(signal.SIGCONT)
    assert (
        await harness.send_request(build_request(request_id="mark", customer="7".zfill(16)))
    ).status == 200
    assert list_request_ids(harness.received_requests) == [*forwarded_ids, "mark"]
    for server in harness.servers:
        server.received_requests.clear()


async def open_idle_connections(harness: LimiterHarness, count: int) -> HeldResponses:
    """Open idle connections to the server, so that attempts need no dial; then hold its responses back."""
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


@pytest.mark.parametrize("disconnection", Disconnect)
async def test_request_read_after_its_client_disconnected_is_not_forwarded(
    harness: LimiterHarness, disconnection: Disconnect
) -> None:
    """This applies to a reused connection, to one without requests so far, and to a new one."""
    reused_client = await harness.connect()
    silent_client = await harness.connect()
    reused_client.send(build_request(request_id="1"))
    assert (await reused_client.read_response()).status == 200
    await open_idle_connections(harness, 3)
    harness.servers[0].responder = respond_with(200)
    await pause_limiter(harness)
    for number, client in enumerate((reused_client, silent_client, await harness.connect())):
        client.send(build_request(request_id=f"disconnected-{number}"))
        await disconnect(client, disconnection)
    await resume_and_check_forwarded(harness)


@pytest.mark.parametrize("disconnection", Disconnect)
@pytest.mark.parametrize("is_failure_first", [True, False])
async def test_no_retry_is_sent_after_the_client_disconnected(
    harness: LimiterHarness, disconnection: Disconnect, is_failure_first: bool
) -> None:
    """The order in which the attempt fails and the client disconnects does not matter."""
    held = await open_idle_connections(harness, 2)
    client = await harness.connect()
    client.send(build_request(request_id="attempted"))
    await wait_until(lambda: held.writers)
    harness.servers[0].responder = respond_with(200)
    await pause_limiter(harness)
    if is_failure_first:
        held.release(500)
    await disconnect(client, disconnection)
    held.release(500)
    await resume_and_check_forwarded(harness, "attempted")


QUOTA_SETTINGS = make_raw_settings_with_quota(rate=1.0, burst=1.5)
# Calls to the counter time out after 1 s, so that the test has time to pause and resume the limiter.
LONG_COUNTER_TIMEOUT_SETTINGS = {**QUOTA_SETTINGS, "extra": {**QUOTA_SETTINGS["extra"], "countLimit": 1000.0}}


@limiter_with(settings=LONG_COUNTER_TIMEOUT_SETTINGS)
async def test_request_waiting_for_the_counter_is_not_forwarded_after_its_client_disconnected(
    harness: LimiterHarness,
) -> None:
    """After the pause, the limiter finds the counter's reply and the client's disconnection together."""
    await open_idle_connections(harness, 2)
    harness.servers[0].responder = respond_with(200)
    harness.counter.delay_seconds = 60.0
    calls_before = len(harness.counter.calls)
    client = await harness.connect()
    client.send(build_request(headers={"X-Weight": "units=1,spread=2,first=0"}))
    await wait_until(lambda: len(harness.counter.calls) > calls_before, "call to the counter")
    await pause_limiter(harness)
    harness.counter.writers[0].write(b"$1\r\n1\r\n")
    await disconnect(client, Disconnect.CLOSE)
    await resume_and_check_forwarded(harness)


async def test_request_is_not_written_to_a_new_server_connection_after_its_client_disconnected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client disconnects at the moment when the dial succeeds; no state of its request may be kept."""
    server = FakeServer("s-0")
    async with in_process_limiter(server) as (proxy, listener):
        disconnecting_client = RawClient(listener)
        connected_client = RawClient(listener)
        connection_made = ServerConnection.connection_made

        def disconnect_client(connection: ServerConnection, transport: asyncio.BaseTransport) -> None:
            connection_made(connection, transport)
            # The attempt is written to the new connection directly after this.
            disconnecting_client.socket.shutdown(socket.SHUT_RDWR)
            monkeypatch.undo()

        monkeypatch.setattr(ServerConnection, "connection_made", disconnect_client)
        disconnecting_client.send(build_request("order", request_id="disconnected"))
        await wait_until(lambda: proxy.server_pool.connections.open, "connection to the server")
        connected_client.send(build_request("order", request_id="mark"))
        assert (await connected_client.read_response()).status == 200
        assert list_request_ids(server.received_requests) == ["mark"]
        assert not proxy.requests.by_number
        assert not proxy.requests.client_request_ids


@pytest.mark.parametrize("disconnection", Disconnect)
async def test_next_pipelined_request_is_not_forwarded_after_its_client_disconnected(
    harness: LimiterHarness, disconnection: Disconnect
) -> None:
    """After the pause, the limiter finds the first response and the client's disconnection together."""
    held = await open_idle_connections(harness, 2)
    client = await harness.connect()
    client.send(build_request("order", request_id="1") + build_request("order", request_id="2"))
    await wait_until(lambda: held.writers)
    harness.servers[0].responder = respond_with(200)
    await pause_limiter(harness)
    held.release()
    await disconnect(client, disconnection)
    await resume_and_check_forwarded(harness, "1")


async def test_next_pipelined_request_is_not_forwarded_after_disconnection_while_reading_is_paused() -> None:
    """While reading from the client is paused, the limiter does not learn of its disconnection.

    The later notification of the disconnection must not release the id, which another request may use.
    """
    server = FakeServer("s-0")
    held = server.responder = HeldResponses()
    async with in_process_limiter(server) as (proxy, listener):
        client = RawClient(listener)
        client.send(build_request(request_id="1") + build_request(request_id="2"))
        await wait_until(lambda: held.writers)
        [connection] = listener.registry.connections
        connection.pause_writing()  # The transport calls this if the client does not read responses.
        [second] = connection.pipelined_requests
        assert isinstance(second, ProxiedRequest)
        client.socket.shutdown(socket.SHUT_WR)
        held.release()
        await wait_until(
            lambda: not proxy.requests.by_number or len(server.received_requests) > 1,
            "end of the first request",
        )
        # The transport calls this once the client has read the first response; the next request starts then.
        connection.resume_writing()
        assert connection.transport is not None
        connection.transport.pause_reading()
        await wait_until(lambda: not connection.pipelined_requests, "start of the second request")
        await wait_until(lambda: not proxy.requests.list_unanswered() or len(server.received_requests) > 1)
        assert len(server.received_requests) == 1
        # Another request uses the same id when the connection of the second request is reported as closed.
        proxy.requests.client_request_ids.add(second.client_request_id)
        proxy.forwarder.client_disconnected(second)
        assert second.client_request_id in proxy.requests.client_request_ids


@pytest.mark.parametrize("hang_up_event", [select.POLLRDHUP, 0])
async def test_hang_up_is_detected_with_and_without_the_pollrdhup_event(
    hang_up_event: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An end of the stream is a hang-up; unread bytes without it are not."""
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


# Idle clients that exhaust the descriptors while discovery does not respond


async def connect_idle_clients(harness: LimiterHarness, data: bytes) -> list[Connection]:
    """Open 40 connections concurrently; each sends `data` and nothing after it."""
    clients = await asyncio.gather(*(harness.connect() for _ in range(40)))
    for client in clients:
        client.send(data)
    return clients


async def check_active_client_is_served(harness: LimiterHarness) -> None:
    """Check that a request on a new connection is served before idle connections reach their timeout."""
    active_client = await harness.connect()
    started = time.monotonic()
    active_client.send(build_request(request_id="working"))
    harness.process.send_signal(signal.SIGCONT)
    assert (await active_client.read_response()).status == 200
    assert time.monotonic() - started < READ_TIMEOUT_SECONDS


async def check_new_list_is_received(harness: LimiterHarness) -> None:
    """Check that the limiter receives a new list within 1 s after discovery starts to respond again."""
    harness.discovery.publish(harness.servers[1].make_list_entry("leaving"))
    harness.discovery.is_responding = True
    started = time.monotonic()
    await wait_until_latest_list_applied(harness)
    assert time.monotonic() - started < 1.0


@pytest.mark.parametrize("data", [b"", build_request(request_id="half")[:60], HEALTH_CHECK])
@limiter_with(servers=2, sockets=128)
async def test_idle_clients_do_not_displace_active_clients_or_discovery(
    harness: LimiterHarness, data: bytes
) -> None:
    """While discovery does not respond, ten times as many clients connect as the limiter has capacity for."""
    await wait_until_latest_list_applied(harness)
    harness.discovery.is_responding = False
    idle_clients: list[Connection] = []
    for number in range(10):
        idle_clients += await connect_idle_clients(harness, data)
        # The limiter continues with the endpoint list that it has.
        assert (await harness.send_request(build_request(request_id=f"{number}"))).status == 200
    await check_active_client_is_served(harness)
    await check_new_list_is_received(harness)
    for client in idle_clients:
        client.close()


@pytest.mark.parametrize("data", [b"", build_request(request_id="half")[:60], HEALTH_CHECK])
@limiter_with(servers=2, sockets=128)
async def test_idle_clients_that_connect_during_a_pause_do_not_displace_active_clients_or_discovery(
    harness: LimiterHarness, data: bytes
) -> None:
    """After the pause, the limiter finds ten times as many new connections as it has capacity for.

    Discovery does not respond during that time.
    """
    harness.discovery.is_responding = False
    await pause_limiter(harness)
    idle_clients: list[Connection] = []
    for _ in range(10):
        idle_clients += await connect_idle_clients(harness, data)
    await check_active_client_is_served(harness)
    await check_new_list_is_received(harness)
    for client in idle_clients:
        client.close()
