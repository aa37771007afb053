"""The limiter process under test, started as in its deployment, and its resource usage."""

from __future__ import annotations

import asyncio
import json
import os
import re
import sys
import time
from collections.abc import Mapping
from pathlib import Path

REPOSITORY_ROOT = Path(__file__).parent.parent.parent
# The kernel reports processor time in ticks.
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
HEALTH_POLL_INTERVAL_SECONDS = 0.02
HEALTH_TIMEOUT_SECONDS = 2.0
# Time from SIGTERM to SIGKILL.
STOP_TIMEOUT_SECONDS = 6.0
# The line of the limiter's log that states the address on which it listens for clients.
LISTENING_LOG_LINE = re.compile(r"listening name=.* address=(.*):(\d+)")
# Length of the timestamp at the start of a log line, before the level, in characters.
LOG_TIMESTAMP_LENGTH = 24


class LimiterProcess:
    """A limiter process, created by `start`. Its address is None until it listens."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        """Start reading the log of a process that has just been started."""
        self.address: tuple[str, int] | None = None
        self.warning_lines: list[str] = []  # log lines of a level other than INFO
        self._process = process
        self._started_at = time.monotonic()
        self._log_reader = asyncio.create_task(self._read_log())

    @classmethod
    async def start(cls, config: Mapping[str, object], directory: Path) -> LimiterProcess:
        """Start a limiter with a configuration, which is written to a file in `directory`."""
        path = directory / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        environment = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "limiter",
            cwd=REPOSITORY_ROOT,
            env={**environment, "RELAY_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        return cls(process)

    async def wait_until_ready(self, timeout_seconds: float) -> float | None:
        """Wait until `/_health` responds with status 200.

        Returns:
            The seconds since the start of the process; None if the process ended or the timeout expired.
        """
        while self._seconds_since_start() < timeout_seconds and self._process.returncode is None:
            if self.address is not None and await _request_health_status(self.address) == 200:
                return self._seconds_since_start()
            await asyncio.sleep(HEALTH_POLL_INTERVAL_SECONDS)
        return None

    def read_processor_seconds(self) -> float:
        """Return the user and system time of the process so far, with the resolution of a kernel tick."""
        stat = Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        user_ticks = int(fields[11])
        system_ticks = int(fields[12])
        return (user_ticks + system_ticks) / TICKS_PER_SECOND

    def read_memory_mb(self, key: str) -> float:
        """Return resident memory in MB of 10**6 bytes: its peak for the key `VmHWM`, or now for `VmRSS`."""
        return read_status_mb(self._process.pid, key)

    async def stop(self) -> int:
        """Stop the process by SIGTERM, or by SIGKILL after STOP_TIMEOUT_SECONDS; return its exit code."""
        if self._process.returncode is None:
            self._process.terminate()
            try:
                async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                    await self._process.wait()
            except TimeoutError:
                self._process.kill()
        exit_code = await self._process.wait()
        await self._log_reader
        return exit_code

    def _seconds_since_start(self) -> float:
        return time.monotonic() - self._started_at

    async def _read_log(self) -> None:
        assert self._process.stderr is not None
        async for line in self._process.stderr:
            text = line.decode("utf-8", "replace").strip()
            listening = LISTENING_LOG_LINE.search(text)
            if listening is not None:
                self.address = listening[1], int(listening[2])
            elif " INFO " not in text:
                self.warning_lines.append(text)


async def _request_health_status(address: tuple[str, int]) -> int:
    """Return the status of the response to a health check; 0 if there is no response."""
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


def read_status_mb(pid: int, key: str) -> float:
    """Return a figure of /proc/PID/status in MB of 10**6 bytes.

    Raises:
        LookupError: the file has no such figure.
    """
    text = Path(f"/proc/{pid}/status").read_text()
    line = re.search(rf"(?m)^{key}:\s+(\d+) kB", text)
    if line is None:
        message = f"no {key} in /proc/PID/status of process {pid}"
        raise LookupError(message)
    return int(line[1]) * 1024 / 1e6
