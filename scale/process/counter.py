"""Emulation of the shared counter, over RESP2."""

from __future__ import annotations

import asyncio
import time

import hiredis

from scale.process.traffic import CountedProtocol, Traffic, listen

MAX_KEY_BYTES = 64
MAX_AMOUNT = 1e9


class MalformedCallError(ValueError):
    """A call that is not of the protocol."""


class Counter:
    """Totals by key, which never expire; beyond `calls_per_s` calls in a second it is busy."""

    def __init__(self, calls_per_s: float) -> None:
        """Carry out up to that many calls a second; any number if it is 0."""
        self.traffic = Traffic()
        self.totals: dict[bytes, float] = {}
        self.accepted_calls = 0
        self.busy_calls = 0
        self.malformed_calls = 0
        self._calls_per_s = calls_per_s
        self._second = 0
        self._calls_in_second = 0
        self._listener: asyncio.Server

    async def start(self) -> str:
        """Listen for connections; return the address, `host:port`."""
        self._listener, address = await listen(lambda: _CounterConnection(self))
        return address

    def close(self) -> None:
        """Stop listening; connections stay open."""
        self._listener.close()

    def execute_call(self, words: list[bytes]) -> bytes:
        """Carry out one call; return the reply in RESP2."""
        if words[0].upper() == b"PING":
            return b"+PONG\r\n"
        try:
            key, amount = _parse_add(words)
        except MalformedCallError:
            self.malformed_calls += 1
            return b"-ERR no such call\r\n"
        if not self._admit():
            self.busy_calls += 1
            return b"-BUSY\r\n"
        self.accepted_calls += 1
        total = self.totals.get(key, 0.0) + amount
        self.totals[key] = total
        text = b"%.7g" % total
        return b"$%d\r\n%b\r\n" % (len(text), text)

    def _admit(self) -> bool:
        """Count a call that arrives now; return False if the calls of this second are used up."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._calls_in_second = 0
        if self._calls_per_s and self._calls_in_second >= self._calls_per_s:
            return False
        self._calls_in_second += 1
        return True


def _parse_add(words: list[bytes]) -> tuple[bytes, float]:
    """Return key and amount of `CNT.ADD key amount time-to-live`.

    Raises:
        MalformedCallError: the call has another form.
    """
    try:
        command, key, amount_text, _ = words
        amount = float(amount_text)
    except ValueError as error:
        raise MalformedCallError(words) from error
    is_valid = command == b"CNT.ADD" and 1 <= len(key) <= MAX_KEY_BYTES and abs(amount) <= MAX_AMOUNT
    # The amount NaN is not valid either, since its comparison with the bound is false.
    if not is_valid:
        raise MalformedCallError(words)
    return key, amount


class _CounterConnection(CountedProtocol):
    def __init__(self, counter: Counter) -> None:
        super().__init__(counter.traffic)
        self._counter = counter
        self._reader = hiredis.Reader()

    def data_received(self, data: bytes) -> None:
        self.traffic.received(data)
        self._reader.feed(data)
        while (words := self._reader.gets()) is not False:
            self.write(self._counter.execute_call(words))
