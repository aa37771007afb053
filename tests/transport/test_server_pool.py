"""The pool of connections to servers, in this process: reuse, failed dials and stale connections."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import AsyncIterator

import pytest

from limiter.model.events import Outcome
from limiter.transport.servers import server_pool as server_pool_module
from limiter.transport.servers.attempt import Attempt
from limiter.transport.servers.reuse_history import ReuseHistory
from limiter.transport.servers.server_pool import MIN_IDLE_BEFORE_REUSE_SECONDS, ServerPool
from tests.support.client import build_request
from tests.support.fake_server import FakeServer, reset_connection, respond_with
from tests.support.waiting import wait_until

ATTEMPT_TIMEOUT_SECONDS = 5.0


class PoolDriver:
    """Sends attempts to one server through a pool, and records how they end.

    Attributes:
        ended: for each attempt that has ended, its outcome and whether its connection was stale.
        sent: number of attempts so far.
    """

    def __init__(self, pool: ServerPool, server: FakeServer) -> None:
        """Take a pool that knows the server."""
        self.pool = pool
        self.server = server
        self.ended: list[tuple[Outcome, bool]] = []
        self.sent = 0

    def send(self) -> None:
        """Send the next attempt."""
        request = build_request(request_id=str(self.sent))
        attempt = Attempt(self.sent, self.server.endpoint_id.encode(), request, self._on_ended)
        self.sent += 1
        self.pool.send(attempt, ATTEMPT_TIMEOUT_SECONDS)

    async def wait_for_end(self) -> None:
        """Wait until all attempts have ended."""
        await wait_until(lambda: len(self.ended) == self.sent, "the end of all attempts")

    def _on_ended(self, attempt: Attempt, outcome: Outcome, _body: bytes, _content_type: bytes) -> None:
        self.ended.append((outcome, attempt.is_connection_stale))


@pytest.fixture
async def driver() -> AsyncIterator[PoolDriver]:
    """Run a pool and the one server that it knows."""
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
    ("cause", "is_kept"),
    [(errno.EMFILE, True), (errno.ECONNREFUSED, False)],
    ids=["out of descriptors here", "refused by the server"],
)
async def test_idle_connections_are_closed_after_a_failed_dial_unless_its_cause_is_local(
    cause: int, is_kept: bool, driver: PoolDriver, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A local cause, such as a lack of descriptors, says nothing about the server."""

    async def fail_to_connect(*_: object) -> None:
        raise OSError(cause, "no connection")

    driver.send()
    await wait_until(lambda: driver.pool.connections.idle)
    # With this the idle connection is not reused, so that another one must be opened.
    monkeypatch.setattr(server_pool_module, "MIN_IDLE_BEFORE_REUSE_SECONDS", 1000.0)
    monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", fail_to_connect)
    driver.send()
    await driver.wait_for_end()
    assert [outcome for outcome, _ in driver.ended] == [Outcome.OK, Outcome.CONNECT_FAILED]
    assert bool(driver.pool.connections.idle) == is_kept


async def test_reset_of_a_reused_connection_before_any_response_is_stale(driver: PoolDriver) -> None:
    """The three attempts are sent on a new connection, on the same one, and on a new one again."""
    for responder in (respond_with(200), reset_connection, reset_connection):
        driver.server.responder = responder
        driver.send()
        await driver.wait_for_end()
        await asyncio.sleep(2 * MIN_IDLE_BEFORE_REUSE_SECONDS)
    assert driver.ended == [(Outcome.OK, False), (Outcome.RESET, True), (Outcome.RESET, False)]


def test_idle_age_that_is_often_reset_is_not_reused_for_a_while() -> None:
    history = ReuseHistory()
    for _ in range(40):
        history.record(0.3, True)
        history.record(0.02, False)
    assert history.permits_reuse(0.02)  # At this idle age no connection was reset.
    assert not history.permits_reuse(0.3)
    assert any(history.permits_reuse(0.3) for _ in range(200))  # It is tried again after a while.


def test_resets_at_any_idle_age_do_not_prevent_reuse() -> None:
    history = ReuseHistory()
    for _ in range(40):
        history.record(0.3, True)
        history.record(0.02, True)
    assert history.permits_reuse(0.3)  # The idle time is not the cause, as all ages are reset alike.
