"""Counts the memory that is held for clients, and compares it with its limit."""

from __future__ import annotations


class RequestMemory:
    """The bytes of all requests that are received or open, and of the responses that clients have not read.

    The parts are added and removed by their owners: `ClientConnection` for incomplete requests and unread
    responses, `RequestTable` for complete requests.

    Attributes:
        used_bytes: The sum of all parts.
    """

    __slots__ = ("_max_bytes", "used_bytes")

    def __init__(self, max_bytes: int) -> None:
        """Set the limit; nothing is held."""
        self._max_bytes = max_bytes
        self.used_bytes = 0

    def add(self, byte_count: int) -> None:
        """Add the length of a part, or the growth of one; a negative growth removes bytes."""
        self.used_bytes += byte_count

    def remove(self, byte_count: int) -> None:
        """Remove the length of a part that is no longer held."""
        self.used_bytes -= byte_count

    def has_room_for(self, byte_count: int) -> bool:
        """Return whether the parts and these further bytes do not exceed the limit."""
        return self.used_bytes + byte_count <= self._max_bytes
