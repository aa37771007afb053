"""Limiters that restart together, on real sockets: they are ready in time, whatever discovery does."""

from __future__ import annotations

import asyncio
import contextlib
import socket
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

LIMITER_COUNT = 5
READY_SECONDS = 10.0  # A limiter must be ready so soon after its start, or after discovery's first response.


class DiscoveryState(StrEnum):
    """What the limiters find in place of a working discovery agent."""

    NOT_RESPONDING = "not responding"
    OVERLOADED = "overloaded"
    REFUSING = "refusing connections"
    FULL_BACKLOG = "full backlog"


def unused_port() -> int:
    """Return a port of loopback at which nobody listens."""
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return int(free.getsockname()[1])


class SharedPeers:
    """The one server, the discovery agent and the counter that all limiters share.

    With `REFUSING` and `FULL_BACKLOG` the counter cannot be reached either.
    """

    def __init__(self, state: DiscoveryState) -> None:
        """Make the peers, which do not listen yet."""
        self.state = state
        self.server = FakeServer("s-0")
        self.discovery = FakeDiscovery()
        self.counter = FakeCounter()
        self.full = SlowAcceptServer("full")
        self.discovery.is_responding = state is not DiscoveryState.NOT_RESPONDING
        self.discovery.status = 503

    async def listen(self) -> None:
        """Accept connections, but for those that the discovery state rules out."""
        for peer in (self.server, self.counter, self.discovery, self.full):
            await peer.listen()
        if self.state is DiscoveryState.REFUSING:
            self.discovery.port = unused_port()
            self.counter.port = unused_port()
        elif self.state is DiscoveryState.FULL_BACKLOG:
            self.discovery.port = self.full.port
            self.counter.port = self.full.port
        self.discovery.entries = [self.server.make_list_entry()]

    def known_list(self) -> dict[str, Any]:
        """Return the list with the server, for a limiter's configuration."""
        return make_configured_endpoint_list(*self.discovery.entries)

    def recover(self) -> None:
        """Let discovery respond with its list from now on."""
        self.discovery.is_responding = True
        self.discovery.status = 200


@contextlib.asynccontextmanager
async def limiters_started_together(
    folder: Path, peers: SharedPeers, known_list: dict[str, Any] | None
) -> AsyncIterator[list[LimiterHarness]]:
    """Run limiters that start at once, every other one with a pushed list; all of them listen already."""
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
            "known": known_list,
            "counter": peers.counter.address,
        }
    await asyncio.gather(*(limiter.launch(DEFAULT_DESCRIPTOR_LIMIT) for limiter in limiters))
    try:
        yield limiters
    finally:
        for limiter in limiters:
            await limiter.kill()


async def check_ready_in_time(limiters: list[LimiterHarness], started: float) -> None:
    """Check that all limiters are healthy soon after that time, and that each then serves a request."""
    await asyncio.gather(*(limiter.wait_until_healthy() for limiter in limiters))
    assert time.monotonic() - started < READY_SECONDS
    responses = await asyncio.gather(
        *(
            limiter.send_request(build_request(request_id=f"{index}"))
            for index, limiter in enumerate(limiters)
        )
    )
    assert {(response.status, response.body) for response in responses} == {(200, b"from s-0")}


@pytest.mark.parametrize("state", DiscoveryState)
async def test_limiters_with_a_known_list_that_restart_together_are_ready_in_time(
    state: DiscoveryState, tmp_path: Path
) -> None:
    """They serve by the known list, whatever discovery and the counter do."""
    peers = SharedPeers(state)
    await peers.listen()
    started = time.monotonic()
    async with limiters_started_together(tmp_path, peers, peers.known_list()) as limiters:
        await check_ready_in_time(limiters, started)


@pytest.mark.parametrize("state", [DiscoveryState.NOT_RESPONDING, DiscoveryState.OVERLOADED])
async def test_limiters_without_a_known_list_are_ready_soon_after_discovery_recovers(
    state: DiscoveryState, tmp_path: Path
) -> None:
    """Before that, they know no server and report that they are not healthy."""
    peers = SharedPeers(state)
    await peers.listen()
    async with limiters_started_together(tmp_path, peers, known_list=None) as limiters:
        assert {(await limiter.send_request(HEALTH_CHECK)).status for limiter in limiters} == {503}
        peers.recover()
        await check_ready_in_time(limiters, time.monotonic())
