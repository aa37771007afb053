"""Tests of the pool of server connections: reuse, failed dials, stale connections and the time of writing."""

from __future__ import annotations

import asyncio
import errno
import math
import time
from collections.abc import AsyncIterator, Callable
from types import SimpleNamespace
from typing import Any

import pytest

from limiter.model.events import NOT_EXECUTED_OUTCOMES, Outcome
from limiter.transport.servers import server_pool as server_pool_module
from limiter.transport.servers.attempt import Attempt, AttemptRequest
from limiter.transport.servers.reuse_history import ReuseHistory
from limiter.transport.servers.server_pool import MIN_IDLE_BEFORE_REUSE_SECONDS, ServerPool
from tests.support.attempt_request import make_attempt_request
from tests.support.fake_server import FakeServer, reset_connection, respond_raw, respond_with
from tests.support.waiting import WAIT_TIMEOUT_SECONDS, wait_until

ATTEMPT_TIMEOUT_SECONDS = 5.0
# No dial times out in a test.
DIAL_TIMEOUT_MS = 10_000 * WAIT_TIMEOUT_SECONDS
SHORT_SECONDS = 0.02
# Long enough for a dial on a busy machine.
LONG_SECONDS = 1.0


class PoolDriver:
    """Sends attempts to one server through a pool, and records their outcomes.

    Attributes:
        attempt_results: for each attempt that has ended, its outcome and whether its connection was stale.
        sent_count: number of attempts sent so far.
    """

    def __init__(self, pool: ServerPool, server: FakeServer) -> None:
        """Use a pool to which the server has been added."""
        self.pool = pool
        self.server = server
        self.attempt_results: list[tuple[Outcome, bool]] = []
        self.sent_count = 0

    def send(self) -> None:
        """Send the next attempt."""
        self._send(make_attempt_request(request_id=str(self.sent_count)), ATTEMPT_TIMEOUT_SECONDS)

    def _send(self, request: AttemptRequest, timeout_seconds: float | None) -> None:
        attempt = Attempt(self.sent_count, self.server.endpoint_id.encode(), request, self._on_ended)
        self.sent_count += 1
        self.pool.send(attempt, timeout_seconds)

    async def wait_for_end(self) -> None:
        """Wait until all attempts have ended."""
        await wait_until(lambda: len(self.attempt_results) == self.sent_count, "end of all attempts")

    async def send_and_wait(self, request: AttemptRequest) -> Outcome:
        """Send an attempt with this request and without a timeout, and return its outcome."""
        self._send(request, None)
        await self.wait_for_end()
        return self.attempt_results[-1][0]

    def _on_ended(self, attempt: Attempt, outcome: Outcome, _body: bytes, _content_type: bytes) -> None:
        self.attempt_results.append((outcome, attempt.is_connection_stale))


@pytest.fixture
async def driver() -> AsyncIterator[PoolDriver]:
    """Run a pool and its only server."""
    server = FakeServer("s")
    await server.listen()
    pool = ServerPool(dial_timeout_ms=DIAL_TIMEOUT_MS, keepalive_ms=30_000.0, max_connections=8)
    pool.add_or_replace(b"s", ("127.0.0.1", server.port), 0.0)
    try:
        yield PoolDriver(pool, server)
    finally:
        pool.close()
        server.listening_server.close()


@pytest.mark.parametrize(
    ("dial_errno", "is_kept"),
    [(errno.EMFILE, True), (errno.ECONNREFUSED, False)],
    ids=["out of local descriptors", "connection refused by the server"],
)
async def test_idle_connections_are_closed_after_a_failed_dial_unless_the_cause_is_local(
    dial_errno: int, is_kept: bool, driver: PoolDriver, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A local cause, such as a lack of descriptors, does not indicate a failure of the server."""

    async def fail_to_connect(*_: object) -> None:
        raise OSError(dial_errno, "no connection")

    driver.send()
    await wait_until(lambda: driver.pool.connections.idle)
    # This prevents reuse of the idle connection, so that the next attempt needs a dial.
    monkeypatch.setattr(server_pool_module, "MIN_IDLE_BEFORE_REUSE_SECONDS", 1000.0)
    monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", fail_to_connect)
    driver.send()
    await driver.wait_for_end()
    assert [outcome for outcome, _ in driver.attempt_results] == [Outcome.OK, Outcome.CONNECT_FAILED]
    assert bool(driver.pool.connections.idle) == is_kept


@pytest.mark.parametrize(
    ("idle_seconds", "connections"), [(0.02, 2), (0.04, 1)], ids=["may receive a second response", "reusable"]
)
async def test_connection_is_reused_only_after_a_late_second_response_would_have_arrived(
    idle_seconds: float, connections: int, driver: PoolDriver, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A second response that came 10 to 12 ms late was served to the client of the next request."""
    driver.send()
    await wait_until(lambda: driver.pool.connections.idle)
    [connection] = driver.pool.connections.idle
    reused_at_seconds = time.monotonic() - connection.idle_seconds(time.monotonic()) + idle_seconds
    clock = SimpleNamespace(monotonic=lambda: reused_at_seconds)
    monkeypatch.setattr(server_pool_module, "time", clock)
    driver.send()
    await driver.wait_for_end()
    assert driver.server.accepted_connections == connections


async def test_only_a_reused_connection_that_is_reset_before_a_response_is_reported_as_stale(
    driver: PoolDriver,
) -> None:
    """The attempts are sent on a new connection, on the same connection, and on another new connection."""
    for responder in (respond_with(200), reset_connection, reset_connection):
        driver.server.responder = responder
        driver.send()
        await driver.wait_for_end()
        await asyncio.sleep(2 * MIN_IDLE_BEFORE_REUSE_SECONDS)
    assert driver.attempt_results == [(Outcome.OK, False), (Outcome.RESET, True), (Outcome.RESET, False)]


@pytest.mark.parametrize(
    "data", [b"what?", b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nonly this"], ids=["not HTTP", "surplus"]
)
async def test_invalid_response_on_a_reused_connection_is_not_reported_as_stale(
    data: bytes, driver: PoolDriver
) -> None:
    """Invalid responses counted as closes of idle connections, so their server was not ejected for them."""
    for responder in (respond_with(200), respond_raw(data)):
        driver.server.responder = responder
        driver.send()
        await driver.wait_for_end()
        await asyncio.sleep(2 * MIN_IDLE_BEFORE_REUSE_SECONDS)
    assert driver.server.accepted_connections == 1
    assert driver.attempt_results == [(Outcome.OK, False), (Outcome.RESET, False)]


def test_connections_are_not_reused_after_idle_times_at_which_resets_are_frequent() -> None:
    history = ReuseHistory()
    for _ in range(40):
        history.record(0.3, True)
        history.record(0.02, False)
    assert history.permits_reuse(0.02)  # No connection was reset after this idle time.
    assert not history.permits_reuse(0.3)
    assert any(history.permits_reuse(0.3) for _ in range(200))  # Reuse is eventually permitted again.


def test_resets_that_do_not_depend_on_idle_time_do_not_prevent_reuse() -> None:
    history = ReuseHistory()
    for _ in range(40):
        history.record(0.3, True)
        history.record(0.02, True)
    assert history.permits_reuse(0.3)  # Idle time is not the cause, because resets occur after any idle time.


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
    driver: PoolDriver, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An order with a key was written 0.45 s after the servers had forgotten the key, and ran twice."""
    late = make_attempt_request(write_within_seconds=LONG_SECONDS)
    hold_up_after_dial(monkeypatch, lambda: late.remaining_write_seconds() <= 0)
    assert await driver.send_and_wait(late) is Outcome.REQUEST_ENDED
    monkeypatch.undo()
    monkeypatch.setattr(server_pool_module, "MIN_IDLE_BEFORE_REUSE_SECONDS", 0.0)
    # The next request is written on the same connection, so the server would have read the first one.
    assert await driver.send_and_wait(make_attempt_request("2")) is Outcome.OK
    assert [request.headers["x-request-id"] for request in driver.server.received_requests] == ["2"]


async def test_dial_ends_when_its_request_must_not_be_written_any_more(
    driver: PoolDriver, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise the client would wait for a response until the dial times out, without any use."""

    async def wait_forever(*_: object) -> None:
        await asyncio.Event().wait()

    monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", wait_forever)
    outcome = await driver.send_and_wait(make_attempt_request(write_within_seconds=SHORT_SECONDS))
    assert outcome is Outcome.CONNECT_FAILED


@pytest.mark.parametrize(
    ("expires_in_seconds", "write_within_seconds"), [(0.0, math.inf), (5.0, 0.0)], ids=["expired", "too late"]
)
async def test_request_is_not_written_after_its_time_on_an_idle_connection(
    expires_in_seconds: float,
    write_within_seconds: float,
    driver: PoolDriver,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The process may have been held up since the policy decided to send the attempt."""
    monkeypatch.setattr(server_pool_module, "MIN_IDLE_BEFORE_REUSE_SECONDS", 0.0)
    assert await driver.send_and_wait(make_attempt_request("1")) is Outcome.OK
    now_seconds = time.monotonic()
    late = AttemptRequest(
        b"GET /read/5 HTTP/1.1\r\nX-Request-Id: late\r\n",
        b"",
        expires_at_seconds=now_seconds + expires_in_seconds,
        write_before_seconds=now_seconds + write_within_seconds,
    )
    assert await driver.send_and_wait(late) in NOT_EXECUTED_OUTCOMES
    assert await driver.send_and_wait(make_attempt_request("3")) is Outcome.OK
    assert [request.headers["x-request-id"] for request in driver.server.received_requests] == ["1", "3"]


async def test_server_is_told_the_time_that_is_left_when_the_request_is_written(
    driver: PoolDriver, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An attempt on a connection that came up 1 s late told its server 1 s more than its client waited."""
    request = make_attempt_request()
    writes_after_seconds = time.monotonic() + SHORT_SECONDS
    hold_up_after_dial(monkeypatch, lambda: time.monotonic() >= writes_after_seconds)
    await driver.send_and_wait(request)
    [received] = driver.server.received_requests
    told_ms = int(received.headers["x-deadline-ms"])
    assert told_ms <= (request.expires_at_seconds - writes_after_seconds) * 1000
