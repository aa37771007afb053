"""A client's connection: requests read from it in turn, responses written to it in their order."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol, cast

from limiter.transport.clients.client_response import LocalResponse, encode_response
from limiter.transport.clients.request_parser import ParsedRequest, RequestParser
from limiter.transport.driver.proxied_request import ProxiedRequest
from limiter.transport.sockets import hung_up, unread

MAX_PIPELINED_REQUESTS = 16  # that may wait on a connection behind the current one
MAX_DISCARDED_BYTES = 262_144  # still read after the response to bad input, before reading stops
# Told to a client on one connection too many, or of a limiter that has stopped.
OVERLOAD_RETRY_AFTER_MS = 1000.0

# A failure, not a rejection: the response goes to the current request, which may have run.
TOO_MANY_PIPELINED = LocalResponse(400, b"too many requests on one connection\n")


class ConnectionObserver(Protocol):
    """Is notified of each change of a connection's state."""

    def connection_opened(self, connection: ClientConnection) -> bool:
        """A client has connected; return whether its requests may be served, else it is one too many."""

    def request_started(self, connection: ClientConnection) -> None:
        """Part of a request has come; called for each part."""

    def request_completed(self, connection: ClientConnection) -> None:
        """A request has been read to its end."""

    def connection_idle(self, connection: ClientConnection) -> None:
        """All requests have their responses."""

    def connection_failed(self, connection: ClientConnection) -> None:
        """The response to bad input was written; the connection is to be closed once it was read."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """The connection is no more."""


class RequestHandler(Protocol):
    """Decides what becomes of the requests that a connection reads."""

    @property
    def is_draining(self) -> bool:
        """Whether each connection is closed with its next response."""

    @property
    def is_stopped(self) -> bool:
        """Whether no request is submitted any more."""

    def prepare(self, connection: ClientConnection, request: ParsedRequest) -> ProxiedRequest | LocalResponse:
        """Make of a request what is to be submitted, or its response."""

    def submit(self, request: ProxiedRequest) -> None:
        """Start a prepared request; its response is written by `ClientConnection.write_response`."""

    def client_disconnected(self, request: ProxiedRequest) -> None:
        """Finish a prepared request whose client no longer gets its response."""


class ClientConnection(asyncio.Protocol):
    """Reads pipelined requests, submits one at a time and writes the responses in order."""

    __slots__ = (
        "_close_after_response",
        "_discarded_bytes",
        "_handler",
        "_is_overflow",
        "_observer",
        "_parser",
        "current",
        "has_failed",
        "pipelined",
        "transport",
    )

    def __init__(self, observer: ConnectionObserver, handler: RequestHandler) -> None:
        """Report state changes to `observer` and requests to `handler`."""
        self._observer = observer
        self._handler = handler
        self.transport: asyncio.Transport | None = None
        self._parser: RequestParser | None = RequestParser(self._request_read)
        self.current: ProxiedRequest | None = None
        self.pipelined: deque[ProxiedRequest | LocalResponse] = deque()
        self.has_failed = False  # bad input was answered; nothing more is read
        self._is_overflow = False  # It is one connection too many: its requests are rejected at once.
        self._close_after_response = False
        self._discarded_bytes = 0

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Open."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is none by inheritance
        self._is_overflow = not self._observer.connection_opened(self)

    def connection_lost(self, _: Exception | None) -> None:
        """Finish all requests: their client has gone."""
        self.transport = None  # it refers to this connection: nothing is left to the garbage collector
        self._close_parser()
        self._observer.connection_closed(self)
        self._disconnect_requests()

    def data_received(self, data: bytes) -> None:
        """Parse what has come."""
        parser = self._parser
        if parser is None:
            self._discard(data)
            return
        error = parser.feed(data)
        if error is not None:
            self.fail(error)
        elif parser.is_partial:
            self._observer.request_started(self)

    def pause_writing(self) -> None:
        """Stop reading: a client that reads no responses gets to send no more requests."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read on."""
        if self.transport is not None and self._parser is not None:
            self.transport.resume_reading()

    # Bad input

    def fail(self, error: LocalResponse) -> None:
        """Respond to input that can't be read, or not now, and close, whatever else waits here.

        The current request gets this response, a failure: where it came from is no longer certain.
        """
        if self._parser is None:
            return
        self._close_parser()
        self._close_after_response = True
        self.has_failed = True
        self._disconnect_requests()
        self._write_local(error)

    def _discard(self, data: bytes) -> None:
        """Drop input after an error.

        Some is read, so that no reset discards the response; more would cost CPU that working clients
        need, and waits in the kernel until the close.
        """
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED_BYTES and self.transport is not None:
            self.transport.pause_reading()

    def _close_parser(self) -> None:
        if self._parser is not None:
            self._parser.close()
            self._parser = None

    def _disconnect_requests(self) -> None:
        unanswered = [self.current, *self.pipelined]
        self.current = None
        self.pipelined = deque()
        for item in unanswered:
            if isinstance(item, ProxiedRequest):
                self._handler.client_disconnected(item)

    # Requests and responses

    def _request_read(self, request: ParsedRequest) -> LocalResponse | None:
        """Queue a request; return the response to fail with where there are too many."""
        self._observer.request_completed(self)
        if not request.keep_alive:
            self._close_after_response = True
        if len(self.pipelined) >= MAX_PIPELINED_REQUESTS:
            return TOO_MANY_PIPELINED
        item = self._handler.prepare(self, request)
        if self.current is not None or self.pipelined:
            self.pipelined.append(item)
        else:
            self._start(item)
        return None

    def _start(self, item: ProxiedRequest | LocalResponse) -> None:
        if isinstance(item, LocalResponse):
            self._write_local(item)
        elif self._is_overflow or self._handler.is_stopped:
            self._close_after_response = True
            self._handler.client_disconnected(item)
            self._write(503, retry_after_ms=OVERLOAD_RETRY_AFTER_MS)
        else:
            self.current = item
            self._handler.submit(item)

    def _start_next(self) -> None:
        if self.current is None and self.pipelined:
            self._start(self.pipelined.popleft())

    def write_response(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Write the response to the current request."""
        self.current = None
        self._write(status, body, content_type, retry_after_ms)

    def _write_local(self, response: LocalResponse) -> None:
        self._write(response.status, response.text, b"text/plain", response.retry_after_ms)

    def _write(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        close = (self._close_after_response or self._handler.is_draining) and not self.pipelined
        transport.write(encode_response(status, body, content_type, retry_after_ms, close=close))
        if self.pipelined:
            asyncio.get_running_loop().call_soon(self._start_next)
        elif not close:
            self._observer.connection_idle(self)
        elif self.has_failed:
            # Closing with input unread would reset the connection, and the client might lose the response.
            transport.write_eof()
            self._observer.connection_failed(self)
        else:
            transport.close()

    # State

    @property
    def has_unanswered_requests(self) -> bool:
        """Whether a request here is still owed its response."""
        return self.current is not None or bool(self.pipelined)

    @property
    def has_unread_input(self) -> bool:
        """Whether a request, or the client's end, waits in the kernel."""
        return self.transport is not None and not self.transport.is_closing() and unread(self.transport)

    def has_hung_up(self) -> bool:
        """Return whether the client has closed its connection, even if the loop has not read that yet."""
        return self.transport is None or hung_up(self.transport)

    def close(self) -> None:
        """Close between requests, or after its client; at once where that does not read its responses."""
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.transport.abort()
        elif self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once, whatever is unwritten."""
        if self.transport is not None:
            self.transport.abort()
