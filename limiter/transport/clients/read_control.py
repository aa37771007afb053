"""Pauses the reading of a connection while there is a reason for it."""

from __future__ import annotations

import asyncio
from enum import Enum, auto


class PauseReason(Enum):
    """Why a connection is not read."""

    UNREAD_RESPONSE = auto()  # The client does not read its response, so its further input would take memory.
    FULL_QUEUE = auto()  # Too many responses are due on the connection.
    TURN_OF_OTHERS = auto()  # A full buffer was read in this iteration of the event loop.
    TOO_MUCH_DISCARDED = auto()  # The input after an error exceeds what is read and discarded.


class ReadControl:
    """The reasons for which a connection is not read; it is read while there is none."""

    __slots__ = ("_reasons", "_transport")

    def __init__(self, transport: asyncio.Transport) -> None:
        """Control the reading of a transport, which reads from the start."""
        self._transport = transport
        self._reasons: set[PauseReason] = set()

    def is_paused_for(self, reason: PauseReason) -> bool:
        """Return whether this is one of the reasons for which the connection is not read now."""
        return bool(self._reasons) and reason in self._reasons

    def pause(self, reason: PauseReason) -> None:
        """Stop reading for this reason."""
        self._reasons.add(reason)
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def resume(self, reason: PauseReason) -> None:
        """Remove the reason; read on if no other one is left."""
        self._reasons.discard(reason)
        if not self._reasons and not self._transport.is_closing():
            self._transport.resume_reading()

    def read_on_in_next_iteration(self) -> None:
        """Stop reading until the next iteration of the event loop, which also reads other connections."""
        self.pause(PauseReason.TURN_OF_OTHERS)
        asyncio.get_running_loop().call_soon(self.resume, PauseReason.TURN_OF_OTHERS)
