"""Client of the shared counter, over RESP2: calls are pipelined on one connection and answered in order."""

from __future__ import annotations

import asyncio
import logging
import math
import re
import time
from collections import deque
from collections.abc import Callable
from typing import cast

import hiredis

from limiter.configuration.config import Address
from limiter.model.events import Outcome
from limiter.transport.backoff import Backoff

log = logging.getLogger(__name__)

MAX_UNANSWERED_CALLS = 512  # further ones are rejected here
SILENCE_SECONDS = 1.0  # without a reply that is owed: a dead counter, since TCP would not tell for minutes
MOVE_GRACE_SECONDS = 2 * SILENCE_SECONDS  # in which the previous counter may still answer
CHECK_INTERVAL_SECONDS = SILENCE_SECONDS / 4
PING_AFTER_SECONDS = (
    4.0  # idle: the counter closes connections after some 10 s, and a dead one must be noticed
)
FIRST_BACKOFF_SECONDS = 0.05  # before connecting again after a connection that brought no reply
MAX_BACKOFF_SECONDS = 1.0
MAX_REPLY_BYTES = 512  # a total takes some twenty
TIMER_SLACK_SECONDS = 0.0005  # a call with less time left than this has timed out
AGGREGATE_REPLY = re.compile(rb"(?:^|\n)[*~%>|]")  # the parser sets memory aside by the length that it states
TOTAL = re.compile(rb"-?\d+(\.\d*)?([eE][-+]?\d+)?")  # float() takes more: 1_0, nan, blanks
NOTHING_ADDED_CODES = ("BUSY", "ERR")  # the only error replies that prove that nothing was added

# Called with the name, the outcome, the total (0 unless the outcome is OK) and the latency in milliseconds.
ReplyCallback = Callable[[int, Outcome, float, float], None]


class CounterProtocolError(ValueError):
    """The counter sent what cannot be the reply to a call."""


class UnsolicitedReplyError(CounterProtocolError):
    """A reply came while no call was unanswered."""

    def __init__(self) -> None:
        """State the fault."""
        super().__init__("a reply without a call")


class ReplyTooLongError(CounterProtocolError):
    """A reply exceeds MAX_REPLY_BYTES, or is an aggregate, for which the parser would set memory aside."""

    def __init__(self) -> None:
        """State the fault."""
        super().__init__("a reply that is too long, or an aggregate")


class InvalidReplyError(CounterProtocolError):
    """A reply is none of those that its call can have."""

    def __init__(self, reply: object) -> None:
        """Name the reply."""
        super().__init__(f"{reply!r} is not a reply to the call")


class PendingCall:
    """A call's place in the order of replies; it outlives its timeout until its own reply is read."""

    __slots__ = ("is_over", "name", "started")

    def __init__(self, name: int | None) -> None:
        """Begin a call that adds to the counter `name`; None: a PING, whose end is not reported."""
        self.name = name
        self.is_over = name is None  # its outcome has been reported
        self.started = time.monotonic()


class CounterConnection(asyncio.Protocol):
    """Calls written on one connection, and their replies in the same order."""

    __slots__ = (
        "_client",
        "_incomplete_bytes",
        "_reader",
        "_transport",
        "closed",
        "has_replied",
        "is_retired",
        "last_received",
        "unanswered",
    )

    def __init__(self, client: CounterClient) -> None:
        """Make the protocol of a connection that `client` opens."""
        self._client = client
        self._reader = hiredis.Reader()
        self._transport: asyncio.Transport | None = None
        self._incomplete_bytes = 0  # of a reply that is not complete yet
        self.unanswered: deque[PendingCall] = deque()  # written, with the reply still to come
        self.last_received = time.monotonic()
        self.has_replied = False
        self.is_retired = False  # the client has moved; only the replies that are owed are read
        self.closed = asyncio.Event()

    @property
    def is_open(self) -> bool:
        """Whether calls can be written."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is none by inheritance

    def write(self, call: PendingCall, *words: str) -> None:
        """Write a call in RESP; the connection must be open."""
        assert self._transport is not None
        self.unanswered.append(call)
        self._transport.write(_pack(*words))

    def data_received(self, data: bytes) -> None:
        """Read the replies in what came; one that cannot be read ends the connection."""
        try:
            self._read(data)
        except (hiredis.ProtocolError, ValueError) as error:
            # Nothing behind it can be matched to its call. All calls in flight here may have been added.
            log.warning("counter_reply_invalid error=%r", error)
            self.abort()

    def connection_lost(self, _exc: Exception | None) -> None:
        """End the calls in flight: they were written, so they may have been added or may yet be."""
        self._transport = None
        self.closed.set()
        while self.unanswered:
            self._client.finish_call(self.unanswered.popleft(), Outcome.TIMEOUT)

    def abort(self) -> None:
        """Close without waiting for replies."""
        if self._transport is not None:
            self._transport.abort()

    def retire(self) -> None:
        """Close as soon as the replies that are owed have come."""
        self.is_retired = True
        if not self.unanswered:
            self.abort()

    def check_liveness(self) -> None:
        """Close a connection that has fallen silent; keep an idle one from being closed by the counter."""
        now = time.monotonic()
        if self.unanswered:
            if now - max(self.unanswered[0].started, self.last_received) > SILENCE_SECONDS:
                log.warning("counter_silent unanswered_calls=%d", len(self.unanswered))
                self.abort()
        elif self.is_open and now - self.last_received > PING_AFTER_SECONDS:
            self.write(PendingCall(None), "PING")

    def _read(self, data: bytes) -> None:
        if AGGREGATE_REPLY.search(data):
            raise ReplyTooLongError
        self._incomplete_bytes += len(data)
        self._reader.feed(data)
        while (reply := self._reader.gets()) is not False:
            self._incomplete_bytes = 0
            self._end_first_call(reply)
        if self._incomplete_bytes > MAX_REPLY_BYTES:
            raise ReplyTooLongError

    def _end_first_call(self, reply: object) -> None:
        if not self.unanswered:
            raise UnsolicitedReplyError
        call = self.unanswered[0]
        outcome, total = _parse_reply(reply, is_ping=call.name is None)
        self.last_received = time.monotonic()
        self.has_replied = True
        self.unanswered.popleft()
        self._client.finish_call(call, outcome, total)
        if self.is_retired and not self.unanswered:
            self.abort()


class CounterClient:
    """Adds to counters and reports each call's outcome once; connects anew whenever its connection ends."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        timeout_ms: float,
        dial_timeout_ms: float,
        on_reply: ReplyCallback,
    ) -> None:
        """Connect, and keep connected.

        Args:
            loop: the event loop.
            address: of the counter.
            timeout_ms: after which a call without a reply is reported as timed out.
            dial_timeout_ms: for opening a connection.
            on_reply: called once for each call of `add`, never from within it.
        """
        self.loop = loop
        self.address = address
        self.timeout = timeout_ms / 1000  # seconds
        self.dial_timeout = dial_timeout_ms / 1000  # seconds
        self.on_reply = on_reply
        self.connection: CounterConnection | None = None
        self.unexpired: deque[PendingCall] = deque()  # written, with the time-out still to come
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.task = loop.create_task(self._run())

    def change_address(self, address: Address) -> None:
        """Send new calls to another address; replies that are owed at the old one are still read."""
        if address == self.address:
            return
        self.address = address
        previous = self.connection
        self.connection = None
        self.task.cancel()
        self.task = self.loop.create_task(self._run())
        if previous is not None:
            # Its calls may have been added, so they are neither repeated nor given up: their totals count.
            previous.retire()
            self.loop.call_later(MOVE_GRACE_SECONDS, previous.abort)

    def close(self) -> None:
        """Close the connection; calls in flight may not be reported any more."""
        self.task.cancel()
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
        if self.connection is not None:
            self.connection.abort()

    def add(self, name: int, amount: float, time_to_live_ms: float) -> None:
        """Add to the counter `name`; the service is asked to keep it for `time_to_live_ms` from now on."""
        call = PendingCall(name)
        connection = self.connection
        if connection is None or not connection.is_open:
            self.loop.call_soon(self.finish_call, call, Outcome.CONNECT_FAILED)
            return
        if len(connection.unanswered) >= MAX_UNANSWERED_CALLS:
            self.loop.call_soon(self.finish_call, call, Outcome.REJECTED)
            return
        connection.write(call, "CNT.ADD", str(name), f"{amount:.6f}", str(max(1, round(time_to_live_ms))))
        self.unexpired.append(call)
        if self.expiry_timer is None:
            self.expiry_timer = self.loop.call_later(self.timeout, self._expire)

    def finish_call(self, call: PendingCall, outcome: Outcome, total: float = 0.0) -> None:
        """Report a call's outcome; without effect on one that is over."""
        if call.name is not None and not call.is_over:
            call.is_over = True
            self.on_reply(call.name, outcome, total, (time.monotonic() - call.started) * 1000)

    def _expire(self) -> None:
        """End the calls whose time is up, and wait for the next."""
        self.expiry_timer = None
        while self.unexpired:
            call = self.unexpired[0]
            remaining = call.started + self.timeout - time.monotonic()
            if not call.is_over and remaining > TIMER_SLACK_SECONDS:
                self.expiry_timer = self.loop.call_later(remaining, self._expire)
                return
            self.unexpired.popleft()
            # It stays among the unanswered: its reply still comes, and must not pass for the next call's.
            self.finish_call(call, Outcome.TIMEOUT)

    async def _run(self) -> None:
        """Connect again whenever the connection ends, with a backoff after one that brought no reply."""
        backoff = Backoff(FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        is_failure_logged = False
        while True:
            try:
                connection = await self._connect()
            except (OSError, TimeoutError) as error:
                if not is_failure_logged:
                    log.warning("counter_connect_failed error=%r", error)
                    is_failure_logged = True
            else:
                self.connection = connection
                await _watch(connection)
                if connection.has_replied:  # one invalid reply is no reason to go without totals for a while
                    backoff.reset()
                    is_failure_logged = False
                    continue
            await asyncio.sleep(backoff.next_delay())

    async def _connect(self) -> CounterConnection:
        async with asyncio.timeout(self.dial_timeout):
            _, connection = await self.loop.create_connection(lambda: CounterConnection(self), *self.address)
        return connection


async def _watch(connection: CounterConnection) -> None:
    """Check the connection at intervals until it is closed."""
    while not connection.closed.is_set():
        try:
            async with asyncio.timeout(CHECK_INTERVAL_SECONDS):
                await connection.closed.wait()
        except TimeoutError:
            connection.check_liveness()


def _parse_reply(reply: object, *, is_ping: bool) -> tuple[Outcome, float]:
    """Outcome and total that a reply tells of its call; the total is 0 where there is none."""
    if isinstance(reply, hiredis.ReplyError):
        # A garbled reply may begin with a minus as well, so only the known codes count.
        if str(reply).partition(" ")[0] not in NOTHING_ADDED_CODES:
            raise InvalidReplyError(reply)
        return Outcome.REJECTED, 0.0
    if is_ping:
        if reply != b"PONG":
            raise InvalidReplyError(reply)
        return Outcome.OK, 0.0
    if not isinstance(reply, bytes) or not TOTAL.fullmatch(reply):
        raise InvalidReplyError(reply)
    total = float(reply)
    if not math.isfinite(total):
        raise InvalidReplyError(reply)
    return Outcome.OK, total


def _pack(*words: str) -> bytes:
    return hiredis.pack_command(words)  # type: ignore  # its stub takes one word and returns Any
