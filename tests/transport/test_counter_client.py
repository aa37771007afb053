"""Tests of calls to the shared counter whose replies are late, missing, invalid or errors."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from limiter.model.events import Outcome
from limiter.transport.counter import counter_client as counter_client_module
from limiter.transport.counter.counter_client import CounterClient, CounterClientOptions
from tests.support.client import build_request
from tests.support.fake_counter import FakeCounter
from tests.support.fake_server import never_respond
from tests.support.harness import LimiterHarness, limiter_with
from tests.support.limiter_settings import make_raw_settings_with_quota
from tests.support.waiting import wait_until


async def send_requests_until(harness: LimiterHarness, condition: Callable[[], bool]) -> None:
    """Send requests that may cause counter calls until the condition holds; each must get 200 or 429."""
    while not condition():
        assert (await harness.send_request(build_request())).status in (200, 429)
        await asyncio.sleep(0.02)


async def call_counter(replies: list[bytes]) -> list[Outcome]:
    """Call a counter that sends the given replies in turn, once for each reply; return the outcomes."""
    counter = FakeCounter()
    await counter.listen()
    outcomes: list[Outcome] = []

    def on_reply(_name: int, outcome: Outcome, _total: float, _latency: float) -> None:
        outcomes.append(outcome)

    options = CounterClientOptions(("127.0.0.1", counter.port), 50.0, 250.0)
    client = CounterClient(options, on_reply)

    async def call() -> None:
        await wait_until(
            lambda: client.connection is not None and client.connection.is_open, "connection to the counter"
        )
        outcomes_before = len(outcomes)
        client.add(7, 1.0, 1000.0)
        await wait_until(lambda: len(outcomes) > outcomes_before, "outcome of the call")

    for reply in replies:
        counter.reply_override = reply
        await call()
    client.close()
    counter.listening_server.close()
    return outcomes


@limiter_with(settings=make_raw_settings_with_quota(rate=5.0, burst=10.0))
async def test_calls_are_well_formed_and_late_replies_do_not_close_the_connection(
    harness: LimiterHarness,
) -> None:
    """Late replies are matched to their calls in order, so a timeout does not require a new connection."""
    harness.counter.delay_seconds = 0.08  # Each call times out before its reply arrives.
    for index in range(6):
        assert (await harness.send_request(build_request(request_id=str(index)))).status in (200, 429)
        await asyncio.sleep(0.25)
    add_calls = [call for call in harness.counter.calls if call[0] == b"CNT.ADD"]
    assert len(add_calls) > 2
    for _, name, amount, time_to_live in add_calls:
        assert 0 <= int(name) < 2**64
        assert float(amount) >= 0
        assert 1 <= int(time_to_live) <= 60000
    assert harness.counter.accepted_connections == 1  # Late replies do not close the connection.
    harness.counter.delay_seconds = 0.0
    assert (await harness.send_request(build_request(request_id="last"))).status in (200, 429)


@pytest.mark.parametrize(
    "reply",
    [
        b"?what\r\n",
        b"$3\r\nabc\r\n",
        b":5\r\n",
        b"$3\r\nnan\r\n",
        b"$3\r\n1_0\r\n",
        b"$2\r\n 1\r\n",
        b"$5\r\n1e999\r\n",
        b"+PONG\r\n",
        b"$-1\r\n",
        b"-WHAT\r\n",
        b"-\r\n",
        b"$1000000\r\n" + b"1" * 2000,
        b"*400000000\r\n",
    ],
)
@limiter_with(settings=make_raw_settings_with_quota(rate=5.0, burst=4.0))
async def test_invalid_reply_closes_the_connection_and_requests_still_get_responses(
    harness: LimiterHarness, reply: bytes
) -> None:
    """After an invalid reply, later replies on the same connection cannot be matched to their calls."""
    harness.counter.reply_override = reply
    await send_requests_until(harness, lambda: harness.counter.accepted_connections >= 2)


async def test_only_busy_and_err_replies_are_treated_as_not_applied() -> None:
    """After any other error reply the counter may have added the units, so the call counts as timed out."""
    replies = [b"-BUSY\r\n", b"-ERR no such call\r\n", b"-BUSYBODY\r\n", b"-\xff\r\n", b"$2\r\n12\r\n"]
    assert await call_counter(replies) == [
        Outcome.REJECTED,
        Outcome.REJECTED,
        Outcome.TIMEOUT,
        Outcome.TIMEOUT,
        Outcome.OK,
    ]


async def test_client_reconnects_without_backoff_after_an_invalid_reply(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # With these delays, the test would time out if the client waited before it reconnects.
    monkeypatch.setattr(counter_client_module, "FIRST_BACKOFF_SECONDS", 1000.0)
    monkeypatch.setattr(counter_client_module, "MAX_BACKOFF_SECONDS", 1000.0)
    outcomes = await call_counter([b"$2\r\n12\r\n", b"$2\r\n0x\r\n"] * 4)
    assert outcomes == [Outcome.OK, Outcome.TIMEOUT] * 4


@limiter_with(settings=make_raw_settings_with_quota(rate=5.0, burst=4.0))
async def test_limiter_reconnects_to_a_counter_that_does_not_reply(harness: LimiterHarness) -> None:
    harness.counter.delay_seconds = 30.0
    await send_requests_until(harness, lambda: harness.counter.accepted_connections >= 2)


@limiter_with(settings=make_raw_settings_with_quota(rate=5.0, burst=4.0))
async def test_counter_is_used_again_after_it_was_down(harness: LimiterHarness) -> None:
    harness.counter.listening_server.close()
    harness.counter.reply_override = b"?rubbish\r\n"  # The limiter closes the connection.
    await send_requests_until(harness, lambda: bool(harness.counter.calls))
    await asyncio.sleep(0.3)
    assert (await harness.send_request(build_request())).status in (200, 429)
    harness.counter.reply_override = None
    await harness.counter.listen()
    harness.counter.calls.clear()
    await send_requests_until(harness, lambda: bool(harness.counter.calls))


@limiter_with(settings=make_raw_settings_with_quota(rate=5.0, burst=10.0))
async def test_busy_reply_does_not_close_the_connection_and_requests_are_still_served(
    harness: LimiterHarness,
) -> None:
    harness.counter.reply_override = b"-BUSY\r\n"
    statuses = [
        (await harness.send_request(build_request(request_id=str(index)))).status for index in range(5)
    ]
    assert statuses[0] == 200
    assert harness.counter.accepted_connections == 1  # -BUSY is a valid reply.


@limiter_with(settings=make_raw_settings_with_quota(rate=0.5, burst=1.0))
async def test_requests_waiting_for_the_counter_are_answered_without_its_reply(
    harness: LimiterHarness,
) -> None:
    """Each request gets a response although discovery, the counter and the server do not respond."""
    harness.discovery.is_responding = False
    harness.counter.delay_seconds = 5.0
    harness.servers[0].responder = never_respond
    requests = [
        build_request(
            request_id=str(index), deadline_ms=400, headers={"X-Weight": "units=1,spread=2,first=0"}
        )
        for index in range(10)
    ]
    responses = await asyncio.gather(*(harness.send_request(request) for request in requests))
    assert {response.status for response in responses} <= {429, 503, 504}
