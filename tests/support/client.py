"""Clients of a limiter under test: requests in the protocol's form, connections and responses."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TypedDict, Unpack

from tests.support.http_message import parse_head
from tests.support.waiting import WAIT_TIMEOUT_SECONDS

CUSTOMER = "00000000b4d65521"
HEALTH_CHECK = b"GET /_health HTTP/1.1\r\n\r\n"
REQUEST_ID = "9b1f03aa5c7e2d41"


@dataclass(frozen=True)
class Response:
    """A response as a client received it.

    Attributes:
        status: the status code.
        headers: header values under their names in lower case.
        body: the body without its framing.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class Connection:
    """A client's connection to the limiter.

    Attributes:
        reader: the stream from the limiter.
        writer: the stream to the limiter.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Take the two streams of an open connection."""
        self.reader = reader
        self.writer = writer

    def send(self, data: bytes) -> None:
        """Send these bytes to the limiter."""
        self.writer.write(data)

    async def read_response(self) -> Response:
        """Return the next response.

        Raises:
            asyncio.IncompleteReadError: the limiter closed the connection before the response's end.
        """
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            status_line, headers = parse_head(await self.reader.readuntil(b"\r\n\r\n"))
            body = await self.reader.readexactly(int(headers["content-length"]))
        return Response(int(status_line.split()[1]), headers, body)

    async def read_until_closed(self) -> bytes:
        """Return all further bytes until the limiter closes the connection."""
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            return await self.reader.read()

    def close(self) -> None:
        """Close the connection towards the limiter."""
        self.writer.close()


class RequestOptions(TypedDict, total=False):
    """What a test may choose of a request beyond its class.

    Attributes:
        request_id: the client's id of the request; REQUEST_ID if not given.
        deadline_ms: time after which the client gives up; 3000 if not given.
        body: the body of a POST; empty if not given.
        query: appended to the path, with its question mark.
        customer: identifier in the path; CUSTOMER if not given.
        headers: headers that replace or extend those of the protocol.
        without_header: name of a header to leave out.
    """

    request_id: str
    deadline_ms: int
    body: bytes
    query: str
    customer: str
    headers: dict[str, str]
    without_header: str


def build_request(request_class: str = "read", **options: Unpack[RequestOptions]) -> bytes:
    """Return a request in the protocol's form; `read` is a GET, the other classes are POSTs."""
    method = "GET" if request_class == "read" else "POST"
    body = options.get("body", b"")
    fields = {
        "Host": "api.internal",
        "X-Request-Id": options.get("request_id", REQUEST_ID),
        "X-Class": request_class,
        "X-Tariff": "free",
        "X-Deadline-Ms": str(options.get("deadline_ms", 3000)),
        "X-Weight": "units=1,spread=1,first=0",
    }
    if method == "POST":
        fields |= {"Idempotency-Key": "5c0f6e1a", "Content-Length": str(len(body))}
    fields |= options.get("headers", {})
    fields.pop(options.get("without_header", ""), None)
    path = f"/{request_class}/{options.get('customer', CUSTOMER)}{options.get('query', '')}"
    header_lines = [f"{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join([f"{method} {path} HTTP/1.1", *header_lines, "", ""])
    return head.encode() + body
