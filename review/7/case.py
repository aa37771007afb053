"""Answers of servers whose stated length is too short."""

from __future__ import annotations

import asyncio
from pathlib import Path

from standins import (
    Client,
    Discovery,
    Limiter,
    Record,
    Server,
    ServerRequest,
    answer_of,
    has_trouble,
    make_settings,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
SERVER_COUNT = 4
REQUEST_COUNT = 120
REQUEST_INTERVAL_SECONDS = 0.1
# Each server spoils one answer in this many.
SPOILT_ANSWER_INTERVAL = 4
REQUEST_CLASSES = ("obs-read", "alert-order")


def make_responder(server: Server, record: Record, made: dict[str, bytes]) -> None:
    """Let a server spoil some of its answers by a length that is half of the body's."""

    async def respond(request: ServerRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(server.service_seconds)
        body = answer_of(request)
        made[request.request_id] = body
        is_spoilt = has_trouble() and len(server.requests) % SPOILT_ANSWER_INTERVAL == 0
        stated_length = len(body) // 2 if is_spoilt else len(body)
        record.add(
            f"{server.name} answers {request.request_id}: length {stated_length}, body of {len(body)} bytes"
        )
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (stated_length, body))

    server.responder = respond


async def case(record: Record) -> list[str]:
    """Return the requests that were served with anything but the body that a server made for them."""
    made: dict[str, bytes] = {}
    servers = [Server(f"s-{index}", record) for index in range(SERVER_COUNT)]
    discovery = Discovery(record)
    await discovery.listen()
    for server in servers:
        make_responder(server, record, made)
        await server.listen()
        await discovery.publish(server)
    limiter = Limiter(record, "n0", make_settings(), discovery.port, known=discovery.whole_list())
    try:
        await limiter.start()
        client = Client(record, limiter.port)
        requests = []
        for number in range(REQUEST_COUNT):
            request_class = REQUEST_CLASSES[number % len(REQUEST_CLASSES)]
            requests.append(asyncio.ensure_future(client.request(request_class)))
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
        await asyncio.gather(*requests)
    finally:
        await limiter.stop()
    return [
        f"{answer.request_id} was served with {answer.body!r}, made was {made.get(answer.request_id)!r}"
        for answer in client.answers
        if answer.status == 200 and answer.body != made.get(answer.request_id)
    ]


if __name__ == "__main__":
    run_case(str(FOLDER), case)
