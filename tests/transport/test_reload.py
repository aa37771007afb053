"""SIGHUP: discovery and counter move to what the configuration file names now, under load."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from typing import Any

from tests.support.client import build_request
from tests.support.fake_counter import FakeCounter
from tests.support.fake_discovery import FakeDiscovery
from tests.support.harness import LimiterHarness, collect_response_bodies, limiter_with
from tests.support.limiter_settings import make_raw_settings_with_quota
from tests.support.waiting import wait_until


async def listening_discovery(*entries: dict[str, Any], version: int = 1) -> FakeDiscovery:
    """Start another discovery agent, which numbers its lists on its own."""
    discovery = FakeDiscovery()
    discovery.version = version
    discovery.entries = list(entries)
    await discovery.listen()
    return discovery


async def send_requests_until(harness: LimiterHarness, condition: Callable[[], object]) -> None:
    """Send requests until the condition holds; one would fail while the limiter had no server in its list."""
    number = 0
    while not condition():
        number += 1
        assert (await harness.send_request(build_request("submit", request_id=f"a{number}"))).status == 200
        await asyncio.sleep(0.01)


@limiter_with(servers=2)
async def test_the_full_list_of_a_new_discovery_is_taken_whatever_its_version(
    harness: LimiterHarness,
) -> None:
    """Each agent numbers its lists on its own; the environment still names the old agent."""
    first, second = harness.servers
    harness.discovery.version = 900
    harness.discovery.publish(first.make_list_entry(), full_list=True)
    await wait_until(lambda: "since=901" in harness.discovery.calls[-1].target)
    new_discovery = await listening_discovery(second.make_list_entry(), version=3)
    harness.reload_configuration(discovery=new_discovery.address)
    await send_requests_until(harness, lambda: len(new_discovery.calls) > 1)
    assert new_discovery.calls[0].target == "/catalog/members"
    assert "since=3" in new_discovery.calls[1].target
    assert await collect_response_bodies(harness, "submit") == {b"from s-1"}
    new_discovery.publish(first.make_list_entry(), second.make_list_entry("leaving"))
    await wait_until(lambda: "since=4" in new_discovery.calls[-1].target)
    assert await collect_response_bodies(harness, "submit") == {b"from s-0"}


@limiter_with(servers=2)
async def test_the_list_stands_while_a_new_discovery_is_silent(harness: LimiterHarness) -> None:
    """Another move works while the first one is under way, and so does a move back to the first agent."""
    first, second = harness.servers
    harness.discovery.publish(first.make_list_entry(), full_list=True)
    await wait_until(lambda: "since=2" in harness.discovery.calls[-1].target)
    silent = await listening_discovery()
    new_discovery = await listening_discovery(second.make_list_entry())
    silent.is_responding = False
    harness.reload_configuration(discovery=silent.address)
    await send_requests_until(harness, lambda: silent.calls)
    assert (await harness.send_request(build_request("submit"))).body == b"from s-0"
    harness.reload_configuration(discovery=new_discovery.address)  # The first move is still under way.
    await wait_until(lambda: len(new_discovery.calls) > 1)
    assert (await harness.send_request(build_request("submit"))).body == b"from s-1"
    harness.reload_configuration(discovery=harness.discovery.address)
    await wait_until(lambda: harness.discovery.calls[-1].target.endswith("timeout_ms=1000"))
    await wait_until(lambda: harness.discovery.accepted_connections == 2)
    harness.process.send_signal(signal.SIGHUP)
    assert await harness.stop() == 0


async def wait_for_log_line_after(harness: LimiterHarness, line_count: int) -> None:
    """Wait until the log has more lines than that."""
    await wait_until(lambda: len(harness.log_lines) > line_count, "a log line")


async def test_a_bad_file_is_logged_in_one_line_and_the_service_goes_on(harness: LimiterHarness) -> None:
    """The limiter keeps the configuration that it has read before."""
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
    """Send requests in sequence, each of which is either served or rejected."""
    for number in range(60):
        assert (await harness.send_request(build_request(request_id=f"c{number}"))).status in (200, 429)
        await asyncio.sleep(0.02)


@limiter_with(settings=make_raw_settings_with_quota(rate=5.0, burst=10.0))
async def test_calls_in_flight_on_the_old_counter_are_not_repeated(harness: LimiterHarness) -> None:
    """Their replies are read, and the old connection is closed."""
    new_counter = FakeCounter()
    await new_counter.listen()
    harness.counter.delay_seconds = 0.04  # Calls time out after 0.05 s.
    sending = asyncio.create_task(send_sixty_requests(harness))
    await wait_until(lambda: harness.counter.calls)
    harness.reload_configuration(counter=new_counter.address)
    await wait_until(lambda: new_counter.calls, "calls at the new counter")
    await sending
    calls = [*harness.counter.calls, *new_counter.calls]
    added = sum(float(call[2]) for call in calls if call[0] == b"CNT.ADD")
    # Each unit that was forwarded is added once, or is still to be added.
    assert added <= len(harness.received_requests) + 1e-6
    await wait_until(
        lambda: harness.counter.closed_connections == harness.counter.accepted_connections,
        "the old connection is closed",
    )


@limiter_with(settings=make_raw_settings_with_quota(rate=5.0, burst=4.0))
async def test_a_counter_that_does_not_listen_yet_is_used_once_it_does(harness: LimiterHarness) -> None:
    """Requests are decided without a counter until then."""
    new_counter = FakeCounter()
    await new_counter.listen()
    new_counter.listening_server.close()  # From now on, connections to its port are refused.
    harness.reload_configuration(counter=new_counter.address)
    await wait_until(lambda: any("counter_connect_failed" in line for line in harness.log_lines))
    assert (await harness.send_request(build_request())).status in (200, 429)
    await new_counter.listen()
    number = 0
    while not new_counter.calls:
        number += 1
        assert (await harness.send_request(build_request(request_id=f"d{number}"))).status in (200, 429)
        await asyncio.sleep(0.02)
