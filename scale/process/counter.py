"""Emulation of the shared counter, which speaks RESP2."""

from __future__ import annotations

import asyncio
import time

import hiredis

from scale.process.traffic import CountedProtocol, Traffic, listen

MAX_KEY_BYTES = 64
MAX_AMOUNT = 1e9


class MalformedCallError(ValueError):
    """A call does not conform to the protocol."""


class Counter:
    """The shared counter. Its totals never expire, and calls beyond its capacity are rejected as busy."""

    def __init__(self, max_calls_per_s: float) -> None:
        """Create a counter that accepts at most `max_calls_per_s` calls in each second; 0 means no limit."""
        self.traffic = Traffic()
        self.totals: dict[bytes, float] = {}
        self.accepted_calls = 0
        self.busy_calls = 0
        self.malformed_calls = 0
        self._max_calls_per_s = max_calls_per_s
        self._current_second = 0
        self._calls_in_current_second = 0
        self._listener: asyncio.Server

    async def start(self) -> str:
        """Listen for connections and return the address, `host:port`."""
        self._listener, address = await listen(lambda: _CounterConnection(self))
        return address

    def close(self) -> None:
        """Stop listening. Open connections are not closed."""
        self._listener.close()

    def execute_call(self, arguments: list[bytes]) -> bytes:
        """Execute one call and return the reply in RESP2."""
        if arguments[0].upper() == b"PING":
            return b"+PONG\r\n"
        try:
            key, amount = _parse_add_call(arguments)
        except MalformedCallError:
            self.malformed_calls += 1
            return b"-ERR no such call\r\n"
        if not self._admit_call():
            self.busy_calls += 1
            return b"-BUSY\r\n"
        self.accepted_calls += 1
        total = self.totals.get(key, 0.0) + amount
        self.totals[key] = total
        total_text = b"%.7g" % total
        return b"$%d\r\n%b\r\n" % (len(total_text), total_text)

    def _admit_call(self) -> bool:
        """Return whether the capacity of the current second permits another call; if so, count the call."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._calls_in_current_second = 0
        if self._max_calls_per_s and self._calls_in_current_second >= self._max_calls_per_s:
            return False
        self._calls_in_current_second += 1
        return True


def _parse_add_call(arguments: list[bytes]) -> tuple[bytes, float]:
    """Return the key and the amount of a call `CNT.ADD key amount time-to-live`.

    Raises:
        MalformedCallError: the call is a different command, or its arguments are invalid.
    """
    try:
        command, key, amount_text, _ = arguments
        amount = float(amount_text)
    except ValueError as error:
        raise MalformedCallError(arguments) from error
    is_valid = command == b"CNT.ADD" and 1 <= len(key) <= MAX_KEY_BYTES and abs(amount) <= MAX_AMOUNT
    # NaN is rejected too, because its comparison with MAX_AMOUNT is false.
    if not is_valid:
        raise MalformedCallError(arguments)
    return key, amount


class _CounterConnection(CountedProtocol):
    def __init__(self, counter: Counter) -> None:
        super().__init__(counter.traffic)
        self._counter = counter
        self._reader = hiredis.Reader()

    def data_received(self, data: bytes) -> None:
        self.traffic.count_bytes_from_limiter(data)
        self._reader.feed(data)
        while (arguments := self._reader.gets()) is not False:
            self.write(self._counter.execute_call(arguments))
