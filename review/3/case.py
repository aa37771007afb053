"""Bad clients stop in the middle of a request and stay: how much memory do their requests take?"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from standins.discovery import Discovery, make_entry
from standins.http import NOT_REACHABLE, make_request_id
from standins.load import send_load
from standins.platform import Limiter
from standins.record import Record
from standins.runner import run_case
from standins.server import AnsweringServer
from standins.settings import make_config, make_settings

RUN_SECONDS = 25.0
TROUBLE_AT_SECONDS = 5.0
REQUESTS_PER_SECOND = 24.0
# The most that the deploy page gives a limiter.
MEMORY_MB = 192
# "Hundreds".
BAD_CLIENTS = 200
# Below the 64 KiB that a body may have. The body comes in chunks of two bytes.
BODY_BYTES = 64_000
CHUNK = b"2\r\nab\r\n"


class Platform:
    """Kills the limiter once it holds more memory than it may, as the deploy page says."""

    def __init__(self, limiter: Limiter, record: Record) -> None:
        """Watch `limiter`."""
        self._limiter = limiter
        self._record = record
        self.most_mb = 0.0
        self.has_killed = False

    async def watch(self) -> None:
        """Look at the memory every 20 ms."""
        noted_mb = 0.0
        while not self._limiter.has_ended():
            memory_mb = self._limiter.read_memory_mb()
            self.most_mb = max(self.most_mb, memory_mb)
            if abs(memory_mb - noted_mb) >= 5:
                noted_mb = memory_mb
                self._record.note("memory", mb=round(memory_mb, 1))
            if memory_mb > MEMORY_MB:
                self.has_killed = True
                self._record.note("KILLED_FOR_MEMORY", mb=round(memory_mb, 1), limit=MEMORY_MB)
                self._limiter.send_signal(signal.SIGKILL)
            await asyncio.sleep(0.02)


async def send_half(port: int, record: Record) -> None:
    """Send a request without its last chunk, stay, and read until an error or a close."""
    request_id = make_request_id()
    head = (
        "POST /alert-order/0000000000000005 HTTP/1.1\r\nHost: api.internal\r\n"
        f"X-Request-Id: {request_id}\r\nX-Class: alert-order\r\nX-Tariff: fleet\r\n"
        "X-Deadline-Ms: 3000\r\nX-Weight: units=1,spread=1,first=0\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError as error:
        record.note("bad_client", id=request_id, refused=repr(error))
        return
    start = record.now_ms()
    got = b""
    try:
        writer.write(head.encode() + CHUNK * (BODY_BYTES // len(b"ab") - 1))
        async with asyncio.timeout(10):
            got = await reader.read()
    except (OSError, TimeoutError) as error:
        got = repr(error).encode()
    writer.close()
    record.note("bad_client", id=request_id, after_ms=round(record.now_ms() - start), got=got[:60])


async def play(record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the limiter kept within its memory."""
    server = AnsweringServer("s-0", record)
    await server.start()
    discovery = Discovery([make_entry("s-0", server.port)], record)
    await discovery.start()
    limiter = Limiter("n0", make_config(discovery, make_settings(), memory_mb=MEMORY_MB), record)
    platform = Platform(limiter, record)
    watch = None
    try:
        await limiter.start()
        watch = asyncio.create_task(platform.watch())
        load = asyncio.create_task(
            send_load(limiter.port, record, per_second=REQUESTS_PER_SECOND, seconds=RUN_SECONDS)
        )
        await asyncio.sleep(TROUBLE_AT_SECONDS)
        if has_trouble:
            await asyncio.gather(*(send_half(limiter.port, record) for _ in range(BAD_CLIENTS)))
        exchanges = await load
    finally:
        if watch is not None:
            watch.cancel()
        await limiter.end()
        await discovery.stop()
    answers = [exchange.answer for exchange in exchanges]
    lost = sum(answer.status == 0 and answer.body != NOT_REACHABLE for answer in answers)
    unreachable = sum(answer.body == NOT_REACHABLE for answer in answers)
    most_mb = round(platform.most_mb)
    record.note("verdict", most_mb=most_mb, killed=platform.has_killed, lost=lost, unreachable=unreachable)
    print(
        f"most memory {most_mb} of {MEMORY_MB} MB, killed for it: {platform.has_killed}; of {len(answers)} "
        f"requests of usual clients, {lost} taken and never answered, {unreachable} not taken after that"
    )
    return not platform.has_killed


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
