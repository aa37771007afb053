"""A connection to the shared counter: calls are pipelined, and replies arrive in the order of the calls."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from typing import cast

import hiredis

from limiter.model.events import Outcome
from limiter.transport.counter.resp import (
    CallResult,
    ReplyReader,
    UnsolicitedReplyError,
    pack_command,
    parse_add_reply,
    parse_ping_reply,
)

log = logging.getLogger(__name__)

# Time without any reply to outstanding calls after which the connection is considered dead. TCP would take
# minutes to detect that.
LIVENESS_TIMEOUT_SECONDS = 1.0
# Interval between two liveness checks of a connection.
LIVENESS_CHECK_INTERVAL_SECONDS = LIVENESS_TIMEOUT_SECONDS / 4
# Idle time after which a PING is sent. The counter closes idle connections after about 10 s, and a dead
# counter has to be detected before the next call.
PING_AFTER_IDLE_SECONDS = 4.0

# Called with the outcome, the count's total in units (0 unless the outcome is OK) and the latency in
# milliseconds.
CallFinishedCallback = Callable[[Outcome, float, float], None]


class PendingCall:
    """A pipelined call, which is queued until its reply is read.

    The call is finished once: by its reply, its timeout or the end of the connection. After a timeout it
    stays in the queue, so that its late reply is not matched to the next call.
    """

    __slots__ = ("_on_finished", "parse_reply", "started_at_seconds")

    def __init__(
        self,
        parse_reply: Callable[[object], CallResult],
        on_finished: CallFinishedCallback | None,
    ) -> None:
        """Create a call that starts now.

        Args:
            parse_reply: Parses the reply; raises ValueError if it is not a valid reply to this call.
            on_finished: Called once with the outcome; None if the outcome is not needed.
        """
        self.parse_reply = parse_reply
        self._on_finished = on_finished
        self.started_at_seconds = time.monotonic()

    @property
    def is_finished(self) -> bool:
        """Whether the outcome has been reported or is not needed."""
        return self._on_finished is None

    def finish(self, outcome: Outcome, total_units: float = 0.0) -> None:
        """Report the outcome; has no effect on a finished call."""
        on_finished = self._on_finished
        if on_finished is None:
            return
        self._on_finished = None
        latency_ms = (time.monotonic() - self.started_at_seconds) * 1000
        on_finished(outcome, total_units, latency_ms)


def make_add_call(on_finished: CallFinishedCallback) -> PendingCall:
    """Create a call that adds units to a count."""
    return PendingCall(parse_add_reply, on_finished)


class CounterConnection(asyncio.Protocol):
    """A connection that stays open until it fails, or until it is retired and has no outstanding calls."""

    __slots__ = (
        "_is_retired",
        "_last_received_seconds",
        "_reply_reader",
        "_transport",
        "_unanswered_calls",
        "closed",
        "has_replied",
    )

    def __init__(self) -> None:
        """Create the protocol object for a connection that is being opened."""
        self._reply_reader = ReplyReader()
        self._transport: asyncio.Transport | None = None
        # Written calls whose replies have not arrived, oldest first.
        self._unanswered_calls: deque[PendingCall] = deque()
        self._last_received_seconds = time.monotonic()
        self._is_retired = False  # No further calls are written; outstanding replies are still read.
        self.has_replied = False  # At least one valid reply has arrived.
        self.closed = asyncio.Event()

    @property
    def is_open(self) -> bool:
        """Whether calls can be written."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def unanswered_count(self) -> int:
        """Number of calls whose replies have not arrived."""
        return len(self._unanswered_calls)

    def write(self, call: PendingCall, *command_parts: str) -> None:
        """Write a call with this command name and arguments; the connection must be open."""
        assert self._transport is not None
        self._unanswered_calls.append(call)
        self._transport.write(pack_command(*command_parts))

    def retire(self) -> None:
        """Close the connection as soon as all outstanding replies have arrived."""
        self._is_retired = True
        self._abort_if_all_answered()

    def abort(self) -> None:
        """Close the connection without waiting for replies."""
        if self._transport is not None:
            self._transport.abort()

    async def monitor_until_closed(self) -> None:
        """Check the liveness of the connection at regular intervals until it is closed."""
        while not self.closed.is_set():
            try:
                async with asyncio.timeout(LIVENESS_CHECK_INTERVAL_SECONDS):
                    await self.closed.wait()
            except TimeoutError:
                self._check_liveness()

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the opened connection."""
        # The cast is needed because uvloop's transports do not inherit from asyncio's.
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Finish the calls whose replies arrived; an invalid reply ends the connection."""
        try:
            for reply in self._reply_reader.feed(data):
                self._finish_oldest_call(reply)
        except (hiredis.ProtocolError, ValueError) as error:
            # Later replies cannot be matched to their calls. The counter may have applied any outstanding
            # call.
            log.warning("counter_reply_invalid error=%r", error)
            self.abort()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Finish the outstanding calls as timed out: the counter may have applied them or may still do so."""
        self._transport = None
        self.closed.set()
        while self._unanswered_calls:
            self._unanswered_calls.popleft().finish(Outcome.TIMEOUT)

    def _finish_oldest_call(self, reply: object) -> None:
        if not self._unanswered_calls:
            raise UnsolicitedReplyError
        call = self._unanswered_calls[0]
        result = call.parse_reply(reply)
        self._last_received_seconds = time.monotonic()
        self.has_replied = True
        self._unanswered_calls.popleft()
        call.finish(result.outcome, result.total_units)
        if self._is_retired:
            self._abort_if_all_answered()

    def _abort_if_all_answered(self) -> None:
        if not self._unanswered_calls:
            self.abort()

    def _check_liveness(self) -> None:
        """Close the connection if a reply is overdue; send a PING if it has been idle for too long."""
        now_seconds = time.monotonic()
        if self._unanswered_calls:
            waiting_since_seconds = max(
                self._unanswered_calls[0].started_at_seconds, self._last_received_seconds
            )
            if now_seconds - waiting_since_seconds > LIVENESS_TIMEOUT_SECONDS:
                log.warning("counter_silent unanswered_calls=%d", len(self._unanswered_calls))
                self.abort()
        elif self.is_open and now_seconds - self._last_received_seconds > PING_AFTER_IDLE_SECONDS:
            self.write(PendingCall(parse_ping_reply, None), "PING")
