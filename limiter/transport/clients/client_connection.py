"""A client connection: reads requests one after another, and writes the responses in the same order."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import cast

from limiter.transport.clients.client_response import (
    OVERLOAD_RETRY_AFTER_MS,
    LocalResponse,
    encode_response,
)
from limiter.transport.clients.connection_interfaces import ConnectionObserver, QueuedRequest, RequestHandler
from limiter.transport.clients.read_control import PauseReason, ReadControl
from limiter.transport.clients.request_parser import ParsedRequest, RequestParser
from limiter.transport.clients.request_queue import TOO_MANY_PIPELINED_REQUESTS, RequestQueue
from limiter.transport.driver.proxied_request import ProxiedRequest
from limiter.transport.sockets import has_peer_disconnected, has_unread_input

# Maximum number of bytes that are read from one connection in one iteration of the event loop. A client that
# sends much at once, in parts that take long to parse, thereby delays the others and the timers only briefly.
READ_BUFFER_BYTES = 4096
# Number of bytes that are read and discarded after the response to invalid input, before reading stops.
MAX_DISCARDED_BYTES = 262_144

# The response to a request that ends early because too many others wait behind it. The status is that of a
# failure and not of a rejection, since a server may have run the request.
FAILED_FOR_PIPELINED_REQUESTS = LocalResponse(400, b"too many requests on one connection\n")
# The response to a request for which there is not enough memory. It was not forwarded.
MEMORY_EXHAUSTED = LocalResponse(503, b"too many requests in memory\n", OVERLOAD_RETRY_AFTER_MS)

# Receives the input of all connections: each of them parses its input before the next one is read.
_read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))


class ConnectionState(Enum):
    """What happens to a connection after its outstanding responses are written.

    Attributes:
        OPEN: The connection waits for the next request.
        CLOSING: The connection will be closed.
        FAILED: The input was invalid. Nothing more is parsed, and the connection is closed once its client
            has had time to read the error response.
        CLOSED: The connection is closed already; no response is outstanding.
    """

    OPEN = "open"
    CLOSING = "closing"
    FAILED = "failed"
    CLOSED = "closed"


class ClientConnection(asyncio.BufferedProtocol):
    """Reads pipelined requests, submits one at a time and writes the responses in order.

    Reading is paused while the client does not read its responses, while too many responses are due, after
    too much invalid input, and after a full read buffer until the other connections have had their turn.
    """

    __slots__ = (
        "_discarded_bytes",
        "_handler",
        "_held_bytes",
        "_is_overflow_connection",
        "_observer",
        "_parser",
        "_read_control",
        "_state",
        "current_request",
        "pipelined_requests",
        "transport",
    )

    def __init__(self, observer: ConnectionObserver, handler: RequestHandler) -> None:
        """Create the protocol of a connection that is not accepted yet.

        Args:
            observer: Notified of each change that affects how long the connection may stay open.
            handler: Answers or submits the requests.
        """
        self._observer = observer
        self._handler = handler
        self.transport: asyncio.Transport | None = None
        self._parser: RequestParser | None = RequestParser(self._request_received)
        self.current_request: ProxiedRequest | None = None
        self.pipelined_requests = RequestQueue()
        self._state = ConnectionState.OPEN
        # The connection exceeds the limit on connections, so its requests are rejected immediately.
        self._is_overflow_connection = False
        self._discarded_bytes = 0
        self._held_bytes = 0
        self._read_control: ReadControl | None = None

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of an accepted connection."""
        # The cast is needed because uvloop's transports do not inherit from asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self._read_control = ReadControl(self.transport)
        # With a high-water mark of 0, `pause_writing` is called if the kernel does not accept a complete
        # response.
        self.transport.set_write_buffer_limits(0)
        self._is_overflow_connection = not self._observer.connection_opened(self)

    def connection_lost(self, _: Exception | None) -> None:
        """Finish all requests, since their client has disconnected."""
        self._state = ConnectionState.CLOSED
        # The transport refers to this connection. Breaking the cycle frees both without garbage collection.
        self.transport = None
        self._read_control = None
        self._close_parser()
        self._observer.connection_closed(self)
        self._discard_unanswered_requests()

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Return the buffer for the next input."""
        return _read_buffer

    def buffer_updated(self, byte_count: int) -> None:
        """Handle the input in the buffer; if it is full, read on in the next iteration of the event loop."""
        self._handle_input(bytes(_read_buffer[:byte_count]))
        if byte_count == READ_BUFFER_BYTES and self._read_control is not None:
            self._read_control.read_on_in_next_iteration()

    def pause_writing(self) -> None:
        """Stop reading and handling requests, since each response that is not read takes memory."""
        if self._read_control is not None:
            self._read_control.pause(PauseReason.UNREAD_RESPONSE)
        self._update_held_bytes()
        self._observer.response_blocked(self)

    def resume_writing(self) -> None:
        """Continue with the next request, now that the client has read the response."""
        if self._read_control is not None:
            self._read_control.resume(PauseReason.UNREAD_RESPONSE)
        self._update_held_bytes()
        self._observer.response_unblocked(self)
        if self._is_usable and not self.has_failed:
            self._continue_after_response()

    # Input

    def _handle_input(self, data: bytes) -> None:
        parser = self._parser
        if parser is None:
            self._discard(data)
            return
        error = parser.feed(data)
        self._update_held_bytes()
        if error is not None:
            self.fail(error)
        elif parser.has_partial_request and not self._is_queue_full:
            self._observer.request_started(self)

    def fail(self, error: LocalResponse) -> None:
        """Respond with an error to input that cannot be parsed or accepted now, and close after that.

        The error is the response to the current request, because it is no longer certain which response
        belongs to which request. The requests behind it get no response. Has no effect on a connection that
        has failed or is closed.
        """
        if self._parser is None:
            return
        self._close_parser()
        self._state = ConnectionState.FAILED
        self._discard_unanswered_requests()
        self._write_local_response(error)

    def _discard(self, data: bytes) -> None:
        """Discard input after an error.

        If the connection were closed with unread input, it would be reset, and the client might lose the
        response. So up to MAX_DISCARDED_BYTES are read. Reading more would cost processor time that other
        clients need, so the rest stays in the kernel until the connection is closed.
        """
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED_BYTES and self._read_control is not None:
            self._read_control.pause(PauseReason.TOO_MUCH_DISCARDED)

    def _close_parser(self) -> None:
        if self._parser is not None:
            self._parser.close()
            self._parser = None
        self._update_held_bytes()

    def _discard_unanswered_requests(self) -> None:
        current = self.current_request
        self.current_request = None
        unanswered = self.pipelined_requests.clear()
        if current is not None:
            unanswered.insert(0, current)
        for request in unanswered:
            self._handler.client_disconnected(request)

    # Requests and responses

    def _request_received(self, request: ParsedRequest) -> None:
        """Start or queue a request, or its rejection if too many requests are queued."""
        self._observer.request_completed(self)
        self._update_held_bytes()
        if not request.keep_alive:
            self._state = ConnectionState.CLOSING
        queued = self._prepare(request)
        if self.has_unanswered_requests or self._has_unread_response:
            self.pipelined_requests.append(queued)
        else:
            self._start_request(queued)
        if self.pipelined_requests.is_full and not self._is_queue_full:
            self._end_all_requests()

    def _prepare(self, request: ParsedRequest) -> QueuedRequest:
        """Return the request to submit when its turn comes, or its response."""
        if not self.pipelined_requests.accepts_requests:
            return TOO_MANY_PIPELINED_REQUESTS
        if not self._observer.make_room(request.stored_bytes):
            return MEMORY_EXHAUSTED
        return self._handler.prepare(self, request)

    def _end_all_requests(self) -> None:
        """Reject all waiting requests, fail the current one, and read no further ones for now.

        The client gets an error at once, even if no server responds to the current request.
        """
        for request in self.pipelined_requests.reject_all():
            self._handler.client_disconnected(request)
        if self._read_control is not None:
            self._read_control.pause(PauseReason.FULL_QUEUE)
        current = self.current_request
        if current is not None:
            self.current_request = None
            self._handler.client_disconnected(current)
            self._write_local_response(FAILED_FOR_PIPELINED_REQUESTS)

    def _start_request(self, request: QueuedRequest) -> None:
        if isinstance(request, LocalResponse):
            self._write_local_response(request)
        elif self._is_overflow_connection or self._handler.is_rejecting_requests:
            self._state = ConnectionState.CLOSING
            self._handler.client_disconnected(request)
            self._encode_and_write(503, retry_after_ms=OVERLOAD_RETRY_AFTER_MS)
        else:
            self.current_request = request
            self._handler.submit(request)

    def _start_next_request(self) -> None:
        if self.current_request is None and self.pipelined_requests and not self._has_unread_response:
            self._start_request(self.pipelined_requests.pop_first())
            if self._is_queue_full and not self.pipelined_requests.is_full:
                self._resume_reading()

    def _resume_reading(self) -> None:
        """Read further requests, now that fewer responses are due."""
        if self._read_control is not None:
            self._read_control.resume(PauseReason.FULL_QUEUE)

    def write_response(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Write the response to the current request."""
        self.current_request = None
        self._encode_and_write(status, body, content_type, retry_after_ms)

    def _write_local_response(self, response: LocalResponse) -> None:
        self._encode_and_write(response.status, response.text, b"text/plain", response.retry_after_ms)

    def _encode_and_write(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        is_closing = self._state is not ConnectionState.OPEN or self._handler.is_draining
        close_after_response = is_closing and not self.pipelined_requests
        transport.write(
            encode_response(status, body, content_type, retry_after_ms, close=close_after_response)
        )
        if not close_after_response:
            if not self._has_unread_response:
                self._continue_after_response()
        elif self.has_failed:
            # Only the sending direction is closed now; `_discard` explains why input is read a little longer.
            transport.write_eof()
            self._observer.connection_failed(self)
        else:
            transport.close()

    def _continue_after_response(self) -> None:
        """Start the next request, or wait for it; part of it may have been received already."""
        if self.pipelined_requests:
            asyncio.get_running_loop().call_soon(self._start_next_request)
        elif self._parser is not None and self._parser.has_partial_request:
            self._observer.request_started(self)
        elif not self.has_unanswered_requests:
            self._observer.connection_idle(self)

    # State

    @property
    def _has_unread_response(self) -> bool:
        """Whether the kernel has not accepted the whole response, because the client does not read it."""
        control = self._read_control
        return control is not None and control.is_paused_for(PauseReason.UNREAD_RESPONSE)

    @property
    def _is_queue_full(self) -> bool:
        """Whether nothing is read because too many responses are due."""
        control = self._read_control
        return control is not None and control.is_paused_for(PauseReason.FULL_QUEUE)

    @property
    def _is_usable(self) -> bool:
        """Whether the connection is neither closed nor being closed."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def held_bytes(self) -> int:
        """The bytes of the incomplete request and of the unread response that the connection holds."""
        return self._held_bytes

    def _update_held_bytes(self) -> None:
        held_bytes = self._parser.received_bytes if self._parser is not None else 0
        if self._has_unread_response and self.transport is not None:
            held_bytes += self.transport.get_write_buffer_size()
        if held_bytes != self._held_bytes:
            self._observer.held_bytes_changed(held_bytes - self._held_bytes)
            self._held_bytes = held_bytes

    @property
    def has_failed(self) -> bool:
        """Whether the input was invalid, so that nothing more is parsed."""
        return self._state is ConnectionState.FAILED

    @property
    def has_unanswered_requests(self) -> bool:
        """Whether a request on this connection has no response yet."""
        return self.current_request is not None or bool(self.pipelined_requests)

    @property
    def has_unread_input(self) -> bool:
        """Whether the kernel holds bytes or an end of stream that the event loop has not read yet."""
        return self.transport is not None and self._is_usable and has_unread_input(self.transport)

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected, even if the event loop has not read that yet."""
        return self.transport is None or has_peer_disconnected(self.transport)

    def close(self) -> None:
        """Close a connection without open requests; immediately if its client does not read its responses."""
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.transport.abort()
        elif self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection immediately, and discard responses that are not sent yet."""
        if self.transport is not None:
            self.transport.abort()
