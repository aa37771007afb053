"""Client of the shared counter: it keeps a connection open, and reports the outcome of each call once."""

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
    REPLY_OVERDUE_SECONDS,
    CounterConnection,
    PendingCall,
    add_call,
)

log = logging.getLogger(__name__)

# Calls whose replies may be owed on a connection. Further ones are rejected here.
MAX_UNANSWERED_CALLS = 512
# Time in which the counter at the previous address may still reply, after the address has changed.
ADDRESS_CHANGE_GRACE_SECONDS = 2 * REPLY_OVERDUE_SECONDS
# Delay before connecting again after a connection that brought no reply. It doubles with each further one.
FIRST_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
# A call that has less time left than this counts as timed out, since timers may fire a little early.
TIMER_TOLERANCE_SECONDS = 0.0005
# Shortest time to live that the counter accepts.
MIN_TIME_TO_LIVE_MS = 1

# Called with the key, the outcome, the total (0 unless the outcome is OK) and the latency in milliseconds.
ReplyCallback = Callable[[int, Outcome, float, float], None]


@dataclass(frozen=True, slots=True)
class CounterClientOptions:
    """Where the counter is, and how long it is waited for.

    Attributes:
        address: address of the counter.
        timeout_ms: time after which a call without a reply is reported as timed out.
        dial_timeout_ms: longest time in which a connection is opened.
    """

    address: Address
    timeout_ms: float
    dial_timeout_ms: float


class CounterClient:
    """Adds to counters on a connection that is opened again whenever it ends."""

    def __init__(self, options: CounterClientOptions, on_reply: ReplyCallback) -> None:
        """Begin to connect; the event loop must be running.

        Args:
            options: where the counter is, and how long it is waited for.
            on_reply: called once for each call of `add`, never from within it.
        """
        self._address = options.address
        self._timeout_seconds = options.timeout_ms / 1000
        self._dial_timeout_seconds = options.dial_timeout_ms / 1000
        self._on_reply = on_reply
        # Calls that were written, in their order, whose timeouts are still to come.
        self._unexpired: deque[PendingCall] = deque()
        self._expiry_timer: asyncio.TimerHandle | None = None
        # The last connection that was opened at this address; it may be closed already.
        self.connection: CounterConnection | None = None
        self._loop = asyncio.get_running_loop()
        self._task = self._loop.create_task(self._run())

    def change_address(self, address: Address) -> None:
        """Send new calls to another address; replies that are owed at the old one are still read."""
        if address == self._address:
            return
        self._address = address
        previous = self.connection
        self.connection = None
        self._task.cancel()
        self._task = self._loop.create_task(self._run())
        if previous is not None:
            # Its calls may have been added, so they are neither repeated nor given up: their totals count.
            previous.retire()
            self._loop.call_later(ADDRESS_CHANGE_GRACE_SECONDS, previous.abort)

    def close(self) -> None:
        """Close the connection; calls in flight may not be reported any more."""
        self._task.cancel()
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        if self.connection is not None:
            self.connection.abort()

    def add(self, key: int, amount: float, time_to_live_ms: float) -> None:
        """Add to a counter.

        Args:
            key: names the counter.
            amount: units to add.
            time_to_live_ms: how long the counter service is asked to keep the counter from now on.
        """
        call = add_call(partial(self._on_reply, key))
        connection = self.connection
        if connection is None or not connection.is_open:
            self._loop.call_soon(call.finish, Outcome.CONNECT_FAILED)
            return
        if connection.unanswered_count >= MAX_UNANSWERED_CALLS:
            self._loop.call_soon(call.finish, Outcome.REJECTED)
            return
        time_to_live = max(MIN_TIME_TO_LIVE_MS, round(time_to_live_ms))
        connection.write(call, "CNT.ADD", str(key), f"{amount:.6f}", str(time_to_live))
        self._unexpired.append(call)
        if self._expiry_timer is None:
            self._expiry_timer = self._loop.call_later(self._timeout_seconds, self._finish_expired_calls)

    def _finish_expired_calls(self) -> None:
        """Finish the calls whose time is up, and set the timer for the next one."""
        self._expiry_timer = None
        while self._unexpired:
            call = self._unexpired[0]
            remaining_seconds = call.started_at_seconds + self._timeout_seconds - time.monotonic()
            if not call.is_finished and remaining_seconds > TIMER_TOLERANCE_SECONDS:
                self._expiry_timer = self._loop.call_later(remaining_seconds, self._finish_expired_calls)
                return
            self._unexpired.popleft()
            call.finish(Outcome.TIMEOUT)

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
                await connection.keep_alive()
                # After one invalid reply the next connection is opened at once: totals are not missed for
                # long.
                if connection.has_replied:
                    backoff.reset()
                    is_failure_logged = False
                    continue
            await asyncio.sleep(backoff.next_delay_seconds())

    async def _connect(self) -> CounterConnection:
        async with asyncio.timeout(self._dial_timeout_seconds):
            _, connection = await self._loop.create_connection(CounterConnection, *self._address)
        return connection
