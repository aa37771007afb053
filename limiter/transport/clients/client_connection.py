"""A client's connection: requests read from it in turn, responses written to it in their order."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import Enum
from typing import Protocol, cast

from limiter.transport.clients.client_response import LocalResponse, encode_response
from limiter.transport.clients.request_parser import ParsedRequest, RequestParser
from limiter.transport.driver.proxied_request import ProxiedRequest
from limiter.transport.sockets import has_peer_disconnected, has_unread_input

# Requests that may wait on a connection behind the current one. More are bad input.
MAX_PIPELINED_REQUESTS = 16
# Bytes that are read and dropped after the response to bad input, before reading stops.
MAX_DISCARDED_BYTES = 262_144
# Retry-After for a client on one connection too many, or of a limiter that no longer submits requests.
OVERLOAD_RETRY_AFTER_MS = 1000.0

# The status is that of a failure, not of a rejection: the response goes to the current request, which may
# have run.
TOO_MANY_PIPELINED = LocalResponse(400, b"too many requests on one connection\n")


# A request that waits for its turn on a connection; if no server is needed, its response.
QueuedRequest = ProxiedRequest | LocalResponse


class ConnectionState(Enum):
    """What becomes of a connection after the responses that it owes.

    Attributes:
        OPEN: It waits for the next request.
        CLOSING: It is closed.
        FAILED: Its input was bad. Nothing more is parsed; it is closed once its client has read the error.
        CLOSED: It owes none, because it is closed already.
    """

    OPEN = "open"
    CLOSING = "closing"
    FAILED = "failed"
    CLOSED = "closed"


class ConnectionObserver(Protocol):
    """Is notified of each change that decides how long a connection may stay open."""

    def connection_opened(self, connection: ClientConnection) -> bool:
        """Note a new connection; return whether its requests may be served, else it is one too many."""

    def request_started(self, connection: ClientConnection) -> None:
        """Note that part of a request has been received; called for each part."""

    def request_completed(self, connection: ClientConnection) -> None:
        """Note that a request has been read to its end."""

    def connection_idle(self, connection: ClientConnection) -> None:
        """Note that all requests have their responses."""

    def connection_failed(self, connection: ClientConnection) -> None:
        """Note that the response to bad input was written; close the connection once it was read."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Note that the connection is closed."""


class RequestHandler(Protocol):
    """Decides what becomes of the requests that a connection reads."""

    @property
    def is_draining(self) -> bool:
        """Whether each connection is closed with its next response."""

    @property
    def is_stopped(self) -> bool:
        """Whether no request is submitted any more."""

    def prepare(self, connection: ClientConnection, request: ParsedRequest) -> QueuedRequest:
        """Return the request to submit when its turn comes, or its response if no server is needed."""

    def submit(self, request: ProxiedRequest) -> None:
        """Start a prepared request; its response is written by `ClientConnection.write_response`."""

    def client_disconnected(self, request: ProxiedRequest) -> None:
        """Finish a prepared request whose client no longer gets its response."""


class ClientConnection(asyncio.Protocol):
    """Reads pipelined requests, submits one at a time and writes the responses in order."""

    __slots__ = (
        "_discarded_bytes",
        "_handler",
        "_is_overflow",
        "_observer",
        "_parser",
        "_state",
        "current",
        "pipelined_requests",
        "transport",
    )

    def __init__(self, observer: ConnectionObserver, handler: RequestHandler) -> None:
        """Make the protocol of a connection that is not accepted yet.

        Args:
            observer: Notified of what decides how long the connection may stay open.
            handler: Gets the requests.
        """
        self._observer = observer
        self._handler = handler
        self.transport: asyncio.Transport | None = None
        self._parser: RequestParser | None = RequestParser(self._request_read)
        self.current: ProxiedRequest | None = None
        self.pipelined_requests: deque[QueuedRequest] = (
            deque()
        )  # They wait behind the current one, in their order.
        self._state = ConnectionState.OPEN
        self._is_overflow = False  # It is one connection too many: its requests are rejected at once.
        self._discarded_bytes = 0

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport of an accepted connection."""
        # uvloop's transport does not inherit from asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self._is_overflow = not self._observer.connection_opened(self)

    def connection_lost(self, _: Exception | None) -> None:
        """Finish all requests: their client has disconnected."""
        self._state = ConnectionState.CLOSED
        # The transport refers to this connection; without the cycle nothing is left to the garbage collector.
        self.transport = None
        self._close_parser()
        self._observer.connection_closed(self)
        self._disconnect_requests()

    def data_received(self, data: bytes) -> None:
        """Parse what was received."""
        parser = self._parser
        if parser is None:
            self._discard(data)
            return
        error = parser.feed(data)
        if error is not None:
            self.fail(error)
        elif parser.has_partial_request:
            self._observer.request_started(self)

    def pause_writing(self) -> None:
        """Stop reading: a client that does not read its responses cannot send more requests."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading, unless the input was bad."""
        if self.transport is not None and self._state is not ConnectionState.FAILED:
            self.transport.resume_reading()

    # Bad input

    def fail(self, error: LocalResponse) -> None:
        """Respond with an error to input that cannot be read, or not now, and close after that.

        The current request gets this response: what is a response to which request is no longer certain.
        Those behind it get none. Without effect on a connection that has failed or is closed.
        """
        if self._parser is None:
            return
        self._close_parser()
        self._state = ConnectionState.FAILED
        self._disconnect_requests()
        self._write_local(error)

    def _discard(self, data: bytes) -> None:
        """Drop input after an error.

        Closing with input unread would reset the connection, and the client might lose the response. So some
        is read. More would cost processor time that working clients need: it waits in the kernel until the
        close.
        """
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED_BYTES and self.transport is not None:
            self.transport.pause_reading()

    def _close_parser(self) -> None:
        if self._parser is not None:
            self._parser.close()
            self._parser = None

    def _disconnect_requests(self) -> None:
        unanswered = [self.current, *self.pipelined_requests]
        self.current = None
        self.pipelined_requests = deque()
        for request in unanswered:
            if isinstance(request, ProxiedRequest):
                self._handler.client_disconnected(request)

    # Requests and responses

    def _request_read(self, request: ParsedRequest) -> LocalResponse | None:
        """Start or queue a request; return the response to fail with if there are too many."""
        self._observer.request_completed(self)
        if not request.keep_alive:
            self._state = ConnectionState.CLOSING
        if len(self.pipelined_requests) >= MAX_PIPELINED_REQUESTS:
            return TOO_MANY_PIPELINED
        queued = self._handler.prepare(self, request)
        if self.has_unanswered_requests:
            self.pipelined_requests.append(queued)
        else:
            self._start(queued)
        return None

    def _start(self, request: QueuedRequest) -> None:
        if isinstance(request, LocalResponse):
            self._write_local(request)
        elif self._is_overflow or self._handler.is_stopped:
            self._state = ConnectionState.CLOSING
            self._handler.client_disconnected(request)
            self._write(503, retry_after_ms=OVERLOAD_RETRY_AFTER_MS)
        else:
            self.current = request
            self._handler.submit(request)

    def _start_next(self) -> None:
        if self.current is None and self.pipelined_requests:
            self._start(self.pipelined_requests.popleft())

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
        is_closing = self._state is not ConnectionState.OPEN or self._handler.is_draining
        close = is_closing and not self.pipelined_requests
        transport.write(encode_response(status, body, content_type, retry_after_ms, close=close))
        if self.pipelined_requests:
            asyncio.get_running_loop().call_soon(self._start_next)
        elif not close:
            self._observer.connection_idle(self)
        elif self.has_failed:
            # Only this direction ends now; `_discard` says why the other is read a little longer.
            transport.write_eof()
            self._observer.connection_failed(self)
        else:
            transport.close()

    # State

    @property
    def has_failed(self) -> bool:
        """Whether the response to bad input was written, and nothing more is parsed."""
        return self._state is ConnectionState.FAILED

    @property
    def has_unanswered_requests(self) -> bool:
        """Whether a request here is still owed its response."""
        return self.current is not None or bool(self.pipelined_requests)

    @property
    def has_unread_input(self) -> bool:
        """Whether bytes, or the end of the client's sending, wait unread in the kernel."""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and has_unread_input(self.transport)
        )

    def has_disconnected(self) -> bool:
        """Return whether the client has closed its connection, even if the loop has not read that yet."""
        return self.transport is None or has_peer_disconnected(self.transport)

    def close(self) -> None:
        """Close a connection without requests in hand; at once if its client does not read its responses."""
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.transport.abort()
        elif self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once, and drop what is still to be written."""
        if self.transport is not None:
            self.transport.abort()
