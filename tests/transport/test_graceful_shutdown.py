"""Graceful shutdown, with requests in the backlog, unread on idle connections, or half read at that time."""

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


async def test_the_listen_backlog_is_served_when_listening_ends() -> None:
    """Otherwise the kernel would reset these connections."""
    async with in_process_limiter(FakeServer("s-0")) as (_, listener):
        listener.start_draining()
        clients = [RawClient(listener) for _ in range(3)]
        for number, client in enumerate(clients):
            client.send(build_request(request_id=str(number)))
        listener.stop_accepting()
        for client in clients:
            assert (await client.read_response()).body == b"from s-0"


async def connect_client(listener: Listener, *, is_reused: bool) -> RawClient:
    """Connect a client; return once its first request was served, or once a silent connection is accepted."""
    client = RawClient(listener)
    if is_reused:
        client.send(build_request(request_id="1"))
        assert (await client.read_response()).body == b"from s-0"
    else:
        await wait_until(lambda: listener.registry.new)
    return client


@pytest.mark.parametrize("is_reused", [True, False])
async def test_an_unread_request_is_served_when_idle_connections_are_closed(is_reused: bool) -> None:
    """A connection is not idle while a request waits in the kernel."""
    async with in_process_limiter(FakeServer("s-0")) as (_, listener):
        client = await connect_client(listener, is_reused=is_reused)
        if not is_reused:
            [connection] = listener.registry.new
            listener.registry.new[connection] -= 1.0  # It was opened some time ago.
        listener.start_draining()
        listener.stop_accepting()
        client.send(build_request(request_id="2"))
        assert listener.close_idle_connections()
        assert (await client.read_response()).body == b"from s-0"


@pytest.mark.parametrize("is_reused", [True, False])
async def test_a_request_that_arrives_as_its_connection_expires_is_served(is_reused: bool) -> None:
    """The time-out does not close a connection while a request waits in the kernel."""
    async with in_process_limiter(FakeServer("s-0")) as (_, listener):
        client = await connect_client(listener, is_reused=is_reused)
        connections = listener.registry.idle if is_reused else listener.registry.new
        timeout_seconds = IDLE_TIMEOUT_SECONDS if is_reused else READ_TIMEOUT_SECONDS
        await wait_until(lambda: connections)
        [connection] = connections
        connections[connection] -= timeout_seconds + 1.0
        client.send(build_request(request_id="2"))
        listener.registry.close_expired_connections()
        assert (await client.read_response()).body == b"from s-0"


async def test_a_partial_request_is_served_when_listening_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its client may complete it until the end of the shutdown."""
    monkeypatch.setattr(shutdown, "ACCEPT_AFTER_SIGTERM_SECONDS", 0.0)
    monkeypatch.setattr(shutdown, "FLUSH_SECONDS", 0.0)
    async with in_process_limiter(FakeServer("s-0")) as (proxy, listener):
        client = RawClient(listener)
        client.send(build_request()[:40])
        await wait_until(lambda: listener.registry.reading)
        draining = asyncio.create_task(shutdown.shut_down_gracefully(listener, proxy))
        await wait_until(lambda: listener.socket.fileno() < 0, "listening has ended")
        client.send(build_request()[40:])
        assert (await client.read_response()).body == b"from s-0"
        await draining


def received_by(servers: list[FakeServer]) -> list[ReceivedRequest]:
    """Return all requests that these servers received."""
    return [request for server in servers for request in server.received_requests]


async def test_a_request_that_is_ended_is_not_retried() -> None:
    """The policy may want another attempt as the request's attempts time out."""
    servers = [FakeServer("s-0"), FakeServer("s-1")]
    for server in servers:
        server.responder = never_respond
    async with in_process_limiter(*servers) as (proxy, listener):
        client = RawClient(listener)
        client.send(build_request())
        await wait_until(lambda: received_by(servers))
        for request in proxy.requests.list_unanswered():
            proxy.forwarder.end_request(request)
        assert (await client.read_response()).status == 503
        client.send(build_request("order", request_id="2"))
        # A retry of the first request would have been sent before the second one.
        await wait_until(lambda: len(received_by(servers)) > 1)
        assert list_request_ids(received_by(servers)).count(REQUEST_ID) == 1


@pytest.mark.parametrize(
    ("longest_deadline_ms", "kill_after_seconds"), [(400.0, 1.1), (3000.0, 3.7), (8000.0, 3.7)]
)
def test_shutdown_ends_before_the_kill_whatever_the_deadlines(
    longest_deadline_ms: float, kill_after_seconds: float
) -> None:
    """The platform kills 0.7 s after the longest deadline, and 3.7 s after SIGTERM at the latest."""
    classes = (RequestClass(100.0, 200.0), RequestClass(100.0, longest_deadline_ms))
    settings = Settings(limiter_index=0, limiter_count=1, request_classes=classes, plans=(QuotaPlan(),))
    ends_after_seconds = shutdown.compute_shutdown_seconds(settings) + shutdown.FLUSH_SECONDS
    assert kill_after_seconds - 0.3 < ends_after_seconds < kill_after_seconds
