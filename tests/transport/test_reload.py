"""Tests of the reload on SIGHUP, which changes the addresses of discovery and the counter under load."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from collections.abc import Callable
from typing import Any

from tests.support.client import build_request
from tests.support.fake_counter import FakeCounter
from tests.support.fake_discovery import FakeDiscovery
from tests.support.harness import LimiterHarness, collect_response_bodies, limiter_with
from tests.support.limiter_settings import make_raw_settings_with_quota
from tests.support.waiting import wait_until


async def start_discovery(*entries: dict[str, Any], version: int = 1) -> FakeDiscovery:
    """Start another discovery agent, whose list versions are independent of the first agent's."""
    discovery = FakeDiscovery()
    discovery.version = version
    discovery.entries = list(entries)
    await discovery.listen()
    return discovery


async def send_requests_until(harness: LimiterHarness, condition: Callable[[], object]) -> None:
    """Send requests until the condition holds; all must succeed, so the endpoint list may never be empty."""
    number = 0
    while not condition():
        number += 1
        assert (await harness.send_request(build_request("submit", request_id=f"a{number}"))).status == 200
        await asyncio.sleep(0.01)


@limiter_with(servers=2)
async def test_full_list_of_a_new_discovery_is_applied_even_if_its_version_is_lower(
    harness: LimiterHarness,
) -> None:
    """Each agent numbers its lists independently, so versions of different agents are not comparable.

    The environment still contains the address of the old agent, which must not take precedence.
    """
    first, second = harness.servers
    harness.discovery.version = 900
    harness.discovery.publish(first.make_list_entry(), full_list=True)
    await wait_until(lambda: "since=901" in harness.discovery.calls[-1].target)
    new_discovery = await start_discovery(second.make_list_entry(), version=3)
    harness.reload_configuration(discovery=new_discovery.address)
    await send_requests_until(harness, lambda: len(new_discovery.calls) > 1)
    assert new_discovery.calls[0].target == "/catalog/members"
    assert "since=3" in new_discovery.calls[1].target
    assert await collect_response_bodies(harness, "submit") == {b"from s-1"}
    new_discovery.publish(first.make_list_entry(), second.make_list_entry("leaving"))
    await wait_until(lambda: "since=4" in new_discovery.calls[-1].target)
    assert await collect_response_bodies(harness, "submit") == {b"from s-0"}


@limiter_with(servers=2)
async def test_current_list_is_kept_while_a_new_discovery_does_not_respond(harness: LimiterHarness) -> None:
    """The address can be changed again before the new agent has responded, and back to the first agent."""
    first, second = harness.servers
    harness.discovery.publish(first.make_list_entry(), full_list=True)
    await wait_until(lambda: "since=2" in harness.discovery.calls[-1].target)
    silent_discovery = await start_discovery()
    new_discovery = await start_discovery(second.make_list_entry())
    silent_discovery.is_responding = False
    harness.reload_configuration(discovery=silent_discovery.address)
    await send_requests_until(harness, lambda: silent_discovery.calls)
    assert (await harness.send_request(build_request("submit"))).body == b"from s-0"
    harness.reload_configuration(discovery=new_discovery.address)  # The silent agent has not responded yet.
    await wait_until(lambda: len(new_discovery.calls) > 1)
    assert (await harness.send_request(build_request("submit"))).body == b"from s-1"
    harness.reload_configuration(discovery=harness.discovery.address)
    await wait_until(lambda: harness.discovery.calls[-1].target.endswith("timeout_ms=1000"))
    await wait_until(lambda: harness.discovery.accepted_connections == 2)
    harness.process.send_signal(signal.SIGHUP)
    assert await harness.stop() == 0


@limiter_with(servers=2)
async def test_requests_are_rejected_while_a_new_discovery_does_not_respond_for_long(
    harness: LimiterHarness,
) -> None:
    """After some seconds the new agent's changes bind the limiter, which sent requests by its old list."""
    draining, ready = harness.servers
    new_discovery = await start_discovery(draining.make_list_entry("leaving"), ready.make_list_entry())
    new_discovery.is_responding = False
    harness.reload_configuration(discovery=new_discovery.address)
    await send_requests_until(harness, lambda: new_discovery.calls)
    await wait_until(lambda: "endpoint_list_expired" in "".join(harness.log_lines), "expiry of the list")
    received_before = len(harness.received_requests)
    for number in range(6):
        request = build_request("order", request_id=f"b{number}")
        assert (await harness.send_request(request)).status == 429
    assert len(harness.received_requests) == received_before
    new_discovery.is_responding = True
    await wait_until(lambda: "discovery_list_received version=1" in harness.log_lines[-1])
    assert await collect_response_bodies(harness, "order") == {b"from s-1"}


async def wait_for_log_line_after(harness: LimiterHarness, line_count: int) -> None:
    """Wait until the log has more than `line_count` lines."""
    await wait_until(lambda: len(harness.log_lines) > line_count, "another log line")


async def test_invalid_configuration_file_is_logged_in_one_line_and_requests_are_still_served(
    harness: LimiterHarness,
) -> None:
    """The limiter keeps the current configuration and continues to serve requests."""
    texts = ["{", "[]", "", "[" * 100_000, '{"name": "n0"}']
    for number, text in enumerate(texts):
        line_count = len(harness.log_lines)
        harness.reload_configuration(text)
        await wait_for_log_line_after(harness, line_count)
        assert "configuration_rejected" in harness.log_lines[-1]
        assert (await harness.send_request(build_request(request_id=f"b{number}"))).status == 200
    assert len([line for line in harness.log_lines if "configuration_rejected" in line]) == len(texts)
    harness.reload_configuration(discovery="nowhere")
    await wait_until(lambda: "discovery" in harness.log_lines[-1])
    assert (await harness.send_request(build_request())).status == 200


async def send_sixty_requests(harness: LimiterHarness) -> None:
    """Send 60 requests in sequence; each must get 200 or 429."""
    for number in range(60):
        assert (await harness.send_request(build_request(request_id=f"c{number}"))).status in (200, 429)
        await asyncio.sleep(0.02)


@limiter_with(settings=make_raw_settings_with_quota(rate=5.0, burst=10.0))
async def test_calls_in_flight_to_the_old_counter_are_not_repeated_at_the_new_one(
    harness: LimiterHarness,
) -> None:
    """A repeated call would add the same units at both counters.

    The replies to these calls are still read, after which the old connection is closed.
    """
    new_counter = FakeCounter()
    await new_counter.listen()
    harness.counter.delay_seconds = 0.04  # Calls time out after 0.05 s.
    sending_task = asyncio.create_task(send_sixty_requests(harness))
    await wait_until(lambda: harness.counter.calls)
    harness.reload_configuration(counter=new_counter.address)
    await wait_until(lambda: new_counter.calls, "calls to the new counter")
    await sending_task
    calls = [*harness.counter.calls, *new_counter.calls]
    added_units = sum(float(call[2]) for call in calls if call[0] == b"CNT.ADD")
    # The units of each forwarded request are added once, or have not been added yet.
    assert added_units <= len(harness.received_requests) + 1e-6
    await wait_until(
        lambda: harness.counter.closed_connections == harness.counter.accepted_connections,
        "close of the old connection",
    )


@limiter_with(settings=make_raw_settings_with_quota(rate=5.0, burst=4.0))
async def test_new_counter_that_refuses_connections_is_used_once_it_listens(harness: LimiterHarness) -> None:
    """Until then, requests are admitted or rejected without the counter."""
    new_counter = FakeCounter()
    await new_counter.listen()
    new_counter.listening_server.close()  # Connections to its port are refused after this.
    harness.reload_configuration(counter=new_counter.address)
    await wait_until(lambda: any("counter_connect_failed" in line for line in harness.log_lines))
    assert (await harness.send_request(build_request())).status in (200, 429)
    await new_counter.listen()
    number = 0
    while not new_counter.calls:
        number += 1
        assert (await harness.send_request(build_request(request_id=f"d{number}"))).status in (200, 429)
        await asyncio.sleep(0.02)


async def test_reload_signals_during_the_shutdown_do_not_end_the_process(harness: LimiterHarness) -> None:
    """In the last milliseconds, without the handlers of the event loop, SIGHUP ended it with exit code -1."""
    harness.process.send_signal(signal.SIGTERM)
    with contextlib.suppress(ProcessLookupError):
        while harness.process.returncode is None:
            # `Process.send_signal` would also collect the exit code, so that asyncio could not report it.
            os.kill(harness.process.pid, signal.SIGHUP)
            await asyncio.sleep(0.0005)
    assert await harness.process.wait() == 0
