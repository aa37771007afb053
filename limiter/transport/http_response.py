"""Reads successive HTTP responses on a connection that the limiter opened."""

from __future__ import annotations

import asyncio
from typing import NamedTuple, cast

import httptools

from limiter.transport.sockets import close_socket_immediately

# Maximum size of a response's head. Interim responses are included, since a peer could otherwise send an
# unlimited number of them.
MAX_HEAD_BYTES = 32768
# Maximum size of the encoded body, as a multiple of the maximum body size. It bounds chunk headers and
# trailers, which have no limit of their own.
MAX_ENCODED_BODY_FACTOR = 8
SUPPORTED_HTTP_VERSIONS = ("1.0", "1.1")
MIN_FINAL_STATUS = 200  # Responses with a lower status are interim; a final response follows them.


class ResponseError(ValueError):
    """The input is not an acceptable response. Raised in parser callbacks to make the parser stop."""


class HttpResponse(NamedTuple):
    """A complete, final response.

    Attributes:
        status: Status code.
        body: The body, which may be empty.
        content_type: Media type of the body; empty if the response has none.
        is_marked_not_run: Whether the response says, by `X-Not-Run: 1`, that the request was not run.
        keep_alive: Whether the connection can carry another request.
    """

    status: int
    body: bytes
    content_type: bytes
    is_marked_not_run: bool
    keep_alive: bool


class ResponseProtocol(asyncio.Protocol):
    """Collects each response and calls `response_received` with it.

    `connection_failed` is called when the connection can no longer be used, because it was closed or its
    input is invalid. It may be called twice: for invalid input, and again when the connection is closed.

    Attributes:
        transport: The connection's transport; None before it is open and after it is closed.
        is_receiving: Whether a part of a response has been received, but not all of it.
    """

    __slots__ = (
        "_body",
        "_content_type",
        "_has_length",
        "_head_bytes",
        "_is_head_complete",
        "_is_marked_not_run",
        "_is_response_complete",
        "_keep_alive",
        "_max_body_bytes",
        "_parser",
        "_received_bytes",
        "_status",
        "is_receiving",
        "transport",
    )

    def __init__(self, max_body_bytes: int) -> None:
        """Accept response bodies of up to `max_body_bytes`; a longer body fails the connection."""
        self.transport: asyncio.Transport | None = None
        self.is_receiving = False
        self._max_body_bytes = max_body_bytes
        # None once no more input is parsed. The parser and this object refer to each other; None breaks that
        # cycle, so that both are freed without garbage collection.
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._is_response_complete = False  # A final response is complete and not reported yet.
        self._keep_alive = False
        self._head_bytes = 0  # Bytes received since the last response, until the first of the body.
        self._received_bytes = 0  # Bytes received since the last response.
        self._reset_response()

    def response_received(self, response: HttpResponse) -> None:
        """Handle a complete response."""
        raise NotImplementedError

    def connection_failed(self) -> None:
        """Handle the failure of the connection: it will deliver no further response."""
        raise NotImplementedError

    def close_immediately(self) -> None:
        """Close the connection immediately, and ignore any further input."""
        self._parser = None
        if self.transport is not None:
            close_socket_immediately(self.transport)

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the newly opened connection."""
        # The cast is needed because uvloop's transports do not inherit from asyncio's.
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes, and report a complete response or a failure."""
        parser = self._parser
        if parser is None:
            return
        if not self._body:
            self._head_bytes += len(data)
        self._received_bytes += len(data)
        is_valid = self._parse(parser, data)
        if not is_valid:
            self.close_immediately()
        # Responses are reported here and not in a parser callback: the parser would treat an exception from
        # `response_received` as a parser error.
        if self._is_response_complete:
            self._finish_response(is_valid=is_valid)
        elif not is_valid:
            self.connection_failed()

    def eof_received(self) -> None:
        """Report a response without a length, which ends with the stream. A reset does not end it."""
        parser = self._parser
        if parser is None or not self.is_receiving or not self._is_head_complete or self._has_length:
            return
        try:
            self._complete_response(parser)
        except ResponseError:
            return  # The connection is lost next, which reports its failure.
        self._keep_alive = False
        self._finish_response(is_valid=True)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Release the closed connection, and report its failure."""
        self._parser = None
        self.transport = None
        self.connection_failed()

    def _parse(self, parser: httptools.HttpResponseParser, data: bytes) -> bool:
        """Feed the parser; return whether all bytes received so far belong to valid responses."""
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return False
        return self._is_response_complete or not self._exceeds_size_limits()

    def _exceeds_size_limits(self) -> bool:
        """Return whether an incomplete response exceeds the limits on its head or its chunks and trailers."""
        if not self._body and self._head_bytes > MAX_HEAD_BYTES:
            return True
        return self._received_bytes > MAX_HEAD_BYTES + MAX_ENCODED_BODY_FACTOR * self._max_body_bytes

    def _reset_response(self) -> None:
        self._status = 0
        self._is_head_complete = False
        self._has_length = False  # The head says where the body ends: by its length or by chunks.
        # One buffer: an object for each of many short chunks would take many times their length.
        self._body = bytearray()
        self._is_marked_not_run = False
        self._content_type = b""

    def _finish_response(self, *, is_valid: bool) -> None:
        self._is_response_complete = False
        self._head_bytes = 0
        self._received_bytes = 0
        response = HttpResponse(
            status=self._status,
            body=bytes(self._body),
            content_type=self._content_type,
            is_marked_not_run=self._is_marked_not_run,
            # Bytes after the response would be parsed as the response to the next request on this connection.
            keep_alive=is_valid and self._keep_alive and not self.is_receiving,
        )
        self._reset_response()  # An idle connection must not keep the body in memory.
        self.response_received(response)

    # Callbacks of the parser, which defines their names

    def on_message_begin(self) -> None:
        """Start a new response, and discard the previous one if it has been reported."""
        self.is_receiving = True
        if not self._is_response_complete:
            self._reset_response()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the header fields that the limiter uses."""
        if self._is_response_complete:
            raise ResponseError  # The header belongs to a second response.
        name = name.lower()
        if name == b"x-not-run":
            self._is_marked_not_run = value.strip() == b"1"
        elif name == b"content-type":
            self._content_type = value
        elif name == b"transfer-encoding":
            self._has_length = True
        elif name == b"content-length":
            self._has_length = True
            if int(value) > self._max_body_bytes:
                raise ResponseError  # Do not wait for the body, which may arrive slowly, or not at all.

    def on_headers_complete(self) -> None:
        """Record the end of the head; it may belong to an interim response."""
        self._is_head_complete = True

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if len(self._body) + len(body) > self._max_body_bytes or self._is_response_complete:
            raise ResponseError  # The body is too long, or belongs to a second response.
        self._body += body

    def on_message_complete(self) -> None:
        """Mark the response as complete, unless it is an interim response."""
        parser = self._parser
        if parser is None or self._is_response_complete:
            raise ResponseError  # Input is no longer parsed, or this is a second response.
        self._complete_response(parser)

    def _complete_response(self, parser: httptools.HttpResponseParser) -> None:
        self.is_receiving = False
        if parser.get_http_version() not in SUPPORTED_HTTP_VERSIONS:
            raise ResponseError
        self._status = parser.get_status_code()
        # The parser must be asked here: after the end of the message it always returns False.
        self._keep_alive = parser.should_keep_alive()
        self._is_response_complete = self._status >= MIN_FINAL_STATUS
