"""The endpoint list and its changes, in the JSON form of discovery."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Sequence

from scale.process.fleet import MACHINE_TYPE, SERVERS_PER_CELL, ZONES

# Number of changes that are retained. A watch of a version before these gets the full list.
MAX_RETAINED_CHANGES = 100_000

FIRST_VERSION = 1


class EndpointList:
    """The list of servers. Each change to an entry creates a new version."""

    def __init__(self, server_count: int, addresses: Sequence[str]) -> None:
        """Create a list of `server_count` servers, to which the addresses are assigned in rotation."""
        self.version = FIRST_VERSION
        self._addresses = addresses
        self._next_server_number = 0  # number of the next server to join
        # JSON text of each entry by the number of its server, in order of joining.
        self._entries_by_server_number: dict[int, bytes] = {}
        self._draining_server_numbers: deque[int] = deque()
        self._recent_changes: deque[bytes] = deque(maxlen=MAX_RETAINED_CHANGES)
        # The full list as JSON text; None if it has not been encoded since the last change.
        self._cached_full_list: bytes | None = None
        for _ in range(server_count):
            self._add_server(0)

    @property
    def change_count(self) -> int:
        """Number of changes so far."""
        return self.version - FIRST_VERSION

    def apply_next_change(self, now_ms: int) -> None:
        """Change one entry. In rotation, a server joins, the oldest server drains, and that server leaves.

        Args:
            now_ms: start time of a server that joins.
        """
        step = self.change_count % 3
        if step == 0:
            changed_entry = self._add_server(now_ms)
        elif step == 1:
            changed_entry = self._drain_oldest_server()
        else:
            changed_entry = self._remove_draining_server()
        self._recent_changes.append(changed_entry)
        self.version += 1
        self._cached_full_list = None

    def decode_full_list(self) -> object:
        """Return the full list as decoded JSON, as a limiter's configuration contains it."""
        document: object = json.loads(self.encode_full_list())
        return document

    def encode_full_list(self) -> bytes:
        """Return the body of a response with the full list."""
        if self._cached_full_list is None:
            self._cached_full_list = self._encode_document(
                True, b",\n".join(self._entries_by_server_number.values())
            )
        return self._cached_full_list

    def encode_changes_since(self, version: int) -> bytes:
        """Return the body of a response with the changes since a version.

        It has the full list instead if the version is unknown or its changes are no longer retained.
        """
        missed_changes = self.version - version
        if not 0 <= missed_changes <= len(self._recent_changes):
            return self.encode_full_list()
        newest_entries = (
            list(self._recent_changes)[len(self._recent_changes) - missed_changes :] if missed_changes else ()
        )
        return self._encode_document(False, b",\n".join(newest_entries))

    def _add_server(self, started_at_ms: int) -> bytes:
        server_number = self._next_server_number
        self._next_server_number += 1
        self._entries_by_server_number[server_number] = self._encode_entry(
            server_number, "active", started_at_ms
        )
        return self._entries_by_server_number[server_number]

    def _drain_oldest_server(self) -> bytes:
        server_number = next(iter(self._entries_by_server_number))
        self._draining_server_numbers.append(server_number)
        self._entries_by_server_number[server_number] = self._encode_entry(server_number, "leaving", 0)
        return self._entries_by_server_number[server_number]

    def _remove_draining_server(self) -> bytes:
        server_number = self._draining_server_numbers.popleft()
        del self._entries_by_server_number[server_number]
        return self._encode_entry(server_number, "left", 0)

    def _encode_entry(self, server_number: int, lifecycle: str, started_at_ms: int) -> bytes:
        entry = {
            "instanceId": f"s-{server_number:08x}",
            "hostPort": self._addresses[server_number % len(self._addresses)],
            "zone": ZONES[server_number % len(ZONES)],
            "machineType": MACHINE_TYPE,
            "cell": server_number // SERVERS_PER_CELL,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": started_at_ms,
        }
        return json.dumps(entry, separators=(",", ":")).encode()

    def _encode_document(self, is_full_list: bool, entries: bytes) -> bytes:
        head = f'{{"generation":{self.version},"reset":{json.dumps(is_full_list)},"instances":['
        return head.encode() + entries + b"]}"
