"""Discovery, or its agent on the limiter's machine: answers with the list, and holds watches."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
from typing import Any

from standins.record import Record


class Discovery:
    """Answers `GET /catalog/members`, with or without a watch, as the protocol page says.

    Attributes:
        delay_seconds: Time by which each answer is late.
        address: `host:port`.
    """

    def __init__(self, entries: list[dict[str, Any]], record: Record) -> None:
        """Start with a whole list, generation 41."""
        self._history: list[tuple[int, dict[str, Any]]] = [(41, entry) for entry in entries]
        self._generation = 41
        self._record = record
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self.delay_seconds = 0.0
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def change(self, entry: dict[str, Any]) -> None:
        """Publish the change of one entry."""
        async with self._changed:
            self._generation += 1
            self._history.append((self._generation, entry))
            self._changed.notify_all()
        self._record.note("discovery_has", id=entry["instanceId"], lifecycle=entry["lifecycle"])

    def make_whole_list(self) -> dict[str, Any]:
        """Return the whole list."""
        latest = {entry["instanceId"]: entry for _, entry in self._history}
        instances = [entry for entry in latest.values() if entry["lifecycle"] != "left"]
        return {"generation": self._generation, "reset": True, "instances": instances}

    def _make_changes(self, since: int) -> dict[str, Any]:
        changed = {entry["instanceId"]: entry for at, entry in self._history if at > since}
        return {"generation": self._generation, "reset": False, "instances": list(changed.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                target = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
                self._record.note("discovery_called", target=target)
                body = json.dumps(await self._answer(target)).encode()
                await asyncio.sleep(self.delay_seconds)
                if reader.at_eof() or writer.is_closing():
                    self._record.note("discovery_call_given_up", target=target)
                    return
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                self._record.note("discovery_answered", target=target, generation=self._generation)
        writer.close()

    async def _answer(self, target: str) -> dict[str, Any]:
        since = re.search(r"since=(\d+)", target)
        if since is None:
            return self.make_whole_list()
        wait = re.search(r"timeout_ms=(\d+)", target)
        known = int(since[1])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(wait[1]) / 1000 if wait else 0), self._changed:
                await self._changed.wait_for(lambda: self._generation > known)
        return self._make_changes(known)

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


def make_entry(server_id: str, port: int, lifecycle: str = "active", cell: int = 0) -> dict[str, Any]:
    """Return an entry of the list."""
    return {
        "instanceId": server_id,
        "hostPort": f"127.0.0.1:{port}",
        "zone": "room-a",
        "machineType": "small-2c",
        "cell": cell,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    }
