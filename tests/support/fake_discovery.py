"""Fake discovery agent: publishes the endpoint list that a test gives it, and records the calls."""

from __future__ import annotations

import asyncio
import json
import re
import time
from typing import Any, NamedTuple

from tests.support.fake_service import FakePeer

_CHECK_INTERVAL_SECONDS = 0.01


class DiscoveryCall(NamedTuple):
    """A call that a limiter made.

    Attributes:
        at: when it came, in seconds of the monotonic clock.
        target: its path with the query.
    """

    at: float
    target: str


class FakeDiscovery(FakePeer):
    """Responds to a watch once there is a version that the caller does not know, or after its time-out.

    Attributes:
        version: number of the present list.
        full_list: whether `entries` are the full list, and not only changes.
        entries: the entries of its responses.
        calls: the calls so far.
        response_times: when each response was sent, in seconds of the monotonic clock.
        is_responding: False holds back all responses.
        body_override: bytes that are sent in place of each list; None for the lists themselves.
        status: the status of its responses.
        ends_next_watch: True makes it respond to the open or next watch at once, and is reset by that.
    """

    def __init__(self) -> None:
        """Make an agent with an empty list of version 1, which does not listen yet."""
        super().__init__()
        self.version = 1
        self.full_list = True
        self.entries: list[dict[str, Any]] = []
        self.calls: list[DiscoveryCall] = []
        self.response_times: list[float] = []
        self.is_responding = True
        self.body_override: bytes | None = None
        self.status = 200
        self.ends_next_watch = False

    def publish(self, *entries: dict[str, Any], full_list: bool = False) -> None:
        """Publish a new version.

        Args:
            entries: the entries that changed, or all of them.
            full_list: whether these are all entries.
        """
        self.entries = list(entries)
        self.full_list = full_list
        self.version += 1

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _connection_number: int
    ) -> None:
        """Respond to each call of the connection."""
        while True:
            target = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
            self.calls.append(DiscoveryCall(time.monotonic(), target))
            known_version = _query_number(target, "since")
            await self._wait_for_change(known_version, _query_number(target, "timeout_ms") or 0)
            body = self.body_override or json.dumps(self._document(known_version)).encode()
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (self.status, len(body), body))
            self.response_times.append(time.monotonic())

    async def _wait_for_change(self, known_version: int | None, timeout_ms: int) -> None:
        deadline = time.monotonic() + timeout_ms / 1000
        while not self.ends_next_watch:
            is_waiting = not self._has_changed_since(known_version) and time.monotonic() < deadline
            if self.is_responding and not is_waiting:
                break
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
        self.ends_next_watch = False

    def _has_changed_since(self, known_version: int | None) -> bool:
        return known_version is None or known_version < self.version

    def _document(self, known_version: int | None) -> dict[str, Any]:
        has_changed = self._has_changed_since(known_version)
        return {
            "generation": self.version,
            "reset": has_changed and (self.full_list or known_version is None),
            "instances": self.entries if has_changed else [],
        }


def _query_number(target: str, name: str) -> int | None:
    found = re.search(rf"{name}=(\d+)", target)
    return int(found[1]) if found else None
