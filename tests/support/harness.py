"""Runs a limiter process on loopback together with fake services, which run in the test's event loop."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import resource
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any, TypedDict, Unpack, cast

import pytest

from tests.support.client import HEALTH_CHECK, Connection, Response, build_request
from tests.support.fake_counter import FakeCounter
from tests.support.fake_discovery import FakeDiscovery
from tests.support.fake_server import FakeServer, ReceivedRequest, SlowAcceptServer
from tests.support.limiter_settings import make_configured_endpoint_list, make_raw_settings
from tests.support.paths import REPOSITORY_ROOT
from tests.support.waiting import WAIT_TIMEOUT_SECONDS, wait_until

DEFAULT_DESCRIPTOR_LIMIT = 1024


class HarnessOptions(TypedDict, total=False):
    """Options of a test's limiter and of its fake services.

    Attributes:
        servers: number of servers that accept connections; 1 by default.
        slow_servers: number of additional SlowAcceptServers; 0 by default.
        settings: the limiter's settings; by default, those that `make_raw_settings` returns.
        config_changes: top-level keys of the configuration that are added or replaced.
        sockets: limit on file descriptors, both in the configuration and of the process;
            DEFAULT_DESCRIPTOR_LIMIT by default.
        wait_ready: whether to wait until the limiter's health check succeeds; True by default.
        entries: entries of discovery's endpoint list; by default, one for each server.
        discovery_responds: whether discovery responds to calls; True by default.
    """

    servers: int
    slow_servers: int
    settings: dict[str, Any] | None
    config_changes: dict[str, Any] | None
    sockets: int
    wait_ready: bool
    entries: list[dict[str, Any]] | None
    discovery_responds: bool


class LimiterHarness:
    """A limiter process, its configuration and log, and the fake services that it connects to.

    Attributes:
        config_folder: the folder of the configuration file.
        slow_servers: the servers to which no connection is established until `accept_connections`.
        servers: all servers, the slow ones first.
        discovery: the discovery agent.
        counter: the shared counter.
        process: the limiter process, set by `launch`.
        log_reader: the task that reads the log, set by `launch`.
        config: the configuration with which the process was launched.
        log_lines: the lines that the process has logged so far.
        port: the port that the limiter listens on; 0 before it listens.
    """

    def __init__(self, folder: Path, servers: int, slow_servers: int = 0) -> None:
        """Create the fake services; `start` launches the process.

        Args:
            folder: the folder to which the configuration file is written.
            servers: number of servers that accept connections.
            slow_servers: number of additional SlowAcceptServers.
        """
        self.config_folder = folder
        self.slow_servers = [SlowAcceptServer(f"late-{index}") for index in range(slow_servers)]
        normal_servers = [FakeServer(f"s-{index}") for index in range(servers)]
        self.servers: list[FakeServer] = [*self.slow_servers, *normal_servers]
        self.discovery = FakeDiscovery()
        self.counter = FakeCounter()
        self.process: asyncio.subprocess.Process
        self.log_reader: asyncio.Task[None]
        self.config: dict[str, Any] = {}
        self.log_lines: list[str] = []
        self.port = 0

    @property
    def received_requests(self) -> list[ReceivedRequest]:
        """All requests that the servers have received so far, grouped by server."""
        return [request for server in self.servers for request in server.received_requests]

    async def start(
        self,
        limiter_settings: dict[str, Any],
        max_descriptors: int,
        config_changes: dict[str, Any] | None = None,
    ) -> None:
        """Start the fake services, then launch the limiter.

        Args:
            limiter_settings: the settings in the configuration.
            max_descriptors: limit on file descriptors, both in the configuration and of the process.
            config_changes: top-level keys of the configuration that are added or replaced.
        """
        for service in (*self.servers, self.discovery, self.counter):
            await service.listen()
        if not self.discovery.entries:
            self.discovery.entries = [server.make_list_entry() for server in self.servers]
        self.config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": self.discovery.address,
            "counter": self.counter.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": max_descriptors},
            "known": make_configured_endpoint_list(*self.discovery.entries),
            "settings": limiter_settings,
            **(config_changes or {}),
        }
        await self.launch(max_descriptors)

    async def restart(self, **changes: Any) -> None:
        """Launch the limiter again with changes to its configuration, and wait until it is healthy."""
        self.config |= changes
        self.log_reader.cancel()
        await self.launch(DEFAULT_DESCRIPTOR_LIMIT)
        await self.wait_until_healthy()

    async def launch(self, max_descriptors: int) -> None:
        """Launch the limiter with the current configuration, and wait until it listens or has exited."""
        self.port = 0
        # As in production, the environment also states the address of the first discovery agent.
        self.process = await launch_limiter(
            self.config_folder, self.config, max_descriptors, RELAY_DISCOVERY=self.discovery.address
        )
        self.log_reader = asyncio.create_task(self._read_log())
        await wait_until(
            lambda: self.port or self.process.returncode is not None, "the limiter listens or exits"
        )

    async def wait_until_healthy(self) -> None:
        """Wait until the limiter's health check succeeds."""
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while (await self.send_request(HEALTH_CHECK)).status != 200:
            assert time.monotonic() < deadline, "timed out waiting for the health check to succeed"
            await asyncio.sleep(0.01)

    async def _read_log(self) -> None:
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.log_lines.append(line.decode())
            if found := re.search(r"listening name=.* address=.*:(\d+)", self.log_lines[-1]):
                self.port = int(found[1])

    async def connect(self) -> Connection:
        """Open a client's connection to the limiter."""
        return Connection(*await asyncio.open_connection("127.0.0.1", self.port))

    async def send_request(self, data: bytes) -> Response:
        """Send a request on a new connection and return the response."""
        connection = await self.connect()
        connection.send(data)
        try:
            return await connection.read_response()
        finally:
            connection.close()

    def reload_configuration(self, text: str | None = None, **changes: Any) -> None:
        """Replace the configuration file and send SIGHUP.

        Args:
            text: the new text of the file; None to write the configuration with `changes`.
            changes: top-level keys of the configuration that are added or replaced.
        """
        path = self.config_folder / "next.json"
        path.write_text(json.dumps({**self.config, **changes}) if text is None else text)
        path.replace(self.config_folder / "config.json")
        self.process.send_signal(signal.SIGHUP)

    def count_open_descriptors(self) -> int:
        """Return how many file descriptors the process has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def stop(self) -> int:
        """Send SIGTERM if the process still runs, wait for its exit and return its exit code."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            return await self.process.wait()

    async def kill(self) -> None:
        """Kill the process if it still runs, and stop reading its log."""
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.log_reader.cancel()


async def launch_limiter(
    folder: Path, config: Any, max_descriptors: int = DEFAULT_DESCRIPTOR_LIMIT, **environment: str
) -> asyncio.subprocess.Process:
    """Start a limiter process; its log is on the process's `stderr`.

    Args:
        folder: the folder to which the configuration file is written.
        config: the configuration as a JSON document, or as the text of the file.
        max_descriptors: the process's limit on file descriptors.
        environment: additional environment variables of the process.
    """
    path = folder / "config.json"
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "limiter",
        cwd=REPOSITORY_ROOT,
        env={**os.environ, "RELAY_CONFIG": str(path), **environment},
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors)),
    )


@contextlib.asynccontextmanager
async def running_limiter(**options: Unpack[HarnessOptions]) -> AsyncIterator[LimiterHarness]:
    """Run a limiter process together with fake services.

    Checks after the test that the process, if it has exited, logged that it stops, and that it logged no
    traceback.
    """
    with tempfile.TemporaryDirectory() as folder:
        harness = LimiterHarness(Path(folder), options.get("servers", 1), options.get("slow_servers", 0))
        harness.discovery.entries = options.get("entries") or []
        harness.discovery.is_responding = options.get("discovery_responds", True)
        max_descriptors = options.get("sockets", DEFAULT_DESCRIPTOR_LIMIT)
        await harness.start(
            options.get("settings") or make_raw_settings(), max_descriptors, options.get("config_changes")
        )
        try:
            if options.get("wait_ready", True):
                await harness.wait_until_healthy()
            yield harness
            log = "".join(harness.log_lines)
            assert harness.process.returncode is None or "stop" in log, log
            assert "Traceback" not in log, log
        finally:
            await harness.kill()


def limiter_with(**options: Unpack[HarnessOptions]) -> pytest.MarkDecorator:
    """Return a mark that sets these options of a test's `harness` fixture."""
    return pytest.mark.limiter_with(**options)


def get_marked_options(test: pytest.Item) -> HarnessOptions:
    """Return the options of the test's `limiter_with` mark; no options if it has no such mark."""
    mark = test.get_closest_marker("limiter_with")
    return cast("HarnessOptions", mark.kwargs if mark else {})


async def wait_until_list_version_applied(harness: LimiterHarness, version: int) -> None:
    """Wait until the limiter has applied that version, which shows in a call for the changes since it."""
    await wait_until(
        lambda: harness.discovery.calls and f"since={version}&" in harness.discovery.calls[-1].target,
        f"discovery gets a call for the changes since version {version}",
    )


async def wait_until_latest_list_applied(harness: LimiterHarness) -> None:
    """Wait until the limiter has applied the current version of discovery's list."""
    await wait_until_list_version_applied(harness, harness.discovery.version)


async def collect_response_bodies(harness: LimiterHarness, request_class: str, count: int = 6) -> set[bytes]:
    """Send requests, each on its own connection, and return the distinct bodies of their responses."""
    bodies = set()
    for number in range(count):
        response = await harness.send_request(build_request(request_class, request_id=str(number)))
        bodies.add(response.body)
    return bodies
