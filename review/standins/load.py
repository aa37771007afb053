"""The load of usual clients: requests of both classes, at random times and of random customers."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from standins.http import Answer, ClientPool, Request, build_request
from standins.record import Record

DEADLINE_MS = 3000
CUSTOMERS = 200


@dataclass(frozen=True)
class Exchange:
    """A request and its answer."""

    request: Request
    answer: Answer

    @property
    def is_foreign(self) -> bool:
        """Whether the client was served with an answer that was not made for its request."""
        return self.answer.status == 200 and self.request.request_id.encode() not in self.answer.body


async def send_load(port: int, record: Record, *, per_second: float, seconds: float) -> list[Exchange]:
    """Send requests to the limiter at this port; return them with their answers."""
    pool = ClientPool(port)
    tasks = []
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        await asyncio.sleep(random.expovariate(per_second))
        method, class_name = random.choice((("GET", "obs-read"), ("POST", "alert-order")))
        customer = random.randrange(CUSTOMERS)
        request = build_request(method, class_name, customer=customer, deadline_ms=DEADLINE_MS)
        tasks.append(asyncio.create_task(_send(pool, request, record)))
    exchanges = await asyncio.gather(*tasks)
    pool.close()
    return exchanges


async def _send(pool: ClientPool, request: Request, record: Record) -> Exchange:
    record.note("sent", id=request.request_id)
    answer = await pool.send(request, request.deadline_ms / 1000)
    exchange = Exchange(request, answer)
    event = "ANSWERED_FOREIGN" if exchange.is_foreign else "answered"
    record.note(event, id=request.request_id, status=answer.status, body=repr(answer.body[:60]))
    return exchange
