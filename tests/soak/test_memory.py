"""A seeded soak: hostile clients of several kinds, and the memory of the limiter process under them.

SOAK_SECONDS in the environment sets a longer duration for a run by hand.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import time
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

from tests.support.client import Connection, build_request
from tests.support.fake_server import ReceivedRequest, respond_with
from tests.support.harness import LimiterHarness, running_limiter

SEED = 20261204
SOAK_SECONDS = float(os.environ.get("SOAK_SECONDS", "20"))
HOSTILE_CLIENTS = 400
# The memory that a limiter has in production.
MAX_MEMORY_MB = 192
LONG_BODY = b"x" * 64_000
CHUNKED = {"Transfer-Encoding": "chunked"}
HEADERS_OF_LONG_BODY = {"Content-Length": str(len(LONG_BODY))}
# A hostile client stays for up to this long, and reads what it is sent, or nothing.
MAX_STAY_SECONDS = 4.0
# Pause between two requests of the usual client, and between two measurements of the memory.
PAUSE_SECONDS = 0.025
DEADLINE_SECONDS = 3.0

HostileInput = Callable[[str], bytes]


def build_body_in_short_chunks(request_id: str) -> bytes:
    """Return a request whose body comes in chunks of two bytes and lacks the last one."""
    head = build_request("submit", request_id=request_id, without_header="Content-Length", headers=CHUNKED)
    return head + b"2\r\nab\r\n" * (len(LONG_BODY) // 2 - 1)


def build_short_header_lines(request_id: str) -> bytes:
    """Return a head with thousands of header lines that does not end."""
    return build_request("submit", request_id=request_id).removesuffix(b"\r\n") + b"a:\r\n" * 6000


def build_incomplete_body(request_id: str) -> bytes:
    """Return a request whose long body lacks the last byte."""
    return build_request("submit", request_id=request_id, headers=HEADERS_OF_LONG_BODY) + LONG_BODY[:-1]


def build_pipelined_requests(request_id: str) -> bytes:
    """Return 16 requests with long bodies."""
    return b"".join(
        build_request("submit", request_id=f"{request_id}-{number}", body=LONG_BODY) for number in range(16)
    )


def build_requests_with_long_responses(request_id: str) -> bytes:
    """Return 16 short requests; the fake server's responses to them are long."""
    return b"".join(build_request(request_id=f"{request_id}-{number}") for number in range(16))


HOSTILE_INPUTS: list[HostileInput] = [
    build_body_in_short_chunks,
    build_short_header_lines,
    build_incomplete_body,
    build_pipelined_requests,
    build_requests_with_long_responses,
]


async def respond_to_class(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Respond to a hostile client with a long body, and to a usual one with its request id."""
    request_id = request.headers["x-request-id"]
    is_usual = request_id.startswith("usual")
    await respond_with(200, request_id.encode() if is_usual else LONG_BODY)(request, writer)


def read_memory_mb(process_id: int) -> float:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    message = f"process {process_id} has no VmRSS"
    raise AssertionError(message)


async def play_hostile_client(harness: LimiterHarness, chance: random.Random, name: str, number: int) -> None:
    """Send one hostile input, stay for a while, and leave."""
    data = chance.choice(HOSTILE_INPUTS)(f"{name}-{number}")
    stay_seconds = chance.uniform(0.5, MAX_STAY_SECONDS)
    reads_responses = chance.random() < 0.5
    with contextlib.suppress(OSError, TimeoutError):
        client = await harness.connect()
        client.send(data)
        try:
            async with asyncio.timeout(stay_seconds):
                if reads_responses:
                    await client.reader.read()
                else:
                    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
                    await asyncio.sleep(stay_seconds)
        finally:
            client.writer.transport.abort()


async def repeat_until(end: float, play: Callable[[int], Awaitable[object]]) -> None:
    """Play something again and again until a time of the monotonic clock."""
    count = 0
    while time.monotonic() < end:
        await play(count)
        count += 1


async def send_usual_request(client: Connection, number: int, latencies: list[float]) -> None:
    """Send a usual request and check that it gets its own response or a rejection."""
    started = time.monotonic()
    client.send(build_request(request_id=f"usual-{number}"))
    response = await client.read_response()
    latencies.append(time.monotonic() - started)
    assert response.status in (200, 429, 503)
    assert response.status != 200 or response.body == f"usual-{number}".encode()
    await asyncio.sleep(PAUSE_SECONDS)


async def soak(harness: LimiterHarness) -> tuple[float, list[float]]:
    """Play hostile clients and a usual one; return the most memory in MB and the usual client's latencies."""
    for server in harness.servers:
        server.responder = respond_to_class
    chance = random.Random(SEED)
    end = time.monotonic() + SOAK_SECONDS
    memory_mb: list[float] = []
    latencies: list[float] = []

    async def record_memory(_: int) -> None:
        memory_mb.append(read_memory_mb(harness.process.pid))
        await asyncio.sleep(PAUSE_SECONDS)

    usual_client = await harness.connect()
    hostile = [
        repeat_until(end, partial(play_hostile_client, harness, chance, f"hostile-{index}"))
        for index in range(HOSTILE_CLIENTS)
    ]
    await asyncio.gather(
        repeat_until(end, record_memory),
        repeat_until(end, lambda number: send_usual_request(usual_client, number, latencies)),
        *hostile,
    )
    return max(memory_mb), latencies


async def test_hostile_clients_do_not_take_the_limiter_over_its_memory() -> None:
    """200 of them took it over 192 MB within half a second, and requests of other clients were lost."""
    async with running_limiter(servers=4) as harness:
        most_mb, latencies = await soak(harness)
    print(f"memory {most_mb:.0f} MB, {len(latencies)} requests, slowest {max(latencies):.2f} s")
    assert most_mb < MAX_MEMORY_MB
    assert max(latencies) < DEADLINE_SECONDS
