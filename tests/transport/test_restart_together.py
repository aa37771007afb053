"""Tests that limiters that start simultaneously are ready in time, whatever the state of discovery."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from enum import StrEnum
from pathlib import Path
from typing import Any

import pytest

from tests.support.client import HEALTH_CHECK, build_request
from tests.support.fake_counter import FakeCounter
from tests.support.fake_discovery import FakeDiscovery
from tests.support.fake_server import FakeServer, SlowAcceptServer
from tests.support.harness import DEFAULT_DESCRIPTOR_LIMIT, LimiterHarness
from tests.support.limiter_settings import make_configured_endpoint_list, make_raw_settings_with_quota
from tests.support.ports import find_unused_port
from tests.support.waiting import wait_until

LIMITER_COUNT = 5
# Longest time until a limiter is ready, from its start or from the recovery of discovery.
MAX_READY_SECONDS = 10.0


class DiscoveryState(StrEnum):
    """Why discovery is not available when the limiters start."""

    NOT_RESPONDING = "not responding"
    OVERLOADED = "overloaded"
    REFUSING = "refusing connections"
    FULL_BACKLOG = "full backlog"


class SharedPeers:
    """The server, the discovery agent and the counter that all limiters share.

    In the states `REFUSING` and `FULL_BACKLOG`, the counter is unreachable too.
    """

    def __init__(self, state: DiscoveryState) -> None:
        """Create the peers, which do not listen yet."""
        self.state = state
        self.server = FakeServer("s-0")
        self.discovery = FakeDiscovery()
        self.counter = FakeCounter()
        self.full_backlog_server = SlowAcceptServer("full")
        self.discovery.is_responding = state is not DiscoveryState.NOT_RESPONDING
        self.discovery.status = 503

    async def listen(self) -> None:
        """Start to accept connections, except those that the state of discovery prevents."""
        for peer in (self.server, self.counter, self.discovery, self.full_backlog_server):
            await peer.listen()
        if self.state is DiscoveryState.REFUSING:
            self.discovery.port = find_unused_port()
            self.counter.port = find_unused_port()
        elif self.state is DiscoveryState.FULL_BACKLOG:
            self.discovery.port = self.full_backlog_server.port
            self.counter.port = self.full_backlog_server.port
        self.discovery.entries = [self.server.make_list_entry()]

    def configured_list(self) -> dict[str, Any]:
        """Return the endpoint list with the server, for the configuration of a limiter."""
        return make_configured_endpoint_list(*self.discovery.entries)

    def recover(self) -> None:
        """Make discovery respond with its list."""
        self.discovery.is_responding = True
        self.discovery.status = 200


@contextlib.asynccontextmanager
async def start_limiters_together(
    folder: Path, peers: SharedPeers, configured_list: dict[str, Any] | None
) -> AsyncIterator[list[LimiterHarness]]:
    """Start limiters simultaneously, every other one with pushed lists; yield once all of them listen."""
    limiters = [LimiterHarness(folder / f"{index}", 0) for index in range(LIMITER_COUNT)]
    for index, limiter in enumerate(limiters):
        limiter.config_folder.mkdir()
        limiter.discovery = peers.discovery
        with_quota = make_raw_settings_with_quota(rate=1.0, burst=5.0)
        with_quota["discovery"] = "pushed" if index % 2 else "on_request"
        limiter.config = {
            "listen": "127.0.0.1:0",
            "seed": f"{index}",
            "settings": with_quota,
            "known": configured_list,
            "counter": peers.counter.address,
        }
    await asyncio.gather(*(limiter.launch(DEFAULT_DESCRIPTOR_LIMIT) for limiter in limiters))
    try:
        yield limiters
    finally:
        for limiter in limiters:
            await limiter.kill()


async def check_ready_in_time(limiters: list[LimiterHarness], started: float) -> None:
    """Check that all limiters are healthy within MAX_READY_SECONDS of `started`."""
    await asyncio.gather(*(limiter.wait_until_healthy() for limiter in limiters))
    assert time.monotonic() - started < MAX_READY_SECONDS


async def check_served(limiters: list[LimiterHarness]) -> None:
    """Check that all limiters serve a request."""
    responses = await asyncio.gather(
        *(
            limiter.send_request(build_request(request_id=f"{index}"))
            for index, limiter in enumerate(limiters)
        )
    )
    assert {(response.status, response.body) for response in responses} == {(200, b"from s-0")}


async def check_rejected(limiters: list[LimiterHarness]) -> None:
    """Check that all limiters reject requests at once, and say when to come back."""
    for index, limiter in enumerate(limiters):
        response = await limiter.send_request(build_request("order", request_id=f"r{index}"))
        assert response.status == 429
        assert 0 < float(response.headers["retry-after"]) < 1


@pytest.mark.parametrize("state", DiscoveryState)
async def test_limiters_started_together_with_a_configured_list_are_ready_while_discovery_is_unavailable(
    state: DiscoveryState, tmp_path: Path
) -> None:
    """They use the configured list while discovery and the counter are unavailable.

    Limiters with an agent that runs but does not respond reject all requests, since they are bound by what
    it holds: after a restart they sent requests to servers that drained.
    """
    peers = SharedPeers(state)
    await peers.listen()
    started = time.monotonic()
    async with start_limiters_together(tmp_path, peers, peers.configured_list()) as limiters:
        await check_ready_in_time(limiters, started)
        is_agent_running = state is not DiscoveryState.REFUSING
        bound_limiters = limiters[1::2] if is_agent_running else []
        await check_rejected(bound_limiters)
        assert peers.server.received_requests == []
        await check_served([limiter for limiter in limiters if limiter not in bound_limiters])


@pytest.mark.parametrize("state", [DiscoveryState.NOT_RESPONDING, DiscoveryState.OVERLOADED])
async def test_limiters_that_rejected_requests_serve_them_once_discovery_responds(
    state: DiscoveryState, tmp_path: Path
) -> None:
    peers = SharedPeers(state)
    await peers.listen()
    async with start_limiters_together(tmp_path, peers, peers.configured_list()) as limiters:
        bound_limiters = limiters[1::2]
        await check_rejected(bound_limiters)
        peers.recover()
        await wait_until(
            lambda: all("discovery_list_received" in "".join(limiter.log_lines) for limiter in bound_limiters)
        )
        await check_served(limiters)


@pytest.mark.parametrize("state", [DiscoveryState.NOT_RESPONDING, DiscoveryState.OVERLOADED])
async def test_limiters_started_together_without_a_configured_list_are_ready_after_discovery_recovers(
    state: DiscoveryState, tmp_path: Path
) -> None:
    """Before that, they have no servers and fail their health checks."""
    peers = SharedPeers(state)
    await peers.listen()
    async with start_limiters_together(tmp_path, peers, configured_list=None) as limiters:
        assert {(await limiter.send_request(HEALTH_CHECK)).status for limiter in limiters} == {503}
        peers.recover()
        await check_ready_in_time(limiters, time.monotonic())
        await check_served(limiters)
