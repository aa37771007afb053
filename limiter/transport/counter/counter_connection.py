"""One connection to the shared counter: calls are pipelined, and replies come in the order of the calls."""

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

# Time without any reply, though one is owed, after which the counter counts as dead. TCP would not notice
# that for minutes.
REPLY_OVERDUE_SECONDS = 1.0
# Interval between two checks of a connection.
CHECK_INTERVAL_SECONDS = REPLY_OVERDUE_SECONDS / 4
# Idle time after which a PING is sent. The counter closes idle connections after some 10 s, and a counter
# that died must be noticed before the next call.
PING_AFTER_SECONDS = 4.0

# Called with the outcome, the total (0 unless the outcome is OK) and the latency in milliseconds.
CallFinishedCallback = Callable[[Outcome, float, float], None]


class PendingCall:
    """A call in the order of replies, from its start until its reply is read.

    It is finished once, by its reply, its timeout or the connection's end. After a timeout it keeps its place
    in the order of replies, so that its late reply is not taken for the next call's.
    """

    __slots__ = ("_on_finished", "parse_reply", "started_at_seconds")

    def __init__(
        self,
        parse_reply: Callable[[object], CallResult],
        on_finished: CallFinishedCallback | None,
    ) -> None:
        """Begin a call now.

        Args:
            parse_reply: reads the reply; raises ValueError where it cannot be the reply to this call.
            on_finished: called once with the outcome; None where nobody waits for it.
        """
        self.parse_reply = parse_reply
        self._on_finished = on_finished
        self.started_at_seconds = time.monotonic()

    @property
    def is_finished(self) -> bool:
        """Whether the outcome has been reported, or need not be."""
        return self._on_finished is None

    def finish(self, outcome: Outcome, total: float = 0.0) -> None:
        """Report the outcome; without effect on a call that is finished."""
        on_finished = self._on_finished
        if on_finished is None:
            return
        self._on_finished = None
        latency_ms = (time.monotonic() - self.started_at_seconds) * 1000
        on_finished(outcome, total, latency_ms)


def add_call(on_finished: CallFinishedCallback) -> PendingCall:
    """Make a call that adds to a counter."""
    return PendingCall(parse_add_reply, on_finished)


class CounterConnection(asyncio.Protocol):
    """A connection that is open until it fails, or until it is retired and all owed replies have come."""

    __slots__ = (
        "_is_retired",
        "_last_received_seconds",
        "_replies",
        "_transport",
        "_unanswered",
        "closed",
        "has_replied",
    )

    def __init__(self) -> None:
        """Make the protocol of a connection that is being opened."""
        self._replies = ReplyReader()
        self._transport: asyncio.Transport | None = None
        # Calls that were written, in their order, whose replies are still owed.
        self._unanswered: deque[PendingCall] = deque()
        self._last_received_seconds = time.monotonic()
        self._is_retired = False  # No further call is written; the replies that are owed are still read.
        self.has_replied = False  # At least one valid reply has come.
        self.closed = asyncio.Event()

    @property
    def is_open(self) -> bool:
        """Whether calls can be written."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def unanswered_count(self) -> int:
        """Number of calls whose replies are owed."""
        return len(self._unanswered)

    def write(self, call: PendingCall, *words: str) -> None:
        """Write a call whose command consists of `words`; the connection must be open."""
        assert self._transport is not None
        self._unanswered.append(call)
        self._transport.write(pack_command(*words))

    def retire(self) -> None:
        """Close as soon as the replies that are owed have come."""
        self._is_retired = True
        self._abort_if_done()

    def abort(self) -> None:
        """Close without waiting for replies."""
        if self._transport is not None:
            self._transport.abort()

    async def keep_alive(self) -> None:
        """Check the connection at intervals, until it is closed."""
        while not self.closed.is_set():
            try:
                async with asyncio.timeout(CHECK_INTERVAL_SECONDS):
                    await self.closed.wait()
            except TimeoutError:
                self._check_liveness()

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport of the connection that is open now."""
        # A cast, since uvloop's transports do not inherit from asyncio's.
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Finish the calls whose replies came; a reply that cannot be read ends the connection."""
        try:
            for reply in self._replies.feed(data):
                self._finish_first_call(reply)
        except (hiredis.ProtocolError, ValueError) as error:
            # Nothing after it can be matched to its call. Any call in flight may have been added.
            log.warning("counter_reply_invalid error=%r", error)
            self.abort()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Finish the calls in flight as timed out: they may have been added, or may yet be."""
        self._transport = None
        self.closed.set()
        while self._unanswered:
            self._unanswered.popleft().finish(Outcome.TIMEOUT)

    def _finish_first_call(self, reply: object) -> None:
        if not self._unanswered:
            raise UnsolicitedReplyError
        call = self._unanswered[0]
        result = call.parse_reply(reply)
        self._last_received_seconds = time.monotonic()
        self.has_replied = True
        self._unanswered.popleft()
        call.finish(result.outcome, result.total)
        if self._is_retired:
            self._abort_if_done()

    def _abort_if_done(self) -> None:
        if not self._unanswered:
            self.abort()

    def _check_liveness(self) -> None:
        """Close a connection on which a reply is overdue; send a PING on one that has been idle for long."""
        now = time.monotonic()
        if self._unanswered:
            waiting_since = max(self._unanswered[0].started_at_seconds, self._last_received_seconds)
            if now - waiting_since > REPLY_OVERDUE_SECONDS:
                log.warning("counter_silent unanswered_calls=%d", len(self._unanswered))
                self.abort()
        elif self.is_open and now - self._last_received_seconds > PING_AFTER_SECONDS:
            self.write(PendingCall(parse_ping_reply, None), "PING")
