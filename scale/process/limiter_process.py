"""The limiter under test: a process of its own, started as the deploy file says, and its resource usage."""

from __future__ import annotations

import asyncio
import json
import os
import re
import sys
import time
from collections.abc import Mapping
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
# Unit in which the kernel reports processor time.
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
HEALTH_POLL_SECONDS = 0.02
HEALTH_TIMEOUT_SECONDS = 2.0
# Time that the limiter has from SIGTERM to SIGKILL.
STOP_SECONDS = 6.0
# Line of the limiter's log that has the address on which it listens for clients.
LISTENING_LINE = re.compile(r"listening name=.* address=(.*):(\d+)")
# Length of the time at the start of a log line, in characters, before the level.
LOG_TIME_LENGTH = 24


class LimiterProcess:
    """A limiter process, made by `start`; its address is known once it listens."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        """Follow the log of a process that was started just now."""
        self.address: tuple[str, int] | None = None
        self.warnings: list[str] = []  # log lines of a level other than INFO
        self._process = process
        self._started_at = time.monotonic()
        self._log_reader = asyncio.create_task(self._read_log())

    @classmethod
    async def start(cls, config: Mapping[str, object], folder: Path) -> LimiterProcess:
        """Start a limiter with that configuration, written to a file in `folder`."""
        path = folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        environment = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "limiter",
            cwd=ROOT,
            env={**environment, "RELAY_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        return cls(process)

    async def wait_until_ready(self, within_seconds: float) -> float | None:
        """Wait until `/_health` responds with 200; return the seconds since the start.

        None if the process ends, or if that takes longer than allowed.
        """
        while self._age() < within_seconds and self._process.returncode is None:
            if self.address is not None and await _health_status(self.address) == 200:
                return self._age()
            await asyncio.sleep(HEALTH_POLL_SECONDS)
        return None

    def processor_seconds(self) -> float:
        """Processor time so far, of user and system, in steps of the kernel's tick."""
        stat = Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        user_ticks = int(fields[11])
        system_ticks = int(fields[12])
        return (user_ticks + system_ticks) / TICKS_PER_SECOND

    def memory_mb(self, key: str) -> float:
        """Resident memory in MB of 10**6 bytes: the peak for the key `VmHWM`, the present for `VmRSS`."""
        return status_mb(self._process.pid, key)

    async def stop(self) -> int:
        """End the process by SIGTERM, or by SIGKILL if that takes too long; return its exit code."""
        if self._process.returncode is None:
            self._process.terminate()
            try:
                async with asyncio.timeout(STOP_SECONDS):
                    await self._process.wait()
            except TimeoutError:
                self._process.kill()
        code = await self._process.wait()
        await self._log_reader
        return code

    def _age(self) -> float:
        return time.monotonic() - self._started_at

    async def _read_log(self) -> None:
        assert self._process.stderr is not None
        async for line in self._process.stderr:
            text = line.decode("utf-8", "replace").strip()
            listening = LISTENING_LINE.search(text)
            if listening is not None:
                self.address = listening[1], int(listening[2])
            elif " INFO " not in text:
                self.warnings.append(text)


async def _health_status(address: tuple[str, int]) -> int:
    """Status of the response to a health check; 0 without one."""
    writer = None
    try:
        async with asyncio.timeout(HEALTH_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
            return int((await reader.readuntil(b"\r\n")).split()[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    finally:
        if writer is not None:
            writer.close()


def status_mb(pid: int, key: str) -> float:
    """Read a line of /proc/PID/status, in MB of 10**6 bytes.

    Raises:
        LookupError: the kernel reports no such figure of the process.
    """
    text = Path(f"/proc/{pid}/status").read_text()
    line = re.search(rf"(?m)^{key}:\s+(\d+) kB", text)
    if line is None:
        message = f"no {key} of process {pid}"
        raise LookupError(message)
    return int(line[1]) * 1024 / 1e6
