"""Client of the shared counter: keeps a connection open and reports the outcome of each call once."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from limiter.configuration.addresses import Address
from limiter.model.events import Outcome
from limiter.transport.backoff import Backoff
from limiter.transport.counter.counter_connection import (
    LIVENESS_TIMEOUT_SECONDS,
    CounterConnection,
    PendingCall,
    make_add_call,
)

log = logging.getLogger(__name__)

# Limit on the calls without a reply on one connection. Further calls are rejected without being sent.
MAX_UNANSWERED_CALLS = 512
# Time after a change of address in which replies from the previous address are still read.
ADDRESS_CHANGE_GRACE_SECONDS = 2 * LIVENESS_TIMEOUT_SECONDS
# Delay before connecting again after a connection on which no reply arrived. It doubles with each further
# such connection.
FIRST_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
# A call with less remaining time counts as timed out, because timers may fire slightly early.
TIMER_TOLERANCE_SECONDS = 0.0005
# Shortest time to live that the counter accepts.
MIN_TIME_TO_LIVE_MS = 1

# Called with the key of the count, the outcome, the count's total in units (0 unless the outcome is OK) and
# the latency in milliseconds.
ReplyCallback = Callable[[int, Outcome, float, float], None]


@dataclass(frozen=True, slots=True)
class CounterClientOptions:
    """Address and timeouts of the counter.

    Attributes:
        address: Address of the counter.
        timeout_ms: Time after which a call without a reply is reported as timed out.
        dial_timeout_ms: Time after which opening a connection fails.
    """

    address: Address
    timeout_ms: float
    dial_timeout_ms: float


class CounterClient:
    """Adds units to counts of the shared counter, and reconnects whenever its connection ends."""

    def __init__(self, options: CounterClientOptions, on_reply: ReplyCallback) -> None:
        """Start connecting; the event loop must be running.

        Args:
            options: Address and timeouts of the counter.
            on_reply: Called once for each call of `add`, after `add` has returned.
        """
        self._address = options.address
        self._timeout_seconds = options.timeout_ms / 1000
        self._dial_timeout_seconds = options.dial_timeout_ms / 1000
        self._on_reply = on_reply
        # Written calls whose timeouts have not expired yet, oldest first.
        self._unexpired_calls: deque[PendingCall] = deque()
        self._expiry_timer: asyncio.TimerHandle | None = None
        # The last connection opened to the current address; it may already be closed.
        self.connection: CounterConnection | None = None
        self._loop = asyncio.get_running_loop()
        self._connection_task = self._loop.create_task(self._run())

    def change_address(self, address: Address) -> None:
        """Send new calls to another address; outstanding replies from the old one are still read."""
        if address == self._address:
            return
        self._address = address
        previous_connection = self.connection
        self.connection = None
        self._connection_task.cancel()
        self._connection_task = self._loop.create_task(self._run())
        if previous_connection is not None:
            # The counter may have applied the outstanding calls. They are therefore not repeated, and their
            # replies are still awaited, because the totals are needed.
            previous_connection.retire()
            self._loop.call_later(ADDRESS_CHANGE_GRACE_SECONDS, previous_connection.abort)

    def close(self) -> None:
        """Close the connection; the outcomes of outstanding calls may not be reported."""
        self._connection_task.cancel()
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        if self.connection is not None:
            self.connection.abort()

    def add(self, key: int, units_to_add: float, time_to_live_ms: float) -> None:
        """Add units to a count of the shared counter.

        Args:
            key: Key of the count, 64 bits.
            units_to_add: Units to add to the count.
            time_to_live_ms: Milliseconds after which a count that this call creates expires.
        """
        call = make_add_call(partial(self._on_reply, key))
        connection = self.connection
        if connection is None or not connection.is_open:
            self._loop.call_soon(call.finish, Outcome.CONNECT_FAILED)
            return
        if connection.unanswered_count >= MAX_UNANSWERED_CALLS:
            self._loop.call_soon(call.finish, Outcome.REJECTED)
            return
        clamped_time_to_live_ms = max(MIN_TIME_TO_LIVE_MS, round(time_to_live_ms))
        connection.write(call, "CNT.ADD", str(key), f"{units_to_add:.6f}", str(clamped_time_to_live_ms))
        self._unexpired_calls.append(call)
        if self._expiry_timer is None:
            self._expiry_timer = self._loop.call_later(self._timeout_seconds, self._finish_expired_calls)

    def _finish_expired_calls(self) -> None:
        """Finish the calls that have timed out, and schedule the timer for the next one."""
        self._expiry_timer = None
        while self._unexpired_calls:
            call = self._unexpired_calls[0]
            remaining_seconds = call.started_at_seconds + self._timeout_seconds - time.monotonic()
            if not call.is_finished and remaining_seconds > TIMER_TOLERANCE_SECONDS:
                self._expiry_timer = self._loop.call_later(remaining_seconds, self._finish_expired_calls)
                return
            self._unexpired_calls.popleft()
            call.finish(Outcome.TIMEOUT)

    async def _run(self) -> None:
        """Reconnect whenever the connection ends, with backoff if no reply arrived on it."""
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
                await connection.monitor_until_closed()
                # A connection that ends after valid replies, for example by one invalid reply, is replaced
                # without delay, so that totals are missing only briefly.
                if connection.has_replied:
                    backoff.reset()
                    is_failure_logged = False
                    continue
            await asyncio.sleep(backoff.next_delay_seconds())

    async def _connect(self) -> CounterConnection:
        async with asyncio.timeout(self._dial_timeout_seconds):
            _, connection = await self._loop.create_connection(CounterConnection, *self._address)
        return connection
