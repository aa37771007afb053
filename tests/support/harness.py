"""A limiter process on loopback, between fakes that the event loop of the test serves."""

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
from tests.support.waiting import WAIT_TIMEOUT_SECONDS, wait_until

REPOSITORY_ROOT = Path(__file__).parents[2]
DEFAULT_DESCRIPTOR_LIMIT = 1024


class HarnessOptions(TypedDict, total=False):
    """What a test may choose of its limiter and the fakes around it.

    Attributes:
        servers: number of servers that accept connections; 1 if not given.
        slow_servers: number of further servers, which complete no connection until `open`; 0 if not given.
        settings: the limiter's settings; those of `settings()` if not given.
        config_changes: further keys of the configuration.
        sockets: limit of descriptors, of the configuration and of the process; DEFAULT_SOCKETS if not given.
        wait_ready: whether to wait until the limiter is healthy; True if not given.
        entries: discovery's list; the entries of all servers if not given.
        discovery_responds: whether discovery responds; True if not given.
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
    """A limiter process, its configuration and log, and the fakes that it connects to.

    Attributes:
        config_folder: where the configuration file is.
        slow_servers: servers that complete no connection until they are opened.
        servers: all servers, the slow ones first.
        discovery: the discovery agent.
        counter: the shared counter.
        process: the limiter process, from `launch` on.
        log_reader: the task that reads the log, from `launch` on.
        config: the configuration with which the process was launched.
        log_lines: the lines that the process has logged so far.
        port: the port that the limiter listens on; 0 before it listens.
    """

    def __init__(self, folder: Path, servers: int, slow_servers: int = 0) -> None:
        """Make the fakes; the process is launched by `start`.

        Args:
            folder: where the configuration is written.
            servers: number of servers that accept connections.
            slow_servers: number of servers that complete no connection until they are opened.
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
        """All requests that the servers received so far, server by server."""
        return [request for server in self.servers for request in server.received_requests]

    async def start(
        self, limiter_settings: dict[str, Any], sockets: int, config_changes: dict[str, Any] | None = None
    ) -> None:
        """Let the fakes listen, then launch the limiter.

        Args:
            limiter_settings: the settings in its configuration.
            sockets: limit of descriptors, of the configuration and of the process.
            config_changes: further keys of the configuration.
        """
        for peer in (*self.servers, self.discovery, self.counter):
            await peer.listen()
        if not self.discovery.entries:
            self.discovery.entries = [server.make_list_entry() for server in self.servers]
        self.config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": self.discovery.address,
            "counter": self.counter.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": make_configured_endpoint_list(*self.discovery.entries),
            "settings": limiter_settings,
            **(config_changes or {}),
        }
        await self.launch(sockets)

    async def restart(self, **changes: Any) -> None:
        """Launch the limiter again, with changes to its configuration, and wait until it is healthy."""
        self.config |= changes
        self.log_reader.cancel()
        await self.launch(DEFAULT_DESCRIPTOR_LIMIT)
        await self.wait_until_healthy()

    async def launch(self, sockets: int) -> None:
        """Launch the limiter with the present configuration; return once it listens or has exited."""
        self.port = 0
        # As in production, the environment names the first discovery agent too.
        self.process = await launch_limiter(
            self.config_folder, self.config, sockets, RELAY_DISCOVERY=self.discovery.address
        )
        self.log_reader = asyncio.create_task(self._read_log())
        await wait_until(lambda: self.port or self.process.returncode is not None, "listening")

    async def wait_until_healthy(self) -> None:
        """Wait until the limiter's health check succeeds."""
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while (await self.send_request(HEALTH_CHECK)).status != 200:
            assert time.monotonic() < deadline, "never ready"
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
        """Send a request on a connection of its own and return the response."""
        connection = await self.connect()
        connection.send(data)
        try:
            return await connection.read_response()
        finally:
            connection.close()

    def reload_configuration(self, text: str | None = None, **changes: Any) -> None:
        """Replace the configuration's file, by this text or with these changes, and send SIGHUP."""
        path = self.config_folder / "next.json"
        path.write_text(json.dumps({**self.config, **changes}) if text is None else text)
        path.replace(self.config_folder / "config.json")
        self.process.send_signal(signal.SIGHUP)

    def count_open_descriptors(self) -> int:
        """Return how many descriptors the process has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def stop(self) -> int:
        """Send SIGTERM if the process still runs, and return its exit code."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            return await self.process.wait()

    async def kill(self) -> None:
        """End the process if it still runs, and stop reading its log."""
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.log_reader.cancel()


async def launch_limiter(
    folder: Path, config: Any, sockets: int = DEFAULT_DESCRIPTOR_LIMIT, **environment: str
) -> asyncio.subprocess.Process:
    """Start a limiter process; its log is on the process's `stderr`.

    Args:
        folder: where the configuration is written.
        config: the configuration as a document, or as the text of the file.
        sockets: limit of descriptors.
        environment: further variables of the process.
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
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
    )


@contextlib.asynccontextmanager
async def running_limiter(**options: Unpack[HarnessOptions]) -> AsyncIterator[LimiterHarness]:
    """Run a limiter process between fakes.

    After the test, a process that has exited must have logged that it stops, and no traceback may be logged.
    """
    with tempfile.TemporaryDirectory() as folder:
        harness = LimiterHarness(Path(folder), options.get("servers", 1), options.get("slow_servers", 0))
        harness.discovery.entries = options.get("entries") or []
        harness.discovery.is_responding = options.get("discovery_responds", True)
        sockets = options.get("sockets", DEFAULT_DESCRIPTOR_LIMIT)
        await harness.start(
            options.get("settings") or make_raw_settings(), sockets, options.get("config_changes")
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
    """Return a mark that gives these options to the `harness` fixture of a test."""
    return pytest.mark.limiter_with(**options)


def get_marked_options(test: pytest.Item) -> HarnessOptions:
    """Return the options of the test's `limiter_with` mark, none without the mark."""
    mark = test.get_closest_marker("limiter_with")
    return cast("HarnessOptions", mark.kwargs if mark else {})


async def wait_until_list_version_applied(harness: LimiterHarness, version: int) -> None:
    """Wait until the limiter asks for changes since that version, and so has applied it."""
    await wait_until(
        lambda: harness.discovery.calls and f"since={version}&" in harness.discovery.calls[-1].target,
        f"a call since version {version}",
    )


async def wait_until_latest_list_applied(harness: LimiterHarness) -> None:
    """Wait until the limiter asks for what follows discovery's present version."""
    await wait_until_list_version_applied(harness, harness.discovery.version)


async def collect_response_bodies(harness: LimiterHarness, request_class: str, count: int = 6) -> set[bytes]:
    """Send requests on connections of their own, and return the distinct bodies of their responses."""
    bodies = set()
    for number in range(count):
        response = await harness.send_request(build_request(request_class, request_id=str(number)))
        bodies.add(response.body)
    return bodies
