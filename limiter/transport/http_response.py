"""Reads HTTP responses, one after another, on a connection that this side opened."""

from __future__ import annotations

import asyncio
from typing import cast

import httptools

from limiter.transport.sockets import close_at_once

# Longest head of a response, interim responses included, since these could otherwise come without end.
MAX_HEAD_BYTES = 32768
# Longest response as a multiple of the longest body. It bounds chunk headers and trailers, which have no
# bound of their own.
MAX_FRAMING_FACTOR = 8
SUPPORTED_VERSIONS = ("1.0", "1.1")
FIRST_FINAL_STATUS = 200  # Responses with a lower status are interim: the final one follows.


class ResponseError(ValueError):
    """Bytes that cannot be the response; raised in callbacks of the parser, which then stops."""


class ResponseProtocol(asyncio.Protocol):
    """Collects each response and calls `response_received`.

    `connection_failed` is called when the connection cannot be used any longer: it was closed, or what came
    cannot be read. It may be called twice, since the close follows.

    Attributes:
        transport: the connection's transport, None before it is open and after it is closed.
        is_receiving: whether a part of a response has come, but not all of it.
        is_marked_not_run: whether the response says that the request was not run.
        content_type: the response's content type, empty where it has none.
    """

    __slots__ = (
        "_body_bytes",
        "_body_parts",
        "_head_bytes",
        "_is_complete",
        "_keep_alive",
        "_max_body_bytes",
        "_parser",
        "_received_bytes",
        "_status",
        "content_type",
        "is_marked_not_run",
        "is_receiving",
        "transport",
    )

    def __init__(self, max_body_bytes: int) -> None:
        """Take responses with bodies of up to `max_body_bytes`; a longer one fails the connection."""
        self.transport: asyncio.Transport | None = None
        self.is_receiving = False
        self._max_body_bytes = max_body_bytes
        # None once nothing more is read. Parser and protocol refer to each other, so this also frees both.
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._is_complete = False  # A final response is complete, and not yet reported.
        self._keep_alive = False
        self._head_bytes = 0  # Received since the last response, as long as no body has come.
        self._received_bytes = 0  # Received since the last response.
        self._start_response()

    def response_received(self, status: int, body: bytes, keep_alive: bool) -> None:
        """Handle a complete response.

        Args:
            status: status of the response.
            body: body of the response.
            keep_alive: whether the connection can carry another request.
        """
        raise NotImplementedError

    def connection_failed(self) -> None:
        """Handle that no further response will come."""
        raise NotImplementedError

    def close_immediately(self) -> None:
        """Close the connection at once, and read nothing more."""
        self._parser = None
        if self.transport is not None:
            close_at_once(self.transport)

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport of the connection that is open now."""
        # A cast, since uvloop's transports do not inherit from asyncio's.
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse what came, and report a complete response or a failure."""
        parser = self._parser
        if parser is None:
            return
        if not self._body_bytes:
            self._head_bytes += len(data)
        self._received_bytes += len(data)
        is_valid = self._parse(parser, data)
        if not is_valid:
            self.close_immediately()
        # Responses are reported here: the parser would take an error of `response_received`, called within
        # one of its callbacks, for an error of its own.
        if self._is_complete:
            self._finish_response(is_valid=is_valid)
        elif not is_valid:
            self.connection_failed()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Release the closed connection, and report that no further response will come."""
        self._parser = None
        self.transport = None
        self.connection_failed()

    def _parse(self, parser: httptools.HttpResponseParser, data: bytes) -> bool:
        """Feed the parser; return whether all bytes so far belong to valid responses."""
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return False
        return self._is_complete or not self._is_too_long()

    def _is_too_long(self) -> bool:
        """Whether an incomplete response exceeds the bounds on its head, or on its chunks and trailers."""
        if not self._body_bytes and self._head_bytes > MAX_HEAD_BYTES:
            return True
        return self._received_bytes > MAX_HEAD_BYTES + MAX_FRAMING_FACTOR * self._max_body_bytes

    def _start_response(self) -> None:
        self._status = 0
        self._body_bytes = 0
        self._body_parts: list[bytes] = []
        self.is_marked_not_run = False
        self.content_type = b""

    def _finish_response(self, *, is_valid: bool) -> None:
        self._is_complete = False
        self._head_bytes = 0
        self._received_bytes = 0
        body = self._body_parts[0] if len(self._body_parts) == 1 else b"".join(self._body_parts)
        # Bytes after the response would be read as the response to the next request on this connection.
        keep_alive = is_valid and self._keep_alive and not self.is_receiving
        self.response_received(self._status, body, keep_alive)

    # Callbacks of the parser, whose names it prescribes

    def on_message_begin(self) -> None:
        """Forget the response before this one, which has been reported."""
        self.is_receiving = True
        if not self._is_complete:
            self._start_response()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the header fields that are needed."""
        if self._is_complete:
            raise ResponseError  # It belongs to a second response.
        name = name.lower()
        if name == b"x-not-run":
            self.is_marked_not_run = value.strip() == b"1"
        elif name == b"content-type":
            self.content_type = value
        elif name == b"content-length" and int(value) > self._max_body_bytes:
            raise ResponseError  # The body itself may come slowly, or not at all, so it is not waited for.

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._max_body_bytes or self._is_complete:
            raise ResponseError  # The body is too long, or belongs to a second response.
        self._body_parts.append(body)

    def on_message_complete(self) -> None:
        """Complete the response, unless it is an interim one."""
        parser = self._parser
        if parser is None or self._is_complete:
            raise ResponseError  # Nothing is read any more, or this is a second response.
        self.is_receiving = False
        if parser.get_http_version() not in SUPPORTED_VERSIONS:
            raise ResponseError
        self._status = parser.get_status_code()
        # The parser must be asked here: once the message has ended it always says no.
        self._keep_alive = parser.should_keep_alive()
        self._is_complete = self._status >= FIRST_FINAL_STATUS
