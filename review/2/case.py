"""A retry's connection comes up late: is the order sent again after its key has been forgotten?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

from standins.discovery import Discovery, make_entry
from standins.http import ClientPool, Request, build_request
from standins.late_server import LateServer
from standins.platform import Limiter
from standins.record import Record
from standins.runner import run_case
from standins.server import AnsweringServer, Arrived, encode_answer
from standins.settings import make_config, make_settings

# For how long the servers discard a repetition of a key, from the sending of the first attempt.
WINDOW_MS = 2000.0
# "Every time limit is longer by 50 ms."
SLACK_MS = 50.0
# Times of the site's orders.
AIM_MS = 3000.0
DEADLINE_MS = 8000
# Work of the order: done well within the aim, but longer than the limiter waits for a request that it may
# repeat.
WORK_SECONDS = 1.8
READ_SECONDS = 0.1
# Connections come up late by up to 1.5 s.
DIAL_TIMEOUT_MS = 1500.0
# The handshakes of the late connection are accepted from this long after the order was sent.
OPEN_UP_SECONDS = 2.0
ROUNDS = 5
READS = 3


class Keys:
    """What the servers of the group know together: when each key was first seen, and what was run."""

    def __init__(self, record: Record) -> None:
        """Start without keys."""
        self._record = record
        self._first_at_ms: dict[str, float] = {}
        self.runs: dict[str, int] = {}
        self.late_sends: list[str] = []

    def arrive(self, server: str, arrived: Arrived) -> None:
        """Run the order, or discard it as a repetition of one whose key is still known."""
        key = arrived.headers.get("idempotency-key", "none")
        first_at_ms = self._first_at_ms.setdefault(key, arrived.at_ms)
        age_ms = arrived.at_ms - first_at_ms
        is_repetition = key in self.runs and age_ms <= WINDOW_MS + SLACK_MS
        if key in self.runs and not is_repetition:
            self.late_sends.append(key)
        if not is_repetition:
            self.runs[key] = self.runs.get(key, 0) + 1
        self._record.note(
            "discarded" if is_repetition else "ORDER_RUN",
            server=server,
            key=key,
            after_first_ms=round(age_ms, 1),
            told_ms=arrived.headers.get("x-deadline-ms"),
            times=self.runs[key],
        )


def make_order_settings() -> dict[str, Any]:
    """Return settings in which the orders have keys and a short window for repeats."""
    settings = make_settings()
    settings["classes"][0] |= {"name": "point-forecast", "aim": 1500.0, "deadline": 6000.0}
    settings["classes"][1] |= {
        "name": "bulletin-order",
        "aim": AIM_MS,
        "deadline": float(DEADLINE_MS),
        "effect": "by_key",
        "window": WINDOW_MS,
    }
    settings["limits"] |= {"maxAttempts": 3, "dialTimeout": DIAL_TIMEOUT_MS, "keepalive": 30000.0}
    return settings


def make_read() -> Request:
    """Return a request that is safe to repeat."""
    return build_request("GET", "point-forecast", customer=6, deadline_ms=DEADLINE_MS)


async def send(pool: ClientPool, request: Request, record: Record) -> None:
    """Send the order, and record its answer."""
    answer = await pool.send(request, DEADLINE_MS / 1000)
    record.note("answered", id=request.request_id, status=answer.status, body=answer.body.decode())


async def play_round(number: int, record: Record, keys: Keys, *, has_trouble: bool) -> None:
    """Play one order with a new limiter and two new servers."""

    async def answer(arrived: Arrived, writer: asyncio.StreamWriter) -> None:
        if "idempotency-key" in arrived.headers:
            keys.arrive("s-0", arrived)
            await asyncio.sleep(WORK_SECONDS)
        else:
            await asyncio.sleep(READ_SECONDS)
        writer.write(encode_answer(200, f"result of {arrived.request_id}".encode()))

    async def answer_fast(arrived: Arrived, writer: asyncio.StreamWriter) -> None:
        keys.arrive("s-1", arrived)
        writer.write(encode_answer(200, f"result of {arrived.request_id}".encode()))

    first = AnsweringServer("s-0", record, answer)
    second = LateServer("s-1", record, answer_fast)
    await first.start()
    await second.start_full()
    if not has_trouble:
        await second.open_up()
    # The second server joins the list once the order is at the first one, so that the order goes there first.
    discovery = Discovery([make_entry("s-0", first.port)], record)
    await discovery.start()
    limiter = Limiter(f"n{number}", make_config(discovery, make_order_settings()), record)
    pool = ClientPool(limiter.port)
    try:
        await limiter.start()
        request = build_request(
            "POST",
            "bulletin-order",
            customer=5,
            deadline_ms=DEADLINE_MS,
            key=f"order-{number}",
        )
        # Reads whose connections come up at once, so that at most a third of the connections are late.
        reads = [asyncio.create_task(pool.send(make_read(), DEADLINE_MS / 1000)) for _ in range(READS)]
        await asyncio.gather(*reads)
        record.note("sent", id=request.request_id, key=f"order-{number}")
        waiting = asyncio.create_task(send(pool, request, record))
        await asyncio.sleep(0.1)
        await discovery.change(make_entry("s-1", second.port))
        # The handshake of the retry is dropped; the one that repeats it, a second later, is accepted.
        await asyncio.sleep(OPEN_UP_SECONDS - 0.1)
        if has_trouble:
            await second.open_up()
        await waiting
        await asyncio.sleep(0.3)
    finally:
        pool.close()
        await limiter.end()
        await discovery.stop()


async def play(record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether no order was sent again after its window."""
    keys = Keys(record)
    for number in range(ROUNDS):
        await play_round(number, record, keys, has_trouble=has_trouble)
    twice = [key for key, times in keys.runs.items() if times > 1]
    record.note("verdict", orders=len(keys.runs), run_twice=twice, sent_after_window=keys.late_sends)
    print(
        f"{len(keys.runs)} orders, {len(keys.late_sends)} sent again after the window, {len(twice)} run twice"
    )
    return not keys.late_sends


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
