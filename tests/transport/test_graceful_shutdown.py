"""Tests of graceful shutdown while requests are in the listen backlog, unread or incomplete."""

from __future__ import annotations

import asyncio

import pytest

from limiter.model.settings import QuotaPlan, RequestClass, Settings
from limiter.process import shutdown
from limiter.transport.clients.connection_registry import IDLE_TIMEOUT_SECONDS, READ_TIMEOUT_SECONDS
from limiter.transport.clients.listener import Listener
from tests.support.client import REQUEST_ID, build_request
from tests.support.fake_server import FakeServer, ReceivedRequest, list_request_ids, never_respond
from tests.support.in_process_limiter import RawClient, in_process_limiter
from tests.support.waiting import wait_until


async def test_connections_in_the_listen_backlog_are_served_when_the_listening_socket_closes() -> None:
    """When the listening socket is closed, the kernel resets connections that have not been accepted."""
    async with in_process_limiter(FakeServer("s-0")) as (_, listener):
        listener.start_draining()
        clients = [RawClient(listener) for _ in range(3)]
        for number, client in enumerate(clients):
            client.send(build_request(request_id=str(number)))
        listener.stop_accepting()
        for client in clients:
            assert (await client.read_response()).body == b"from s-0"


async def connect_client(listener: Listener, *, has_served_request: bool) -> RawClient:
    """Connect a client, and return once the limiter has accepted its connection.

    If `has_served_request` is true, also send a request and wait until it is served.
    """
    client = RawClient(listener)
    if has_served_request:
        client.send(build_request(request_id="1"))
        assert (await client.read_response()).body == b"from s-0"
    else:
        await wait_until(lambda: listener.registry.new)
    return client


@pytest.mark.parametrize("has_served_request", [True, False])
async def test_unread_request_is_served_when_idle_connections_are_closed(has_served_request: bool) -> None:
    """A connection that the limiter considers idle may have a request that is unread in the kernel."""
    async with in_process_limiter(FakeServer("s-0")) as (_, listener):
        client = await connect_client(listener, has_served_request=has_served_request)
        if not has_served_request:
            [connection] = listener.registry.new
            listener.registry.new[connection] -= 1.0  # As if it had been opened one second earlier.
        listener.start_draining()
        listener.stop_accepting()
        client.send(build_request(request_id="2"))
        assert listener.close_idle_connections()
        assert (await client.read_response()).body == b"from s-0"


@pytest.mark.parametrize("has_served_request", [True, False])
async def test_request_that_arrives_when_its_connection_times_out_is_served(has_served_request: bool) -> None:
    """A connection must not be closed at its timeout while it has a request that is unread in the kernel."""
    async with in_process_limiter(FakeServer("s-0")) as (_, listener):
        client = await connect_client(listener, has_served_request=has_served_request)
        connections = listener.registry.idle if has_served_request else listener.registry.new
        timeout_seconds = IDLE_TIMEOUT_SECONDS if has_served_request else READ_TIMEOUT_SECONDS
        await wait_until(lambda: connections)
        [connection] = connections
        connections[connection] -= timeout_seconds + 1.0
        client.send(build_request(request_id="2"))
        listener.registry.close_expired_connections()
        assert (await client.read_response()).body == b"from s-0"


async def test_incomplete_request_is_served_after_the_listening_socket_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client can complete the request until the end of the shutdown."""
    monkeypatch.setattr(shutdown, "ACCEPT_AFTER_SIGTERM_SECONDS", 0.0)
    monkeypatch.setattr(shutdown, "FLUSH_SECONDS", 0.0)
    async with in_process_limiter(FakeServer("s-0")) as (proxy, listener):
        client = RawClient(listener)
        client.send(build_request()[:40])
        await wait_until(lambda: listener.registry.reading)
        shutdown_task = asyncio.create_task(shutdown.shut_down_gracefully(listener, proxy))
        await wait_until(lambda: listener.socket.fileno() < 0, "close of the listening socket")
        client.send(build_request()[40:])
        assert (await client.read_response()).body == b"from s-0"
        await shutdown_task


def list_received_requests(servers: list[FakeServer]) -> list[ReceivedRequest]:
    """Return all requests that the servers have received."""
    return [request for server in servers for request in server.received_requests]


async def test_request_ended_by_the_shutdown_is_not_retried() -> None:
    """Ending a request makes its attempts time out, after which the policy may start another attempt."""
    servers = [FakeServer("s-0"), FakeServer("s-1")]
    for server in servers:
        server.responder = never_respond
    async with in_process_limiter(*servers) as (proxy, listener):
        client = RawClient(listener)
        client.send(build_request())
        await wait_until(lambda: list_received_requests(servers))
        for request in proxy.requests.list_unanswered():
            proxy.forwarder.end_request(request)
        assert (await client.read_response()).status == 503
        client.send(build_request("order", request_id="2"))
        # A retry of the first request would be sent before the second request.
        await wait_until(lambda: len(list_received_requests(servers)) > 1)
        assert list_request_ids(list_received_requests(servers)).count(REQUEST_ID) == 1


@pytest.mark.parametrize(
    ("longest_deadline_ms", "kill_after_seconds"), [(400.0, 1.1), (3000.0, 3.7), (8000.0, 3.7)]
)
def test_shutdown_ends_before_sigkill_for_any_longest_deadline(
    longest_deadline_ms: float, kill_after_seconds: float
) -> None:
    """The platform sends SIGKILL 0.7 s after the longest deadline, but at most 3.7 s after SIGTERM."""
    classes = (RequestClass(100.0, 200.0), RequestClass(100.0, longest_deadline_ms))
    settings = Settings(limiter_index=0, limiter_count=1, request_classes=classes, plans=(QuotaPlan(),))
    ends_after_seconds = shutdown.compute_shutdown_seconds(settings) + shutdown.FLUSH_SECONDS
    assert kill_after_seconds - 0.3 < ends_after_seconds < kill_after_seconds
