"""A single attempt to send a client's request to a server."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

from limiter.model.events import Outcome

# Called once, with the attempt, its outcome, and the body and content type of the response.
AttemptEndedCallback = Callable[["Attempt", Outcome, bytes, bytes], None]


class AttemptConnection(Protocol):
    """The part of a connection's interface that the attempt in flight on it uses."""

    def abandon_attempt(self) -> None:
        """Close the connection without ending the attempt."""


class AttemptRequest(NamedTuple):
    """The request of an attempt, and the monotonic times in seconds that limit when it may be written.

    Attributes:
        head: Request line and headers, without X-Deadline-Ms and the blank line.
        body: The body, which may be empty.
        expires_at_seconds: Time until which the limiter waits for the response.
        write_before_seconds: Further limit on the time of writing; infinite if there is none.
    """

    head: bytes
    body: bytes
    expires_at_seconds: float
    write_before_seconds: float = math.inf

    def remaining_write_seconds(self) -> float:
        """Return the time until the request must not be written any more; not positive from then on."""
        return min(self.expires_at_seconds, self.write_before_seconds) - time.monotonic()

    def encode(self) -> tuple[bytes, ...]:
        """Return the parts of the HTTP request, with the time for which the limiter waits from now on."""
        deadline_ms = max(1, int((self.expires_at_seconds - time.monotonic()) * 1000))
        head = b"%bX-Deadline-Ms: %d\r\n\r\n" % (self.head, deadline_ms)
        return (head, self.body) if self.body else (head,)


class Attempt:
    """A request sent to one server. It is written at most once and ended exactly once.

    An attempt first waits for a connection, which may have to be dialed. From `record_write_start` on it is
    in flight on that connection. The first call of `end` ends it, whichever component makes that call.
    """

    __slots__ = (
        "_connection",
        "_dial_task",
        "_is_client_disconnected",
        "_on_ended",
        "_timeout_timer",
        "is_connection_stale",
        "is_written",
        "number",
        "request",
        "server_id",
        "started_at_seconds",
    )

    def __init__(
        self,
        number: int,
        server_id: bytes,
        request: AttemptRequest,
        on_ended: AttemptEndedCallback,
        is_client_disconnected: Callable[[], bool] | None = None,
    ) -> None:
        """Create an attempt that has not been sent yet.

        Args:
            number: Index of the attempt among all attempts of its request.
            server_id: Id of the server.
            request: The request, which is encoded when it is written.
            on_ended: Called once, with the attempt, its outcome, and the body and content type of the
                response.
            is_client_disconnected: Called after a dial; if it returns True, the request is not written.
        """
        self.number = number
        self.server_id = server_id
        self.request = request
        self.started_at_seconds = time.monotonic()
        # Whether the kernel has accepted the last byte of the request. From then on the server may have
        # executed the request.
        self.is_written = False
        # Whether the connection was a reused one that ended before any byte of a response arrived.
        self.is_connection_stale = False
        self._on_ended: AttemptEndedCallback | None = on_ended
        self._is_client_disconnected = is_client_disconnected
        self._connection: AttemptConnection | None = None
        self._dial_task: asyncio.Task[None] | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None

    @property
    def has_ended(self) -> bool:
        """Whether the outcome has been reported."""
        return self._on_ended is None

    def elapsed_ms(self) -> float:
        """Return the time since the attempt was created, in milliseconds."""
        return (time.monotonic() - self.started_at_seconds) * 1000

    def is_client_disconnected(self) -> bool:
        """Return whether the client has disconnected, in which case the request should not be written."""
        return self._is_client_disconnected is not None and self._is_client_disconnected()

    # Lifecycle events, in the order in which they occur

    def start_timeout(self, timeout_seconds: float) -> None:
        """Abandon the attempt if it has not ended after `timeout_seconds`."""
        self._timeout_timer = asyncio.get_running_loop().call_later(timeout_seconds, self.abandon)

    def record_dial_start(self, dial_task: asyncio.Task[None]) -> None:
        """Record that a connection is being opened for this attempt."""
        self._dial_task = dial_task

    def record_dial_end(self) -> None:
        """Record that the dial must not be cancelled any more: it has ended, or its connection is in use."""
        self._dial_task = None

    def record_write_start(self, connection: AttemptConnection) -> None:
        """Record that the request is now being written on `connection`."""
        self._connection = connection

    def record_write_end(self) -> None:
        """Record that the kernel has accepted the last byte of the request."""
        self.is_written = True

    def end_on_connection_failure(self, *, is_stale: bool) -> None:
        """End the attempt because its connection ended before the response was complete.

        Args:
            is_stale: Whether the connection was a reused one that ended before any byte of a response
                arrived.
        """
        self.is_connection_stale = is_stale
        # A server cannot execute a request before its last byte was written. After that, it may have.
        self.end(Outcome.RESET if self.is_written else Outcome.CONNECT_FAILED)

    # Ending the attempt

    def cancel_unsent(self, outcome: Outcome) -> None:
        """End the attempt if it still waits for a dial.

        An attempt whose write has started continues, because the server may execute it.
        """
        if self._dial_task is not None:
            self._dial_task.cancel()  # Only the dial task would write the request.
            # Deferred to a later event loop iteration, because the caller may still be handling the event
            # that led to this call.
            asyncio.get_running_loop().call_soon(self.end, outcome)

    def abandon(self, outcome: Outcome = Outcome.TIMEOUT) -> None:
        """End the attempt without waiting for its response.

        The connection is closed, because a response that arrived on it later could not be matched to a
        request. If the request was not written completely, the server cannot execute it, and the outcome is
        CONNECT_FAILED instead of `outcome`.
        """
        if self._connection is not None:
            self._connection.abandon_attempt()
        elif self._dial_task is not None:
            self._dial_task.cancel()
        self.end(outcome if self.is_written else Outcome.CONNECT_FAILED)

    def end(self, outcome: Outcome, body: bytes = b"", content_type: bytes = b"") -> None:
        """Report the outcome; has no effect on an attempt that has already ended."""
        on_ended = self._on_ended
        if on_ended is None:
            return
        self._on_ended = None
        self._connection = None
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
            self._timeout_timer = None
        on_ended(self, outcome, body, content_type)
