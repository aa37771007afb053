"""The platform: starts limiters with the `run` command of the deploy file, and ends them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from standins.record import Record

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_SECONDS = 10.0


class CaseError(Exception):
    """The case could not run, so it says nothing about the rule."""


def find_free_port() -> int:
    """Return a port of 127.0.0.1 that no process listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def read_run_command() -> str:
    """Return the `run` command of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    return str(deploy["run"])


class Limiter:
    """One limiter process, started as the deploy page says.

    Attributes:
        port: The port that it listens on.
        process: The process, once it is started.
    """

    def __init__(self, name: str, config: dict[str, Any], record: Record) -> None:
        """Choose a free port; `config` lacks only `name` and `listen`."""
        self.port = find_free_port()
        self._name = name
        self._record = record
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._config = {**config, "name": name, "listen": f"127.0.0.1:{self.port}"}
        self.process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """The id of the process."""
        if self.process is None:
            message = f"{self._name} was not started"
            raise CaseError(message)
        return self.process.pid

    async def start(self) -> None:
        """Start the process, and wait until its health check answers 200."""
        folder = Path(self._folder.name)
        config_path = folder / "config.json"
        config_path.write_text(json.dumps(self._config), encoding="utf-8")
        sockets = int(self._config["limits"]["sockets"])
        with (folder / "log.txt").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                read_run_command(),
                cwd=ROOT,
                env={
                    **os.environ,
                    "TMPDIR": self._folder.name,
                    "RELAY_CONFIG": str(config_path),
                    "RELAY_NAME": self._name,
                    "RELAY_LISTEN": self._config["listen"],
                    "RELAY_DISCOVERY": self._config["discovery"],
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
            )
        self._record.note("limiter_started", name=self._name, pid=self.process.pid, port=self.port)
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        for _ in range(int(READY_TIMEOUT_SECONDS / 0.05)):
            if await self._is_healthy():
                self._record.note("limiter_ready", name=self._name)
                return
            await asyncio.sleep(0.05)
        message = f"{self._name} was not ready in {READY_TIMEOUT_SECONDS} s: {self.read_log()}"
        raise CaseError(message)

    async def _is_healthy(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        writer.write(b"GET /_health HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
        try:
            async with asyncio.timeout(1.0):
                return (await reader.read()).startswith(b"HTTP/1.1 200")
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def read_log(self) -> str:
        """Return what the process has logged."""
        return (Path(self._folder.name) / "log.txt").read_text(encoding="utf-8", errors="replace")

    def read_memory_mb(self) -> float:
        """Return the memory that the process holds, in MB of 2**20 bytes; 0 once it has ended."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.pid}/status").read_text(encoding="utf-8").splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process is not None and self.process.returncode is not None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self._record.note("signal", name=self._name, signal=number.name)

    async def end(self) -> None:
        """End the process, and record its last log lines."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        for line in self.read_log().splitlines()[-5:]:
            self._record.note("limiter_log", name=self._name, line=repr(line))
        self._folder.cleanup()
