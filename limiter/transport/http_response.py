"""Reads successive HTTP responses on a connection that the limiter opened."""

from __future__ import annotations

import asyncio
from typing import NamedTuple, cast

import httptools

from limiter.transport.message_end import MessageEnd
from limiter.transport.sockets import close_socket_immediately, has_unread_input

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
        has_surplus: Whether it was followed by bytes that are not a copy of it. They may be the rest of its
            body, if its stated length is too short.
    """

    status: int
    body: bytes
    content_type: bytes
    is_marked_not_run: bool
    keep_alive: bool
    has_surplus: bool = False


class ResponseProtocol(asyncio.Protocol):
    """Collects each response and calls `response_received` with it.

    A response is reported once it is complete and the kernel holds no further bytes. Further bytes are a
    surplus, except those of a second copy of the response, which a server may send by mistake.

    `connection_failed` is called when the connection can no longer be used, because it was closed or its
    input is invalid. It may be called twice: for invalid input, and again when the connection is closed.

    Attributes:
        transport: The connection's transport; None before it is open and after it is closed.
        is_receiving: Whether a part of a response has been received, but not all of it.
    """

    __slots__ = (
        "_body",
        "_complete_response",
        "_content_type",
        "_has_copy",
        "_has_length",
        "_head_bytes",
        "_is_chunked",
        "_is_head_complete",
        "_is_marked_not_run",
        "_max_body_bytes",
        "_message_end",
        "_parser",
        "_received_bytes",
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
        self._complete_response: HttpResponse | None = None  # Complete and final, but not reported yet.
        self._has_copy = False  # A second copy of the complete response has been received.
        self._head_bytes = 0  # Bytes received since the last response, until the first of the body.
        self._received_bytes = 0  # Bytes received since the last response.
        self._message_end = MessageEnd()
        self._reset_parsed_fields()

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
        self._message_end.record_received(data)
        is_valid = self._parse(parser, data)
        # Responses are reported here and not in a parser callback: the parser would treat an exception from
        # `response_received` as a parser error.
        if not is_valid:
            self._handle_invalid_input()
        elif self._complete_response is not None:
            self._handle_complete_response(self._complete_response)

    def eof_received(self) -> None:
        """Report a response that ends with the stream, or was complete before. A reset does not end it."""
        parser = self._parser
        if parser is None:
            return
        if self._complete_response is None:
            if not self.is_receiving or not self._is_head_complete or self._has_length:
                return
            try:
                self._end_message(parser)
            except ResponseError:
                return  # The connection is lost next, which reports its failure.
        self._finish_with_connection()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Release the closed connection, and report its failure."""
        self._finish_with_connection()
        self._parser = None
        self.transport = None
        self.connection_failed()

    def _parse(self, parser: httptools.HttpResponseParser, data: bytes) -> bool:
        """Feed the parser; return whether all bytes received so far belong to valid responses."""
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return False
        is_complete = self._complete_response is not None and not self.is_receiving
        return is_complete or not self._exceeds_size_limits()

    def _exceeds_size_limits(self) -> bool:
        """Return whether an incomplete response exceeds the limits on its head or its chunks and trailers."""
        if not self._body and self._head_bytes > MAX_HEAD_BYTES:
            return True
        return self._received_bytes > MAX_HEAD_BYTES + MAX_ENCODED_BODY_FACTOR * self._max_body_bytes

    def _handle_invalid_input(self) -> None:
        """Close the connection; a response that was complete before the invalid bytes has a surplus."""
        self.close_immediately()
        response = self._complete_response
        if response is None:
            self.connection_failed()
        else:
            self._report(response, has_surplus=True)

    def _handle_complete_response(self, response: HttpResponse) -> None:
        """Report the response, unless more bytes have to be read to tell whether it has a surplus."""
        if self.is_receiving:
            return  # The bytes after the response may become a second copy of it.
        if self._message_end.is_followed_by_line_breaks:
            self._report(response, has_surplus=True)
        elif not self._has_unread_input():
            self._report(response, has_surplus=False)

    def _has_unread_input(self) -> bool:
        transport = self.transport
        return transport is not None and not transport.is_closing() and has_unread_input(transport)

    def _finish_with_connection(self) -> None:
        """Report the complete response, if any, because no further bytes will be received."""
        response = self._complete_response
        if response is not None and self._parser is not None:
            self._report(response._replace(keep_alive=False), has_surplus=self.is_receiving)

    def _report(self, response: HttpResponse, *, has_surplus: bool) -> None:
        """Report the complete response, and expect the response to the next request."""
        if has_surplus or self._has_copy:
            # The bytes after the response would be parsed as the response to the next request.
            response = response._replace(keep_alive=False, has_surplus=has_surplus)
        self._complete_response = None
        self._has_copy = False
        self._head_bytes = 0
        self._received_bytes = 0
        self.response_received(response)

    def _reset_parsed_fields(self) -> None:
        self._is_head_complete = False
        self._has_length = False  # The head says where the body ends: by its length or by chunks.
        self._is_chunked = False
        # One buffer: an object for each of many short chunks would take many times their length.
        self._body = bytearray()
        self._is_marked_not_run = False
        self._content_type = b""

    # Callbacks of the parser, which defines their names

    def on_message_begin(self) -> None:
        """Start a new response."""
        self.is_receiving = True
        self._reset_parsed_fields()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the header fields that the limiter uses."""
        name = name.lower()
        if name == b"x-not-run":
            self._is_marked_not_run = value.strip() == b"1"
        elif name == b"content-type":
            self._content_type = value
        elif name == b"transfer-encoding":
            self._has_length = True
            self._is_chunked = True
        elif name == b"content-length":
            self._has_length = True
            if int(value) > self._max_body_bytes:
                raise ResponseError  # Do not wait for the body, which may arrive slowly, or not at all.

    def on_headers_complete(self) -> None:
        """Record the end of the head; it may belong to an interim response."""
        self._is_head_complete = True

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if len(self._body) + len(body) > self._max_body_bytes:
            raise ResponseError
        self._body += body

    def on_message_complete(self) -> None:
        """Store the response as complete, or compare it with the response that it follows."""
        parser = self._parser
        if parser is None:
            raise ResponseError  # Input is no longer parsed.
        self._end_message(parser)

    def _end_message(self, parser: httptools.HttpResponseParser) -> None:
        self.is_receiving = False
        if parser.get_http_version() not in SUPPORTED_HTTP_VERSIONS:
            raise ResponseError
        status = parser.get_status_code()
        if status < MIN_FINAL_STATUS:
            return
        response = HttpResponse(
            status=status,
            body=bytes(self._body),
            content_type=self._content_type,
            is_marked_not_run=self._is_marked_not_run,
            # The parser must be asked here: after the end of the message it always returns False.
            keep_alive=parser.should_keep_alive(),
        )
        self._message_end.record_message(self._body, is_chunked=self._is_chunked)
        if self._complete_response is None:
            self._complete_response = response
        elif response == self._complete_response and not self._has_copy:
            self._has_copy = True
        else:
            raise ResponseError  # Which of the two is the response to the request is unknown.
        self._head_bytes = 0
        self._reset_parsed_fields()  # An idle connection must not keep the body in memory.
