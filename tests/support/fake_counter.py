"""Fake counter: adds up what limiters send it over RESP, and records the calls."""

from __future__ import annotations

import asyncio

import hiredis

from tests.support.fake_service import FakePeer

_READ_BYTES = 65536


class FakeCounter(FakePeer):
    """Keeps a total for each key.

    Attributes:
        totals: the totals by key.
        calls: the arguments of each call so far.
        delay_seconds: time from a call to its reply.
        reply_override: bytes that are sent in place of each total; None for the totals themselves.
    """

    def __init__(self) -> None:
        """Make a counter without totals, which does not listen yet."""
        super().__init__()
        self.totals: dict[bytes, float] = {}
        self.calls: list[list[bytes]] = []
        self.delay_seconds = 0.0
        self.reply_override: bytes | None = None

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _connection_number: int
    ) -> None:
        """Reply to the calls of the connection in their order."""
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
        self.totals[key] = self.totals.get(key, 0.0) + float(amount)
        total = b"%g" % self.totals[key]
        writer.write(self.reply_override or b"$%d\r\n%b\r\n" % (len(total), total))
