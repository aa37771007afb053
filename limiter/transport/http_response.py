"""Reads HTTP responses, one after another, on a connection that this side opened."""

from __future__ import annotations

import asyncio
from typing import cast

import httptools

from limiter.transport.sockets import close_at_once

MAX_HEAD_BYTES = 32768  # interim responses included: they count for nothing, and could go on without end
MAX_FRAMING_FACTOR = 8  # times the longest body: bound on chunks and trailers, which have no end of their own


class ResponseError(ValueError):
    """Bytes that cannot be a response; raised within the parser, which raises its own error for it."""


class ResponseProtocol(asyncio.Protocol):
    """Collects each response and calls `response_received`.

    `connection_failed` is called when the connection is of no more use: it was closed, or what came cannot be
    read. It may be called twice, since closing follows.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_head_bytes",
        "_is_complete",
        "_keep_alive",
        "_max_body_bytes",
        "_parser",
        "_received_bytes",
        "_status",
        "content_type",
        "is_receiving",
        "not_run",
        "transport",
    )

    def __init__(self, max_body_bytes: int) -> None:
        """Take responses with bodies up to `max_body_bytes`; a longer one is an error."""
        self.transport: asyncio.Transport | None = None
        self._max_body_bytes = max_body_bytes
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._is_complete = False
        self._keep_alive = False
        self.is_receiving = False  # part of a response has come
        self._head_bytes = 0  # since the last response, as long as no body has come
        self._received_bytes = 0  # since the last response
        self._start_response()

    def response_received(self, status: int, body: bytes, keep_alive: bool) -> None:
        """Handle a complete response; `keep_alive`: the connection can carry another request."""
        raise NotImplementedError

    def connection_failed(self) -> None:
        """Handle that no further response will come."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is none by inheritance

    def data_received(self, data: bytes) -> None:
        """Parse what came, and report a complete response or an error."""
        parser = self._parser
        if parser is None:
            return
        self._head_bytes += len(data) if not self._body_bytes else 0
        self._received_bytes += len(data)
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            is_valid = False
        else:
            is_valid = self._is_complete or not self._is_too_long()
        if not is_valid:
            self.drop()
        if self._is_complete:  # reported here: the parser would take an error in its callback for its own
            self._finish_response(is_valid)
        elif not is_valid:
            self.connection_failed()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Let go of the closed connection."""
        self._parser = None  # parser and protocol refer to each other: nothing is left to the collector
        self.transport = None
        self.connection_failed()

    def drop(self) -> None:
        """Close the connection at once, and read nothing more."""
        self._parser = None
        if self.transport is not None:
            close_at_once(self.transport)

    def _is_too_long(self) -> bool:
        """Whether an incomplete response exceeds the bounds on its head, or on its chunks and trailers."""
        if not self._body_bytes and self._head_bytes > MAX_HEAD_BYTES:
            return True
        return self._received_bytes > MAX_HEAD_BYTES + MAX_FRAMING_FACTOR * self._max_body_bytes

    def _start_response(self) -> None:
        self._status = 0
        self._body_bytes = 0
        self.not_run = False
        self.content_type = b""
        self._body: list[bytes] = []

    def _finish_response(self, is_valid: bool) -> None:
        self._is_complete = False
        self._head_bytes = 0
        self._received_bytes = 0
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        # Bytes after the response would be read as the response to the next request on this connection.
        keep_alive = is_valid and self._keep_alive and not self.is_receiving
        self.response_received(self._status, body, keep_alive)

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """A response begins."""
        self.is_receiving = True
        if not self._is_complete:
            self._start_response()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the header fields that matter here."""
        if self._is_complete:
            raise ResponseError  # a second response
        name = name.lower()
        if name == b"x-not-run":
            self.not_run = value.strip() == b"1"
        elif name == b"content-type":
            self.content_type = value
        elif name == b"content-length" and int(value) > self._max_body_bytes:
            raise ResponseError  # at once: the body may come slowly, or not at all

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._max_body_bytes or self._is_complete:
            raise ResponseError  # too long, or of a second response
        self._body.append(body)

    def on_message_complete(self) -> None:
        """The response is complete; an interim one is passed over."""
        parser = self._parser
        if parser is None or self._is_complete:
            raise ResponseError  # a second response
        self.is_receiving = False
        if parser.get_http_version() not in ("1.0", "1.1"):
            raise ResponseError  # not this protocol
        self._status = parser.get_status_code()
        self._keep_alive = parser.should_keep_alive()  # asked here: past the message's end it always says no
        self._is_complete = self._status >= 200  # else an interim response: the final one follows
