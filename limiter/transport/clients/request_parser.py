"""Parses the requests of one client connection, one after another, within bounds on their size."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from limiter.transport.clients.client_response import LocalResponse

MAX_BODY_BYTES = 65_536
MAX_HEAD_BYTES = 32_768  # read of one request before its head is complete
# Read of one request in all: chunks may carry more framing than body.
MAX_REQUEST_BYTES = MAX_HEAD_BYTES + 8 * MAX_BODY_BYTES

PROTOCOL_HEADERS = frozenset(
    (b"x-request-id", b"x-class", b"x-tariff", b"x-deadline-ms", b"x-weight", b"idempotency-key")
)
# Hop by hop, or written anew for the server.
UNFORWARDED_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
        b"x-deadline-ms",
    )
)
REPEATED = b""  # the key under which a protocol header is noted that came twice

BODY_TOO_LARGE = LocalResponse(413, b"body too large\n")
HEAD_TOO_LARGE = LocalResponse(400, b"request head too large\n")
MALFORMED = LocalResponse(400, b"malformed request\n")
REQUEST_TOO_LARGE = LocalResponse(413, b"request too large\n")
UPGRADE_NOT_SUPPORTED = LocalResponse(400, b"no other protocol is spoken here\n")


@dataclass(slots=True)
class ParsedRequest:
    """A request as far as it has been read."""

    method: bytes = b""  # set when the request is complete
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)  # those of PROTOCOL_HEADERS, and REPEATED
    forwarded_lines: list[bytes] = field(default_factory=list)  # header lines for the server
    body_parts: list[bytes] = field(default_factory=list)
    body_bytes: int = 0
    keep_alive: bool = True  # set when the request is complete

    def append_target(self, part: bytes) -> None:
        """Add a part of the request target."""
        self.target += part

    def append_body(self, part: bytes) -> bool:
        """Add a part of the body; return False, and drop the body, if it is longer than MAX_BODY_BYTES."""
        self.body_bytes += len(part)
        if self.body_bytes > MAX_BODY_BYTES:
            self.body_parts.clear()
            return False
        self.body_parts.append(part)
        return True

    def complete(self, method: bytes, *, keep_alive: bool) -> None:
        """Set what is known at the end of the request."""
        self.method = method
        self.keep_alive = keep_alive


# Takes each complete request; returns the response to fail the connection with, if it can't be accepted.
RequestCallback = Callable[[ParsedRequest], LocalResponse | None]


class RequestParser:
    """Collects one request at a time and hands each complete one to the callback."""

    __slots__ = (
        "_error",
        "_head_complete",
        "_on_request",
        "_parser",
        "_received_bytes",
        "_request",
        "is_partial",
    )

    _request: ParsedRequest  # only while a request is partial: idle connections are many

    def __init__(self, on_request: RequestCallback) -> None:
        """Parse requests for `on_request`."""
        self._on_request: RequestCallback | None = on_request
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._error: LocalResponse | None = None
        self._head_complete = False
        self._received_bytes = 0  # of the request that is not complete yet
        self.is_partial = False  # part of a request has come

    def feed(self, data: bytes) -> LocalResponse | None:
        """Parse what has come; return the response to fail the connection with, if it can't be accepted."""
        if self._parser is None:
            return None
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return MALFORMED
        if self._error is not None:
            return self._error
        if not self._head_complete and self._received_bytes > MAX_HEAD_BYTES:
            return HEAD_TOO_LARGE
        if self._received_bytes > MAX_REQUEST_BYTES:
            return REQUEST_TOO_LARGE
        return None

    def close(self) -> None:
        """Break the reference cycles, so that nothing is left to the garbage collector."""
        self._parser = None
        self._on_request = None

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._request = ParsedRequest()
        self._head_complete = False
        self.is_partial = True

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target."""
        self._request.append_target(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        if self._head_complete:
            return  # a trailer: forwarded as a header it could name another request or customer
        request = self._request
        lower_name = name.lower()
        if lower_name in PROTOCOL_HEADERS:
            is_repeated = lower_name in request.headers
            request.headers[REPEATED if is_repeated else lower_name] = value
        elif lower_name == b"content-length" and value.isdigit() and int(value) > MAX_BODY_BYTES:
            self._error = BODY_TOO_LARGE
        if lower_name not in UNFORWARDED_HEADERS:
            request.forwarded_lines.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """Note the end of the head; refuse a change of protocol."""
        self._head_complete = True
        if self._parser is not None and self._parser.should_upgrade():
            # The parser would complete the request and then fail: two responses to one request.
            self._error = UPGRADE_NOT_SUPPORTED

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if not self._request.append_body(body):
            self._error = BODY_TOO_LARGE

    def on_message_complete(self) -> None:
        """Hand over the request."""
        request = self._request
        del self._request
        self._received_bytes = 0
        self.is_partial = False
        if self._error is not None or self._parser is None or self._on_request is None:
            return
        request.complete(self._parser.get_method(), keep_alive=self._parser.should_keep_alive())
        self._error = self._on_request(request)
