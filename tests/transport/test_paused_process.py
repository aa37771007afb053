"""A limiter process that is paused and resumed, on real sockets: it finds all that came meanwhile at once."""

from __future__ import annotations

import asyncio
import select
import signal
import socket
import struct
import time
from pathlib import Path

import pytest

from limiter.transport.clients.connection_registry import READ_TIMEOUT_SECONDS
from limiter.transport.driver.proxied_request import ProxiedRequest
from limiter.transport.servers.server_connection import ServerConnection
from limiter.transport.servers.server_pool import SETTLE_SECONDS
from limiter.transport.sockets import has_peer_hung_up
from tests.support.client import HEALTH_CHECK, Connection, http_request
from tests.support.fake_server import FakeServer, respond_with
from tests.support.harness import LimiterHarness, run_scenario
from tests.support.in_process_limiter import (
    HeldResponses,
    RawClient,
    in_process_limiter,
    list_is_read,
    request_ids,
)
from tests.support.limiter_settings import settings_with_quota
from tests.support.waiting import wait_until

# A client that has disconnected: no attempt starts later, even where its end has not been read yet

DISCONNECTS = ("close", "reset", "half-close")


async def pause(harness: LimiterHarness) -> None:
    """Stop the process; what comes waits for it in the kernel."""
    harness.process.send_signal(signal.SIGSTOP)
    stat = Path(f"/proc/{harness.process.pid}/stat")
    await wait_until(lambda: stat.read_text().rpartition(")")[2].split()[0] == "T", "the process is stopped")


async def disconnect(client: Connection, how: str) -> None:
    """Disconnect in one of DISCONNECTS' ways; return once the other side's kernel knows."""
    if how == "half-close":
        client.writer.write_eof()
        return
    if how == "reset":
        linger = struct.pack("ii", 1, 0)
        client.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    client.writer.transport.abort()
    await asyncio.sleep(0)  # the turn in which asyncio closes it
    assert client.writer.get_extra_info("socket").fileno() < 0


async def resume(harness: LimiterHarness, *forwarded: str) -> None:
    """Let the process run, see that it serves, and that servers got requests of these ids until then."""
    harness.process.send_signal(signal.SIGCONT)
    assert (await harness.send_request(http_request(request_id="mark", customer="7".zfill(16)))).status == 200
    assert request_ids(harness.received) == [*forwarded, "mark"]
    for server in harness.servers:
        server.received.clear()


async def open_idle_connections(harness: LimiterHarness, count: int) -> HeldResponses:
    """Make so many idle connections to the server, so that attempts need no dial; hold its responses."""
    held = harness.servers[0].answer = HeldResponses()
    clients = [await harness.connect() for _ in range(count)]
    for number, client in enumerate(clients):
        client.send(http_request(request_id=f"{number}", customer=f"{16 + number:016x}"))
    await wait_until(lambda: len(held.writers) == count)
    held.release()
    for client in clients:
        assert (await client.response()).status == 200
    reusable_at = time.monotonic() + 2 * SETTLE_SECONDS
    await wait_until(lambda: time.monotonic() > reusable_at)
    for server in harness.servers:
        server.received.clear()
    return held


@pytest.mark.parametrize("how", DISCONNECTS)
def test_a_request_that_is_read_after_its_client_disconnected_is_not_forwarded(how: str) -> None:
    """On connections that were used before, silent before, or new."""

    async def scenario(harness: LimiterHarness) -> None:
        reused, silent = await harness.connect(), await harness.connect()
        reused.send(http_request(request_id="1"))
        assert (await reused.response()).status == 200
        await open_idle_connections(harness, 3)
        harness.servers[0].answer = respond_with(200)
        await pause(harness)
        for number, client in enumerate((reused, silent, await harness.connect())):
            client.send(http_request(request_id=f"gone{number}"))
            await disconnect(client, how)
        await resume(harness)

    run_scenario(scenario)


@pytest.mark.parametrize("how", DISCONNECTS)
@pytest.mark.parametrize("answer_first", [True, False])
def test_no_retry_starts_once_the_client_disconnected(how: str, answer_first: bool) -> None:
    """Whichever of the failed attempt and the client's end comes first."""

    async def scenario(harness: LimiterHarness) -> None:
        held = await open_idle_connections(harness, 2)
        client = await harness.connect()
        client.send(http_request(request_id="gone"))
        await wait_until(lambda: held.writers)
        harness.servers[0].answer = respond_with(200)
        await pause(harness)
        if answer_first:
            held.release(500)
        await disconnect(client, how)
        held.release(500)
        await resume(harness, "gone")

    run_scenario(scenario)


def test_a_request_that_waits_for_the_counter_is_not_forwarded_once_its_client_disconnected() -> None:
    """The counter's reply and the client's end are found at once."""

    async def scenario(harness: LimiterHarness) -> None:
        await open_idle_connections(harness, 2)
        harness.servers[0].answer = respond_with(200)
        harness.counter.delay = 60.0
        calls_before = len(harness.counter.calls)
        client = await harness.connect()
        client.send(http_request(headers={"X-Weight": "units=1,spread=2,first=0"}))
        await wait_until(lambda: len(harness.counter.calls) > calls_before, "the counter is called")
        await pause(harness)
        harness.counter.writers[0].write(b"$1\r\n1\r\n")
        await disconnect(client, "close")
        await resume(harness)

    with_quota = settings_with_quota(rate=1.0, burst=1.5)
    patient = {**with_quota, "extra": {**with_quota["extra"], "countLimit": 1000.0}}
    run_scenario(scenario, settings=patient)


def test_a_new_server_connection_sends_nothing_of_a_client_that_disconnected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client disconnects as the dial succeeds; nothing of its request is kept."""

    async def main() -> None:
        server = FakeServer("s-0")
        async with in_process_limiter(server) as (proxy, listener):
            leaving, staying = RawClient(listener), RawClient(listener)
            connection_made = ServerConnection.connection_made

            def disconnect_client(connection: ServerConnection, transport: asyncio.BaseTransport) -> None:
                connection_made(connection, transport)
                leaving.socket.shutdown(socket.SHUT_RDWR)  # in the last turn before the attempt is written
                monkeypatch.undo()

            monkeypatch.setattr(ServerConnection, "connection_made", disconnect_client)
            leaving.send(http_request("order", request_id="gone"))
            await wait_until(lambda: proxy.pool.connections.open, "the connection is up")
            staying.send(http_request("order", request_id="mark"))
            assert (await staying.response())[0] == 200
            assert request_ids(server.received) == ["mark"]
            assert not proxy.requests.by_number
            assert not proxy.requests.client_request_ids

    asyncio.run(main())


@pytest.mark.parametrize("how", DISCONNECTS)
def test_the_next_pipelined_request_is_not_forwarded_once_its_client_disconnected(how: str) -> None:
    """The first one's response and the client's end are found at once."""

    async def scenario(harness: LimiterHarness) -> None:
        held = await open_idle_connections(harness, 2)
        client = await harness.connect()
        client.send(http_request("order", request_id="1") + http_request("order", request_id="2"))
        await wait_until(lambda: held.writers)
        harness.servers[0].answer = respond_with(200)
        await pause(harness)
        held.release()
        await disconnect(client, how)
        await resume(harness, "1")

    run_scenario(scenario)


def test_the_next_pipelined_request_is_not_forwarded_where_reading_is_paused() -> None:
    """The client's end is not read there; and a late notice of it releases nobody else's id."""

    async def main() -> None:
        server = FakeServer("s-0")
        held = server.answer = HeldResponses()
        async with in_process_limiter(server) as (proxy, listener):
            client = RawClient(listener)
            client.send(http_request(request_id="1") + http_request(request_id="2"))
            await wait_until(lambda: held.writers)
            [connection] = listener.registry.connections
            connection.pause_writing()  # as its transport does where the client reads no responses
            [second] = connection.pipelined
            assert isinstance(second, ProxiedRequest)
            client.socket.shutdown(socket.SHUT_WR)
            held.release()
            await wait_until(
                lambda: not proxy.requests.by_number or len(server.received) > 1, "the first is answered"
            )
            await wait_until(lambda: not proxy.requests.unanswered() or len(server.received) > 1)
            assert len(server.received) == 1
            proxy.requests.client_request_ids.add(second.client_request_id)  # it is another request's by now
            proxy.forwarder.client_disconnected(second)  # as its connection does once it is closed
            assert second.client_request_id in proxy.requests.client_request_ids

    asyncio.run(main())


@pytest.mark.parametrize("hang_up_event", [select.POLLRDHUP, 0])
def test_a_hang_up_is_seen_with_and_without_its_own_poll_event(
    hang_up_event: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Unread bytes alone are no hang-up; the end of the stream is one."""
    monkeypatch.setattr(select, "POLLRDHUP", hang_up_event)

    async def main() -> None:
        local, remote = socket.socketpair()
        transport, _ = await asyncio.get_running_loop().connect_accepted_socket(asyncio.Protocol, local)
        transport.pause_reading()
        assert not has_peer_hung_up(transport)
        remote.send(b"GET")
        assert not has_peer_hung_up(transport)
        assert local.recv(8) == b"GET"
        remote.shutdown(socket.SHUT_WR)
        assert has_peer_hung_up(transport)
        transport.abort()
        remote.close()

    asyncio.run(main())


# Idle clients fill the descriptors while discovery is down


@pytest.mark.parametrize("data", [b"", http_request(request_id="half")[:60], HEALTH_CHECK])
@pytest.mark.parametrize("is_paused", [True, False])
def test_idle_clients_displace_neither_working_clients_nor_discovery(data: bytes, is_paused: bool) -> None:
    """Ten times as many connections as there is capacity for, while discovery is down."""

    async def scenario(harness: LimiterHarness) -> None:
        harness.discovery.up = False
        clients: list[Connection] = []

        async def connect_more() -> None:
            added = await asyncio.gather(*(harness.connect() for _ in range(40)))
            for client in added:
                client.send(data)
            clients.extend(added)

        if is_paused:
            await pause(harness)
        for number in range(10):
            await connect_more()
            if not is_paused:  # by the list last known
                assert (await harness.send_request(http_request(request_id=f"{number}"))).status == 200
        working = await harness.connect()
        started = time.monotonic()
        working.send(http_request(request_id="working"))
        harness.process.send_signal(signal.SIGCONT)
        assert (await working.response()).status == 200
        assert time.monotonic() - started < READ_TIMEOUT_SECONDS  # it did not wait for the others' end
        harness.discovery.publish(harness.servers[1].list_entry("leaving"))
        harness.discovery.up = True
        started = time.monotonic()
        await list_is_read(harness)
        assert time.monotonic() - started < 1.0
        for client in clients:
            client.close()

    run_scenario(scenario, servers=2, sockets=128, discovery_up=is_paused)
