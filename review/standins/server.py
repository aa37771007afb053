"""A server that answers each request with 200 after its work, unless a case tells it otherwise."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from standins.http import parse_headers
from standins.record import Record

MEAN_WORK_SECONDS = 0.15


@dataclass(frozen=True)
class Arrived:
    """A request that arrived whole at a server.

    Attributes:
        request_id: Its id.
        headers: Its headers, under their names in lower case.
        at_ms: When its last byte arrived, on the clock of the record.
    """

    request_id: str
    headers: dict[str, str]
    at_ms: float


Respond = Callable[[Arrived, asyncio.StreamWriter], Awaitable[None]]


def encode_answer(status: int, body: bytes, *headers: str) -> bytes:
    """Return the bytes of an answer that states its length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


class AnsweringServer:
    """A server of the list; `respond` answers one request.

    Attributes:
        name: Its id in the list.
        port: Its port, once it listens.
        arrived: The requests that arrived whole, in their order.
        respond: Answers a request; by default with 200 after its work.
    """

    def __init__(self, name: str, record: Record, respond: Respond | None = None) -> None:
        """Create a server that does not listen yet."""
        self.name = name
        self.record = record
        self.arrived: list[Arrived] = []
        self.respond: Respond = respond or self._work_and_answer
        self.port = 0
        self._listening: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._listening = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._listening.sockets[0].getsockname()[1]

    async def _work_and_answer(self, arrived: Arrived, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(random.expovariate(1 / MEAN_WORK_SECONDS))
        writer.write(encode_answer(200, f"result of {arrived.request_id} at {self.name}".encode()))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while not writer.is_closing():
                _, headers = parse_headers(await reader.readuntil(b"\r\n\r\n"))
                await reader.readexactly(int(headers.get("content-length", "0")))
                request_id = headers.get("x-request-id", "none")
                arrived = Arrived(request_id, headers, self.record.now_ms())
                self.arrived.append(arrived)
                self.record.note("run", server=self.name, id=request_id, told_ms=headers.get("x-deadline-ms"))
                await self.respond(arrived, writer)
        writer.close()
