"""Tests that the time limits of an attempt hold when its request is written, not only when it is decided."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest

from limiter.model.events import NOT_EXECUTED_OUTCOMES, Outcome
from limiter.transport.servers import server_pool as server_pool_module
from limiter.transport.servers.attempt import Attempt, AttemptRequest
from limiter.transport.servers.server_pool import ServerPool
from tests.support.attempt_request import make_attempt_request
from tests.support.client import build_request
from tests.support.fake_server import FakeServer, never_respond
from tests.support.harness import LimiterHarness, limiter_with, wait_until_latest_list_applied
from tests.support.limiter_settings import make_raw_settings
from tests.support.waiting import WAIT_TIMEOUT_SECONDS, wait_until

SHORT_SECONDS = 0.02
# Long enough for a dial on a busy machine.
LONG_SECONDS = 1.0


@asynccontextmanager
async def pool_with_server() -> AsyncIterator[tuple[ServerPool, FakeServer]]:
    """Run a pool and its only server, whose id is s."""
    server = FakeServer("s")
    await server.listen()
    dial_timeout_ms = 10_000 * WAIT_TIMEOUT_SECONDS
    pool = ServerPool(dial_timeout_ms=dial_timeout_ms, keepalive_ms=30_000.0, max_connections=8)
    pool.add_or_replace(b"s", ("127.0.0.1", server.port), 0.0)
    try:
        yield pool, server
    finally:
        pool.close()
        server.listening_server.close()


async def send_and_wait(pool: ServerPool, request: AttemptRequest) -> Outcome:
    """Send a request and return the outcome of its attempt."""
    outcomes: list[Outcome] = []
    pool.send(Attempt(0, b"s", request, lambda _attempt, outcome, *_: outcomes.append(outcome)), None)
    await wait_until(lambda: outcomes, "end of the attempt")
    return outcomes[0]


def hold_up_after_dial(monkeypatch: pytest.MonkeyPatch, is_over: Callable[[], bool]) -> None:
    """Let the process be held up between the end of a dial and its next step, until a condition holds."""
    loop = asyncio.get_running_loop()
    create_connection = loop.create_connection

    async def create_connection_and_hold_up(*args: Any) -> Any:
        connection = await create_connection(*args)
        while not is_over():
            time.sleep(SHORT_SECONDS)  # noqa: ASYNC251 - blocks the event loop on purpose
        return connection

    monkeypatch.setattr(loop, "create_connection", create_connection_and_hold_up)


async def test_request_is_not_written_after_its_time_on_a_connection_that_came_up_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An order with a key was written 0.45 s after the servers had forgotten the key, and ran twice."""
    async with pool_with_server() as (pool, server):
        late = make_attempt_request(write_within_seconds=LONG_SECONDS)
        hold_up_after_dial(monkeypatch, lambda: late.remaining_write_seconds() <= 0)
        assert await send_and_wait(pool, late) is Outcome.REQUEST_ENDED
        monkeypatch.undo()
        monkeypatch.setattr(server_pool_module, "MIN_IDLE_BEFORE_REUSE_SECONDS", 0.0)
        # The next request is written on the same connection, so the server would have read the first one.
        assert await send_and_wait(pool, make_attempt_request("2")) is Outcome.OK
        assert [request.headers["x-request-id"] for request in server.received_requests] == ["2"]


async def test_dial_ends_when_its_request_must_not_be_written_any_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise the client would wait for a response until the dial times out, without any use."""

    async def wait_forever(*_: object) -> None:
        await asyncio.Event().wait()

    async with pool_with_server() as (pool, _):
        monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", wait_forever)
        outcome = await send_and_wait(pool, make_attempt_request(write_within_seconds=SHORT_SECONDS))
        assert outcome is Outcome.CONNECT_FAILED


@pytest.mark.parametrize(
    ("expires_in_seconds", "write_within_seconds"), [(0.0, math.inf), (5.0, 0.0)], ids=["expired", "too late"]
)
async def test_request_is_not_written_after_its_time_on_an_idle_connection(
    expires_in_seconds: float, write_within_seconds: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process may have been held up since the policy decided to send the attempt."""
    monkeypatch.setattr(server_pool_module, "MIN_IDLE_BEFORE_REUSE_SECONDS", 0.0)
    async with pool_with_server() as (pool, server):
        assert await send_and_wait(pool, make_attempt_request("1")) is Outcome.OK
        now_seconds = time.monotonic()
        late = AttemptRequest(
            b"GET /read/5 HTTP/1.1\r\nX-Request-Id: late\r\n",
            b"",
            expires_at_seconds=now_seconds + expires_in_seconds,
            write_before_seconds=now_seconds + write_within_seconds,
        )
        assert await send_and_wait(pool, late) in NOT_EXECUTED_OUTCOMES
        assert await send_and_wait(pool, make_attempt_request("3")) is Outcome.OK
        assert [request.headers["x-request-id"] for request in server.received_requests] == ["1", "3"]


async def test_server_is_told_the_time_that_is_left_when_the_request_is_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An attempt on a connection that came up 1 s late told its server 1 s more than its client waited."""
    async with pool_with_server() as (pool, server):
        request = make_attempt_request()
        writes_after_seconds = time.monotonic() + SHORT_SECONDS
        hold_up_after_dial(monkeypatch, lambda: time.monotonic() >= writes_after_seconds)
        await send_and_wait(pool, request)
        [received] = server.received_requests
        told_ms = int(received.headers["x-deadline-ms"])
        assert told_ms <= (request.expires_at_seconds - writes_after_seconds) * 1000


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
