"""HTTP/1.1 as the protocol page uses it: requests of clients, and reading of heads and bodies."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass

# Body of an answer with status 0: no connection to the limiter came up.
NOT_REACHABLE = b"not reachable"
# Likewise: the connection ended after the request was sent, and so did a second one, or it did not come up.
NOT_ANSWERED = b"connection ended without an answer"

_ids = itertools.count(0x9B1F03AA5C7E0000)


def make_request_id() -> str:
    """Return an id that no other request of this run has."""
    return f"{next(_ids):016x}"


@dataclass(frozen=True)
class Request:
    """A client's request.

    Attributes:
        request_id: Its id.
        data: Its bytes.
        deadline_ms: How long its client waits.
    """

    request_id: str
    data: bytes
    deadline_ms: int


@dataclass(frozen=True)
class Answer:
    """What a client got: a status and a body; status 0 if the connection ended without a whole answer."""

    status: int
    body: bytes


def build_request(method: str, class_name: str, *, customer: int, deadline_ms: int, key: str = "") -> Request:
    """Build a request of the protocol page's form, with the idempotency key of a class that has one."""
    request_id = make_request_id()
    lines = [
        f"{method} /{class_name}/{customer:016x} HTTP/1.1",
        "Host: api.internal",
        f"X-Request-Id: {request_id}",
        f"X-Class: {class_name}",
        "X-Tariff: fleet",
        f"X-Deadline-Ms: {deadline_ms}",
    ]
    if method == "POST":
        lines.append("Content-Length: 0")
    if key:
        lines.append(f"Idempotency-Key: {key}")
    lines.append("X-Weight: units=1,spread=1,first=0")
    return Request(request_id, "\r\n".join([*lines, "", ""]).encode(), deadline_ms)


def parse_headers(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the first line of a head, and its headers under their names in lower case."""
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines if line]
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer of the limiter, which always states its length."""
    first, headers = parse_headers(await reader.readuntil(b"\r\n\r\n"))
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Answer(int(first.split()[1]), body)


class ClientPool:
    """Clients behind a front: connections to one limiter, one request at a time on each."""

    def __init__(self, port: int) -> None:
        """Start without connections."""
        self._port = port
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send(self, request: Request, wait_seconds: float) -> Answer:
        """Send a request and return its answer; status 0 if none came in time.

        A kept connection that the limiter has closed meanwhile is replaced, as the protocol page says.
        """
        for number in range(2):
            try:
                reader, writer = await self._connect(is_new=number > 0)
            except OSError:
                return Answer(0, NOT_ANSWERED if number else NOT_REACHABLE)
            try:
                writer.write(request.data)
                async with asyncio.timeout(wait_seconds):
                    answer = await read_answer(reader)
            except TimeoutError:
                writer.close()
                return Answer(0, b"no answer")
            except (OSError, asyncio.IncompleteReadError) as error:
                writer.close()
                if isinstance(error, asyncio.IncompleteReadError) and error.partial:
                    return Answer(0, b"incomplete answer")
                continue
            if reader.at_eof():
                writer.close()
            else:
                self._idle.append((reader, writer))
            return answer
        return Answer(0, NOT_ANSWERED)

    async def _connect(self, *, is_new: bool) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a kept connection that is still open, or else, or if it has to be, a new one."""
        while self._idle and not is_new:
            reader, writer = self._idle.pop()
            if not reader.at_eof():
                return reader, writer
            writer.close()
        return await asyncio.open_connection("127.0.0.1", self._port)

    def close(self) -> None:
        """Close the kept connections."""
        for _, writer in self._idle:
            writer.close()
        self._idle.clear()
