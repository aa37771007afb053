"""Tests of clients that do not read their responses."""

from __future__ import annotations

import socket

import pytest

from limiter.transport.clients import connection_registry
from limiter.transport.clients.listener import Listener
from tests.support.client import HEALTH_CHECK, build_request
from tests.support.fake_server import FakeServer, list_request_ids, respond_with
from tests.support.in_process_limiter import RawClient, in_process_limiter
from tests.support.waiting import wait_until

# Too long for the socket buffers of both ends.
LONG_BODY = b"x" * 65_536
SMALL_SOCKET_BUFFER_BYTES = 4096


def use_small_socket_buffers(listener: Listener) -> None:
    """Reduce the send buffer of the connections that are accepted from now on."""
    listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_SOCKET_BUFFER_BYTES)


def connect_with_small_buffer(listener: Listener) -> RawClient:
    """Connect a client whose receive buffer does not hold a long response."""
    client = RawClient(listener)
    client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_SOCKET_BUFFER_BYTES)
    return client


def has_unsent_response(listener: Listener) -> bool:
    """Return whether a response waits in the limiter for its client to read."""
    transports = [connection.transport for connection in listener.registry.connections]
    return any(transport is not None and transport.get_write_buffer_size() for transport in transports)


async def test_next_pipelined_request_waits_until_the_client_has_read_the_response() -> None:
    """17 pipelined requests with long responses took 1.1 MB of memory on each of up to 550 connections."""
    server = FakeServer("s-0")
    server.responder = respond_with(200, LONG_BODY)
    async with in_process_limiter(server) as (_, listener):
        use_small_socket_buffers(listener)
        client = connect_with_small_buffer(listener)
        client.send(b"".join(build_request(request_id=f"r{number}") for number in range(3)))
        await wait_until(lambda: has_unsent_response(listener), "the response is blocked")
        other_client = RawClient(listener)
        other_client.send(HEALTH_CHECK)
        assert (await other_client.read_response()).status == 200
        assert list_request_ids(server.received_requests) == ["r0"]
        assert [(await client.read_response()).body for _ in range(3)] == [LONG_BODY] * 3
        await wait_until(lambda: len(listener.registry.idle) == 2, "both connections are idle")


@pytest.mark.parametrize("is_last", [True, False], ids=["closing", "with unread input"])
async def test_connection_is_closed_if_its_client_does_not_read_the_response(
    is_last: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Neither a pending close nor further input may keep the response in memory for an unlimited time."""
    server = FakeServer("s-0")
    server.responder = respond_with(200, LONG_BODY)
    async with in_process_limiter(server) as (_, listener):
        use_small_socket_buffers(listener)
        client = connect_with_small_buffer(listener)
        client.send(build_request(headers={"Connection": "close"} if is_last else {}))
        await wait_until(lambda: has_unsent_response(listener), "the response is blocked")
        if not is_last:
            client.send(build_request(request_id="next"))
        listener.registry.close_expired_connections()
        assert listener.registry.connections  # Not before the timeout.
        monkeypatch.setattr(connection_registry, "SEND_TIMEOUT_SECONDS", 0.0, raising=False)
        listener.registry.close_expired_connections()
        assert not listener.registry.connections


async def test_connection_with_an_unread_response_is_closed_for_a_new_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """At the limit on connections, clients that do not read must not displace those that do."""
    monkeypatch.setattr(connection_registry, "MIN_BLOCKED_SECONDS_BEFORE_SHEDDING", 0.0, raising=False)
    server = FakeServer("s-0")
    server.responder = respond_with(200, LONG_BODY)
    async with in_process_limiter(server) as (_, listener):
        use_small_socket_buffers(listener)
        client = connect_with_small_buffer(listener)
        client.send(build_request())
        await wait_until(lambda: has_unsent_response(listener), "the response is blocked")
        assert listener.registry.shed_connection()
        assert not listener.registry.connections
