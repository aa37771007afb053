"""Errors of the simulator's wire. Each message says what was read and what is wrong with it."""

from __future__ import annotations


class WireError(Exception):
    """Input that does not follow the wire's form."""


class TruncatedInputError(WireError):
    """The input, or a record in it, ends before all of its bytes have come."""


class FrameLengthError(WireError):
    """The length of a frame does not fit what the frame holds."""


class UnknownCodeError(WireError):
    """A code number has no meaning on this wire."""

    def __init__(self, code: int, kind: str, offset: int | None = None) -> None:
        """State the code.

        Args:
            code: Its value.
            kind: What kind of code it should be, in words.
            offset: Byte of the batch at which it stands, where known.
        """
        place = "" if offset is None else f" at byte {offset}"
        super().__init__(f"unknown {kind} {code}{place}")


class UnknownPageError(WireError):
    """A registry record names an endpoint page that was never declared."""

    def __init__(self, page: int) -> None:
        """State the number of the page."""
        super().__init__(f"registry names page {page}, which never came")
