"""The client side of tests: builds requests, and sends them to the limiter under test."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TypedDict, Unpack

from tests.support.http_message import parse_head
from tests.support.waiting import WAIT_TIMEOUT_SECONDS

CUSTOMER_ID = "00000000b4d65521"
HEALTH_CHECK = b"GET /_health HTTP/1.1\r\n\r\n"
REQUEST_ID = "9b1f03aa5c7e2d41"


@dataclass(frozen=True)
class Response:
    """A response as a client received it.

    Attributes:
        status: the status code.
        headers: header values under their names in lower case.
        body: the body, without its HTTP framing.
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
        """Wrap the two streams of an open connection."""
        self.reader = reader
        self.writer = writer

    def send(self, data: bytes) -> None:
        """Send these bytes to the limiter."""
        self.writer.write(data)

    async def read_response(self) -> Response:
        """Read the next response and return it.

        Raises:
            asyncio.IncompleteReadError: the limiter closed the connection before the response was complete.
        """
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            status_line, headers = parse_head(await self.reader.readuntil(b"\r\n\r\n"))
            body = await self.reader.readexactly(int(headers["content-length"]))
        return Response(int(status_line.split()[1]), headers, body)

    async def read_until_closed(self) -> bytes:
        """Read until the limiter closes the connection, and return all bytes read."""
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            return await self.reader.read()

    def close(self) -> None:
        """Close the connection to the limiter."""
        self.writer.close()


class RequestOptions(TypedDict, total=False):
    """Optional properties of a request, besides its class.

    Attributes:
        request_id: the request's id, chosen by the client; REQUEST_ID by default.
        deadline_ms: time after which the client stops waiting for the response; 3000 by default.
        body: the body of a POST; empty by default.
        query: the query of the request target, including its question mark; empty by default.
        customer: the customer's identifier in the path; CUSTOMER_ID by default.
        headers: headers that replace the default ones or are added to them.
        without_header: name of a header to omit.
    """

    request_id: str
    deadline_ms: int
    body: bytes
    query: str
    customer: str
    headers: dict[str, str]
    without_header: str


def build_request(request_class: str = "read", **options: Unpack[RequestOptions]) -> bytes:
    """Build an HTTP request with the headers that the limiter expects.

    A request of the class `read` is a GET; requests of all other classes are POSTs.
    """
    method = "GET" if request_class == "read" else "POST"
    body = options.get("body", b"")
    header_values = {
        "Host": "api.internal",
        "X-Request-Id": options.get("request_id", REQUEST_ID),
        "X-Class": request_class,
        "X-Tariff": "free",
        "X-Deadline-Ms": str(options.get("deadline_ms", 3000)),
        "X-Weight": "units=1,spread=1,first=0",
    }
    if method == "POST":
        header_values |= {"Idempotency-Key": "5c0f6e1a", "Content-Length": str(len(body))}
    header_values |= options.get("headers", {})
    header_values.pop(options.get("without_header", ""), None)
    path = f"/{request_class}/{options.get('customer', CUSTOMER_ID)}{options.get('query', '')}"
    header_lines = [f"{name}: {value}" for name, value in header_values.items()]
    head = "\r\n".join([f"{method} {path} HTTP/1.1", *header_lines, "", ""])
    return head.encode() + body
