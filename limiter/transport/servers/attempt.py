"""One send of a client's request to one server."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from limiter.model.events import Outcome

# Called once with the attempt, its outcome, and the response's body and content type.
EndedCallback = Callable[["Attempt", Outcome, bytes, bytes], None]


class AttemptCarrier(Protocol):
    """A connection, as known to the attempt that it carries."""

    def abandon_attempt(self) -> None:
        """Close the connection without ending the attempt."""


class Attempt:
    """One send of a request to a server, which is written at most once and ended exactly once.

    An attempt waits until it has a connection, in the meantime one may be dialled for it. From `write_begun`
    on it is carried by that connection. It is over with the first call of `end`, whoever makes it.
    """

    __slots__ = (
        "_carrier",
        "_dial_task",
        "_is_client_disconnected",
        "_on_ended",
        "_timeout_timer",
        "is_connection_stale",
        "is_written",
        "number",
        "request_bytes",
        "server_id",
        "started_at_seconds",
    )

    def __init__(
        self,
        number: int,
        server_id: bytes,
        request_bytes: bytes,
        on_ended: EndedCallback,
        is_client_disconnected: Callable[[], bool] | None = None,
    ) -> None:
        """Describe a send that has not begun.

        Args:
            number: index of the attempt among those of its request.
            server_id: id of the server.
            request_bytes: the complete HTTP request.
            on_ended: called once with the attempt, its outcome, and the response's body and content type.
            is_client_disconnected: asked after a dial; if so, nothing is written.
        """
        self.number = number
        self.server_id = server_id
        self.request_bytes = request_bytes
        self.started_at_seconds = time.monotonic()
        # The last byte of the request is with the kernel. From then on the server may have run it.
        self.is_written = False
        # The connection was reused, and was reset before any byte of a response.
        self.is_connection_stale = False
        self._on_ended: EndedCallback | None = on_ended
        self._is_client_disconnected = is_client_disconnected
        self._carrier: AttemptCarrier | None = None
        self._dial_task: asyncio.Task[None] | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None

    @property
    def has_ended(self) -> bool:
        """Whether it has ended."""
        return self._on_ended is None

    def elapsed_ms(self) -> float:
        """Return the time since the attempt began."""
        return (time.monotonic() - self.started_at_seconds) * 1000

    def is_client_disconnected(self) -> bool:
        """Return whether the client no longer waits, so that nothing more should be written."""
        return self._is_client_disconnected is not None and self._is_client_disconnected()

    # What happens to the attempt, in the order of its life

    def start_timeout(self, timeout_seconds: float) -> None:
        """Abandon the attempt once its time is up."""
        self._timeout_timer = asyncio.get_running_loop().call_later(timeout_seconds, self.abandon)

    def dial_begun(self, dial_task: asyncio.Task[None]) -> None:
        """Note that a connection is being opened for it."""
        self._dial_task = dial_task

    def dial_finished(self) -> None:
        """Note that the dial can no longer be cancelled: it has ended, or its connection is used now."""
        self._dial_task = None

    def record_write_start(self, carrier: AttemptCarrier) -> None:
        """Note that a connection carries it from now on."""
        self._carrier = carrier

    def record_write_end(self) -> None:
        """Note that the last byte of its request is with the kernel."""
        self.is_written = True

    def end_on_connection_failure(self, *, is_stale: bool) -> None:
        """End it, since its connection has ended before the response.

        Args:
            is_stale: whether the connection was reused, and was reset before any byte of a response.
        """
        self.is_connection_stale = is_stale
        # Before the last byte was written the server cannot have begun to run it; after that it may have.
        self.end(Outcome.RESET if self.is_written else Outcome.CONNECT_FAILED)

    # Ends

    def cancel_unsent(self, outcome: Outcome) -> None:
        """End it if it waits for a dial; once its write has begun it may run, and goes on."""
        if self._dial_task is not None:
            self._dial_task.cancel()  # The dial task alone would write it.
            # In a later turn, since the caller may still be handling the event that led here.
            asyncio.get_running_loop().call_soon(self.end, outcome)

    def abandon(self, outcome: Outcome = Outcome.TIMEOUT) -> None:
        """End it without its response.

        Its connection is closed, since a later response on it would belong to no request. Where the request
        was not written completely it cannot run, and the outcome is CONNECT_FAILED whatever the caller says.
        """
        if self._carrier is not None:
            self._carrier.abandon_attempt()
        elif self._dial_task is not None:
            self._dial_task.cancel()
        self.end(outcome if self.is_written else Outcome.CONNECT_FAILED)

    def end(self, outcome: Outcome, body: bytes = b"", content_type: bytes = b"") -> None:
        """Report the outcome; without effect on an attempt that is over."""
        on_ended = self._on_ended
        if on_ended is None:
            return
        self._on_ended = None
        self._carrier = None
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
            self._timeout_timer = None
        on_ended(self, outcome, body, content_type)
