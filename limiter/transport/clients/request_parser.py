"""Parses the requests of one client connection, one after another, within bounds on their size."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from limiter.transport.clients.client_response import LocalResponse

MAX_BODY_BYTES = 65_536
# Bytes that may be read of one request before its head is complete.
MAX_HEAD_BYTES = 32_768
# Bytes that may be read of one request in all: its chunks may carry more framing than body.
MAX_REQUEST_BYTES = MAX_HEAD_BYTES + 8 * MAX_BODY_BYTES

PROTOCOL_HEADERS = frozenset(
    (b"x-request-id", b"x-class", b"x-tariff", b"x-deadline-ms", b"x-weight", b"idempotency-key")
)
# Headers that are not forwarded: they are hop by hop, or written anew for the server.
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
# The key under which the parser notes that a protocol header came twice.
REPEATED = b""

BODY_TOO_LARGE = LocalResponse(413, b"body too large\n")
HEAD_TOO_LARGE = LocalResponse(400, b"request head too large\n")
MALFORMED = LocalResponse(400, b"malformed request\n")
REQUEST_TOO_LARGE = LocalResponse(413, b"request too large\n")
UPGRADE_NOT_SUPPORTED = LocalResponse(400, b"no other protocol is spoken here\n")


@dataclass(slots=True)
class ParsedRequest:
    """A request as far as it has been read.

    Attributes:
        method: The method, once the request is complete.
        target: The request target, with its query.
        headers: The values of PROTOCOL_HEADERS by their names in lower case, and REPEATED.
        forwarded_lines: Header lines for the server.
        body_parts: The body, in the parts in which it was received.
        body_bytes: Length of the body.
        keep_alive: Whether another request may follow on the connection, once the request is complete.
    """

    method: bytes = b""
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    forwarded_lines: list[bytes] = field(default_factory=list)
    body_parts: list[bytes] = field(default_factory=list)
    body_bytes: int = 0
    keep_alive: bool = True

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


# Takes each complete request; returns the response to fail the connection with if it cannot be accepted.
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

    # Set only while a request is partly read, to save memory: most connections are idle.
    _request: ParsedRequest

    def __init__(self, on_request: RequestCallback) -> None:
        """Make a parser that hands each complete request to `on_request`."""
        self._on_request: RequestCallback | None = on_request
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._error: LocalResponse | None = None
        self._head_complete = False
        self._received_bytes = 0  # Bytes of the request that is not complete yet.
        self.is_partial = False  # Part of a request has been received, and not yet all of it.

    def feed(self, data: bytes) -> LocalResponse | None:
        """Parse what was received; return the response to fail the connection with if it is not accepted."""
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
        """Parse nothing more; without its reference cycles the parser needs no garbage collection."""
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
            # A trailer is dropped: forwarded as a header it could name another request or customer.
            return
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
