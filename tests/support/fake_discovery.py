"""Fake discovery agent: publishes the endpoint list that a test provides, and records the calls."""

from __future__ import annotations

import asyncio
import json
import re
import time
from typing import Any, NamedTuple

from tests.support.fake_service import FakeService

_CHECK_INTERVAL_SECONDS = 0.01


class DiscoveryCall(NamedTuple):
    """A call from a limiter.

    Attributes:
        received_at: when the agent received it, in seconds of the monotonic clock.
        target: the request target, which is the path with the query.
    """

    received_at: float
    target: str


class FakeDiscovery(FakeService):
    """Responds to a watch once the list is newer than the caller's version, or at the watch's timeout.

    Attributes:
        version: version number of the current list.
        full_list: whether `entries` are the full list, and not the changes to the previous version.
        entries: the entries that its responses contain.
        calls: the calls received so far.
        response_times: when each response was sent, in seconds of the monotonic clock.
        is_responding: whether it sends responses; while this is False, all calls wait.
        body_override: bytes that are sent in place of each list; None to send the lists.
        status: the HTTP status of its responses.
        response_delay_seconds: how late each response is.
        ends_next_watch: if True, the open watch, or else the next one, gets a response at once, which resets
            this to False.
    """

    def __init__(self) -> None:
        """Create an agent that has an empty list of version 1 and does not listen yet."""
        super().__init__()
        self.version = 1
        self.full_list = True
        self.entries: list[dict[str, Any]] = []
        self.calls: list[DiscoveryCall] = []
        self.response_times: list[float] = []
        self.is_responding = True
        self.body_override: bytes | None = None
        self.status = 200
        self.response_delay_seconds = 0.0
        self.ends_next_watch = False

    def publish(self, *entries: dict[str, Any], full_list: bool = False) -> None:
        """Publish a new version of the list.

        Args:
            entries: the changed entries, or all entries of the list.
            full_list: whether `entries` are all entries of the list.
        """
        self.entries = list(entries)
        self.full_list = full_list
        self.version += 1

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _connection_number: int
    ) -> None:
        """Respond to the calls of one connection in the order received."""
        while True:
            target = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
            self.calls.append(DiscoveryCall(time.monotonic(), target))
            known_version = _parse_query_number(target, "since")
            await self._wait_for_change(known_version, _parse_query_number(target, "timeout_ms") or 0)
            body = self.body_override or json.dumps(self._make_list_document(known_version)).encode()
            await asyncio.sleep(self.response_delay_seconds)
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

    def _make_list_document(self, known_version: int | None) -> dict[str, Any]:
        has_changed = self._has_changed_since(known_version)
        return {
            "generation": self.version,
            "reset": has_changed and (self.full_list or known_version is None),
            "instances": self.entries if has_changed else [],
        }


def _parse_query_number(target: str, name: str) -> int | None:
    found = re.search(rf"{name}=(\d+)", target)
    return int(found[1]) if found else None
