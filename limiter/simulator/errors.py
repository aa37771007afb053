"""The error for input that violates the wire protocol of the simulator."""

from __future__ import annotations

from enum import Enum


class WireFault(Enum):
    """Kinds of violations of the wire protocol."""

    TRUNCATED = "truncated"  # The input ends inside a batch, or a batch ends inside a record.
    LENGTH = "length"  # The length of a batch differs from its contents.
    UNKNOWN_CODE = "unknown code"  # The protocol does not define a code.
    UNKNOWN_PAGE = "unknown page"  # A registry record refers to an endpoint page that was not declared.


class WireError(Exception):
    """The input violates the wire protocol; the message says what was expected and what was read."""

    def __init__(self, fault: WireFault, problem: str) -> None:
        """Create the error with the kind of violation and the message."""
        super().__init__(problem)
        self.fault = fault
