"""Parses the successive requests of one client connection, and limits their size."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from limiter.transport.clients.client_response import LocalResponse

MAX_BODY_BYTES = 65_536
# Maximum number of bytes of one request that are read before its head is complete.
MAX_HEAD_BYTES = 32_768
# Maximum number of bytes of one request in total: chunked framing may take more bytes than the body itself.
MAX_REQUEST_BYTES = MAX_HEAD_BYTES + 8 * MAX_BODY_BYTES

PROTOCOL_HEADERS = frozenset(
    (b"x-request-id", b"x-class", b"x-tariff", b"x-deadline-ms", b"x-weight", b"idempotency-key")
)
# Headers that are not forwarded: they are hop-by-hop headers, or the limiter writes them itself.
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
# Key in ParsedRequest.headers that shows that a protocol header was repeated.
REPEATED_HEADER_KEY = b""

BODY_TOO_LARGE = LocalResponse(413, b"body too large\n")
HEAD_TOO_LARGE = LocalResponse(400, b"request head too large\n")
MALFORMED_REQUEST = LocalResponse(400, b"malformed request\n")
REQUEST_TOO_LARGE = LocalResponse(413, b"request too large\n")
UPGRADE_NOT_SUPPORTED = LocalResponse(400, b"protocol upgrade not supported\n")


@dataclass(slots=True)
class ParsedRequest:
    """A request, as far as it has been received.

    Attributes:
        method: The method, once the request is complete.
        target: The request target, with its query.
        headers: The values of PROTOCOL_HEADERS by their names in lower case, and REPEATED_HEADER_KEY.
        forwarded_headers: Header lines for the server, one after another. Like the body, they are stored in
            one buffer: an object for each of many short parts would take many times their length.
        body: The body, as far as it has been received.
        keep_alive: Whether another request may follow on the connection, once the request is complete.
    """

    method: bytes = b""
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    forwarded_headers: bytearray = field(default_factory=bytearray)
    body: bytearray = field(default_factory=bytearray)
    keep_alive: bool = True

    def append_target(self, part: bytes) -> None:
        """Append a part of the request target."""
        self.target += part

    def append_header(self, name: bytes, value: bytes) -> None:
        """Append a header line for the server."""
        self.forwarded_headers += b"%b: %b\r\n" % (name, value)

    def append_body(self, part: bytes) -> None:
        """Append a part of the body.

        A body may consist of tens of thousands of parts, so its size is checked later, once for all parts of
        the input.
        """
        self.body += part

    @property
    def stored_bytes(self) -> int:
        """The length of the parts that are forwarded."""
        return len(self.target) + len(self.forwarded_headers) + len(self.body)

    @property
    def is_body_too_large(self) -> bool:
        """Whether the body exceeds MAX_BODY_BYTES."""
        return len(self.body) > MAX_BODY_BYTES

    def mark_complete(self, method: bytes, *, keep_alive: bool) -> None:
        """Set the attributes that are known at the end of the request."""
        self.method = method
        self.keep_alive = keep_alive


RequestCallback = Callable[[ParsedRequest], None]  # Called with each complete request.


class RequestParser:
    """Collects one request at a time and passes each complete request to the callback."""

    __slots__ = (
        "_error_response",
        "_is_head_complete",
        "_on_request",
        "_parser",
        "_request",
        "has_partial_request",
        "received_bytes",
    )

    # Set only while a request is partly received. This saves memory, since most connections are idle.
    _request: ParsedRequest

    def __init__(self, on_request: RequestCallback) -> None:
        """Create a parser that passes each complete request to `on_request`."""
        self._on_request: RequestCallback | None = on_request
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._error_response: LocalResponse | None = None
        self._is_head_complete = False
        # Bytes received of the request that is not complete yet; it takes no more memory than that.
        self.received_bytes = 0
        self.has_partial_request = False  # A part of a request has been received, but not all of it.

    def feed(self, data: bytes) -> LocalResponse | None:
        """Parse the received bytes; return an error response if they are not acceptable, else None."""
        if self._parser is None:
            return None
        self.received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return MALFORMED_REQUEST
        return self._error_response or self._check_size()

    def _check_size(self) -> LocalResponse | None:
        """Return an error response if the input exceeds a limit, else None."""
        if self.has_partial_request and self._request.is_body_too_large:
            return BODY_TOO_LARGE
        if not self._is_head_complete and self.received_bytes > MAX_HEAD_BYTES:
            return HEAD_TOO_LARGE
        if self.received_bytes > MAX_REQUEST_BYTES:
            return REQUEST_TOO_LARGE
        return None

    def close(self) -> None:
        """Stop parsing, and break the reference cycles, so that the parser needs no garbage collection."""
        self._parser = None
        self._on_request = None

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._request = ParsedRequest()
        self._is_head_complete = False
        self.has_partial_request = True

    def on_url(self, url: bytes) -> None:
        """Store a part of the request target."""
        self._request.append_target(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header."""
        if self._is_head_complete:
            # Trailers are discarded: forwarded as a header, a trailer could name another request or customer.
            return
        request = self._request
        lower_name = name.lower()
        if lower_name in PROTOCOL_HEADERS:
            is_repeated = lower_name in request.headers
            request.headers[REPEATED_HEADER_KEY if is_repeated else lower_name] = value
        elif lower_name == b"content-length" and value.isdigit() and int(value) > MAX_BODY_BYTES:
            self._error_response = BODY_TOO_LARGE
        if lower_name not in UNFORWARDED_HEADERS:
            request.append_header(name, value)

    def on_headers_complete(self) -> None:
        """Record the end of the head, and reject a protocol upgrade."""
        self._is_head_complete = True
        if self._parser is not None and self._parser.should_upgrade():
            # Otherwise the parser would complete the request and then fail, and the request would get two
            # responses.
            self._error_response = UPGRADE_NOT_SUPPORTED

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._request.append_body(body)

    def on_message_complete(self) -> None:
        """Pass the complete request to the callback."""
        request = self._request
        del self._request
        self.received_bytes = 0
        self.has_partial_request = False
        if self._error_response is not None or self._parser is None or self._on_request is None:
            return
        if request.is_body_too_large:
            self._error_response = BODY_TOO_LARGE
            return
        request.mark_complete(self._parser.get_method(), keep_alive=self._parser.should_keep_alive())
        self._on_request(request)
