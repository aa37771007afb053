"""Detects line breaks after the end of an HTTP message, which the parser skips without a callback.

They may be the rest of a body whose stated length is too short.
"""

from __future__ import annotations

LINE_BREAK_BYTES = b"\r\n"
# Number of line break bytes at the end of a head, a last chunk or a trailer section.
SECTION_END_BYTES = 4


class MessageEnd:
    """Compares the line breaks at the end of the bytes received with those at the end of the last message."""

    __slots__ = ("_expected_bytes", "_received_bytes")

    def __init__(self) -> None:
        """Expect the first bytes of a connection."""
        self._received_bytes = 0  # Line break bytes at the end of the bytes received.
        self._expected_bytes = 0  # Line break bytes at the end of the last message.

    def record_received(self, data: bytes) -> None:
        """Record bytes that were received; `data` must not be empty."""
        line_break_bytes = _count_line_break_bytes_at_end(data)
        if line_break_bytes < len(data):
            self._received_bytes = 0
        self._received_bytes += line_break_bytes

    def record_message(self, body: bytearray, *, is_chunked: bool) -> None:
        """Record the end of a message with this body."""
        if is_chunked or not body:
            self._expected_bytes = SECTION_END_BYTES
            return
        self._expected_bytes = _count_line_break_bytes_at_end(body)
        if self._expected_bytes == len(body):
            self._expected_bytes += SECTION_END_BYTES  # The end of the head is part of the same sequence.

    @property
    def is_followed_by_line_breaks(self) -> bool:
        """Whether line breaks were received after the last message; nothing else may have been received."""
        return self._received_bytes > self._expected_bytes


def _count_line_break_bytes_at_end(data: bytes | bytearray) -> int:
    if data[-1] not in LINE_BREAK_BYTES:
        return 0
    return len(data) - len(data.rstrip(LINE_BREAK_BYTES))
