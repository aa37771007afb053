"""Fake counter: receives calls from limiters over RESP, adds their units up by key and records them."""

from __future__ import annotations

import asyncio

import hiredis

from tests.support.fake_service import FakeService

_READ_BYTES = 65536


class FakeCounter(FakeService):
    """Keeps the total of each key, and replies to each addition with the new total.

    Attributes:
        totals_by_key: for each key, the sum of the units added to it.
        calls: the arguments of each call received so far.
        delay_seconds: time from a call to its reply.
        reply_override: bytes that are sent in place of each total; None to send the totals.
    """

    def __init__(self) -> None:
        """Create a counter without totals that does not listen yet."""
        super().__init__()
        self.totals_by_key: dict[bytes, float] = {}
        self.calls: list[list[bytes]] = []
        self.delay_seconds = 0.0
        self.reply_override: bytes | None = None

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _connection_number: int
    ) -> None:
        """Reply to the calls of one connection in the order received."""
        parser = hiredis.Reader()
        while data := await reader.read(_READ_BYTES):
            parser.feed(data)
            while (call := parser.gets()) is not False:
                await self._reply(call, writer)

    async def _reply(self, call: list[bytes], writer: asyncio.StreamWriter) -> None:
        self.calls.append(call)
        if self.delay_seconds:
            await asyncio.sleep(self.delay_seconds)
        if call[0] == b"PING":
            writer.write(b"+PONG\r\n")
            return
        _command, key, amount, *_time_to_live = call
        self.totals_by_key[key] = self.totals_by_key.get(key, 0.0) + float(amount)
        total = b"%g" % self.totals_by_key[key]
        writer.write(self.reply_override or b"$%d\r\n%b\r\n" % (len(total), total))
