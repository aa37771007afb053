"""Tests of the pool of server connections: reuse, failed dials and stale connections."""

from __future__ import annotations

import asyncio
import errno
import time
from collections.abc import AsyncIterator
from types import SimpleNamespace

import pytest

from limiter.model.events import Outcome
from limiter.transport.servers import server_pool as server_pool_module
from limiter.transport.servers.attempt import Attempt
from limiter.transport.servers.reuse_history import ReuseHistory
from limiter.transport.servers.server_pool import MIN_IDLE_BEFORE_REUSE_SECONDS, ServerPool
from tests.support.attempt_request import make_attempt_request
from tests.support.fake_server import FakeServer, reset_connection, respond_with
from tests.support.waiting import wait_until

ATTEMPT_TIMEOUT_SECONDS = 5.0


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
        request = make_attempt_request(request_id=str(self.sent_count))
        attempt = Attempt(self.sent_count, self.server.endpoint_id.encode(), request, self._on_ended)
        self.sent_count += 1
        self.pool.send(attempt, ATTEMPT_TIMEOUT_SECONDS)

    async def wait_for_end(self) -> None:
        """Wait until all attempts have ended."""
        await wait_until(lambda: len(self.attempt_results) == self.sent_count, "end of all attempts")

    def _on_ended(self, attempt: Attempt, outcome: Outcome, _body: bytes, _content_type: bytes) -> None:
        self.attempt_results.append((outcome, attempt.is_connection_stale))


@pytest.fixture
async def driver() -> AsyncIterator[PoolDriver]:
    """Run a pool and its only server."""
    server = FakeServer("s")
    await server.listen()
    pool = ServerPool(dial_timeout_ms=250.0, keepalive_ms=30_000.0, max_connections=8)
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
