"""The error of the simulator's wire."""

from __future__ import annotations

from enum import Enum


class WireFault(Enum):
    """What is wrong with input that does not follow the wire's form."""

    TRUNCATED = "truncated"  # The input, or a record in it, ends before all of its bytes have come.
    LENGTH = "length"  # The length of a frame does not fit what the frame holds.
    UNKNOWN_CODE = "unknown code"  # A code number has no meaning on this wire.
    UNKNOWN_PAGE = "unknown page"  # A registry record names an endpoint page that was never declared.


class WireError(Exception):
    """Input that does not follow the wire's form; the message says what was read and what is wrong."""

    def __init__(self, fault: WireFault, problem: str) -> None:
        """Take the kind of fault, and the message."""
        super().__init__(problem)
        self.fault = fault
