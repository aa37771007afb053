"""The endpoint list in discovery's form, and its changes."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Sequence

from scale.process.fleet import MACHINE_TYPE, SERVERS_PER_CELL, ZONES

# Number of changes that are kept for watches of older versions; an older one gets the whole list.
MAX_KEPT_CHANGES = 100_000

FIRST_VERSION = 1


class EndpointList:
    """The list of servers; each change of an entry makes a new version."""

    def __init__(self, count: int, addresses: Sequence[str]) -> None:
        """List `count` servers; they share the addresses."""
        self.version = FIRST_VERSION
        self._addresses = addresses
        self._next_number = 0  # number that the next server gets
        # JSON text of each entry by the server's number, in order of joining.
        self._entries: dict[int, bytes] = {}
        self._draining: deque[int] = deque()
        self._changes: deque[bytes] = deque(maxlen=MAX_KEPT_CHANGES)
        # The whole list as JSON text; None if it was not requested since the last change.
        self._full_document: bytes | None = None
        for _ in range(count):
            self._add(0)

    @property
    def change_count(self) -> int:
        """Number of changes so far, which is the version less FIRST_VERSION."""
        return self.version - FIRST_VERSION

    def apply_next_change(self, now_ms: int) -> None:
        """Change one entry: in turn a server joins, the oldest one drains, and it leaves.

        Args:
            now_ms: start of a server that joins.
        """
        step = self.change_count % 3
        if step == 0:
            changed = self._add(now_ms)
        elif step == 1:
            changed = self._drain_oldest()
        else:
            changed = self._remove_draining()
        self._changes.append(changed)
        self.version += 1
        self._full_document = None

    def decode_full_list(self) -> object:
        """The list as JSON's types: what a configuration has as the list last seen."""
        document: object = json.loads(self.encode_full_list())
        return document

    def encode_full_list(self) -> bytes:
        """The body of a response with the whole list."""
        if self._full_document is None:
            self._full_document = self._document(True, b",\n".join(self._entries.values()))
        return self._full_document

    def encode_changes_since(self, version: int) -> bytes:
        """The body of a response with the changes since a version; the whole list if they are not kept."""
        count = self.version - version
        if not 0 <= count <= len(self._changes):
            return self.encode_full_list()
        newest = list(self._changes)[len(self._changes) - count :] if count else ()
        return self._document(False, b",\n".join(newest))

    def _add(self, started_at_ms: int) -> bytes:
        number = self._next_number
        self._next_number += 1
        self._entries[number] = self._entry(number, "active", started_at_ms)
        return self._entries[number]

    def _drain_oldest(self) -> bytes:
        number = next(iter(self._entries))
        self._draining.append(number)
        self._entries[number] = self._entry(number, "leaving", 0)
        return self._entries[number]

    def _remove_draining(self) -> bytes:
        number = self._draining.popleft()
        del self._entries[number]
        return self._entry(number, "left", 0)

    def _entry(self, number: int, lifecycle: str, started_at_ms: int) -> bytes:
        entry = {
            "instanceId": f"s-{number:08x}",
            "hostPort": self._addresses[number % len(self._addresses)],
            "zone": ZONES[number % len(ZONES)],
            "machineType": MACHINE_TYPE,
            "cell": number // SERVERS_PER_CELL,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": started_at_ms,
        }
        return json.dumps(entry, separators=(",", ":")).encode()

    def _document(self, is_full_list: bool, entries: bytes) -> bytes:
        head = f'{{"generation":{self.version},"reset":{json.dumps(is_full_list)},"instances":['
        return head.encode() + entries + b"]}"
